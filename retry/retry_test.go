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

// For any order of requests and retries, the retries granted stay within the burst, the share of
// the requests and the floor.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BudgetConfig{
			Share: rapid.Float64Range(0, 1).Draw(t, "share"),
			Floor: rapid.Float64Range(0, 5).Draw(t, "floor"),
			Burst: rapid.Float64Range(1, 20).Draw(t, "burst"),
		}
		start := time.Unix(0, 0)
		now, requests, granted := start, 0.0, 0.0
		b := NewBudget(cfg, now)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests++
			}
			if b.Take(now) {
				granted++
			}
		}
		bound := cfg.Burst + cfg.Share*requests + cfg.Floor*now.Sub(start).Seconds()
		if granted > bound+1e-6 {
			t.Fatalf("granted %v of at most %v", granted, bound)
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
