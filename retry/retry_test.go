package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var limits = Limits{MaxAttempts: 3, MinRemaining: 100 * time.Millisecond}

func TestDecide(t *testing.T) {
	const enough, near = time.Second, 10 * time.Millisecond
	tests := []struct {
		name string
		a    Attempt
		want Verdict
	}{
		{"not sent, repeatable", Attempt{1, NotSent, true, enough}, Allow},
		{"not sent, unrepeatable", Attempt{1, NotSent, false, enough}, Allow},
		{"refused, repeatable", Attempt{1, Refused, true, enough}, Allow},
		{"refused, unrepeatable", Attempt{1, Refused, false, enough}, Allow},
		{"sent, repeatable", Attempt{1, Sent, true, enough}, Allow},
		{"sent, unrepeatable", Attempt{1, Sent, false, enough}, NotRepeatable},
		{"delivered, repeatable", Attempt{1, Delivered, true, enough}, AlreadyDelivered},
		{"delivered, unrepeatable", Attempt{1, Delivered, false, enough}, AlreadyDelivered},
		{"no deadline", Attempt{2, Sent, true, NoDeadline}, Allow},
		{"last attempt", Attempt{3, NotSent, true, enough}, AttemptsUsed},
		{"deadline near", Attempt{1, Refused, true, near}, DeadlineNear},
		{"deadline passed", Attempt{1, Refused, true, -enough}, DeadlineNear},
		{"sent, unrepeatable, last", Attempt{3, Sent, false, near}, NotRepeatable},
		{"delivered, last", Attempt{3, Delivered, true, near}, AlreadyDelivered},
		{"last and near", Attempt{3, Sent, true, near}, AttemptsUsed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(Decide(tt.a, limits), tt.want)
		})
	}
}

// A request that may not be repeated is never retried once it may have run, and no request is
// retried once part of the response is delivered.
func TestDecideNeverRepeatsUnsafely(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Number:     rapid.IntRange(1, 9).Draw(t, "number"),
			Progress:   Progress(rapid.IntRange(0, 3).Draw(t, "progress")),
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Remaining:  time.Duration(rapid.Int64().Draw(t, "remaining")),
		}
		l := Limits{
			MaxAttempts:  rapid.IntRange(1, 9).Draw(t, "attempts"),
			MinRemaining: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "min")),
		}
		if Decide(a, l) != Allow {
			return
		}
		unsafeRetry := a.Progress == Delivered || a.Progress == Sent && !a.Repeatable
		over := a.Number >= l.MaxAttempts || a.Remaining < l.MinRemaining
		if unsafeRetry || over {
			t.Fatalf("allowed %+v under %+v", a, l)
		}
	})
}

func TestBackoffStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Backoff{
			Base: time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "base")),
			Max:  time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "max")),
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		attempt := rapid.IntRange(1, 100).Draw(t, "attempt")
		if p := b.Pause(attempt, rng); p < 0 || p > b.Max {
			t.Fatalf("pause %v with %+v", p, b)
		}
	})
}
