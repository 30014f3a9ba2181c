package core

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// step is one event of an attempt and its time.
type step struct {
	at    Instant
	apply func(a *Attempt, now Instant) Decision
}

func replied(r Reply) func(*Attempt, Instant) Decision {
	return func(a *Attempt, now Instant) Decision { return a.Replied(now, r) }
}

func failed(delivered bool) func(*Attempt, Instant) Decision {
	return func(a *Attempt, now Instant) Decision { return a.Failed(now, delivered) }
}

func giveUp(a *Attempt, _ Instant) Decision { return a.GiveUp() }

func TestAttempt(t *testing.T) {
	grant := Reply{State: Granted}
	busy := Reply{State: InProgress}
	out := Reply{Status: Unavailable, NoEarlierRun: true}
	const soon, late = time.Second, 3 * time.Second
	for _, tc := range []struct {
		name  string
		steps []step
		want  Decision // of the last step
	}{
		{"granted", []step{{soon, replied(grant)}}, Decision{Action: ActionVerdict, State: Granted}},
		{"granted too late", []step{{late, replied(grant)}}, Decision{Action: ActionRefuse, NoEarlierRun: true, MustRecordEnd: true}},
		{"granted after GiveUp", []step{{soon, giveUp}, {soon, replied(grant)}}, Decision{Action: ActionNothing}},
		{"refused, nothing recorded", []step{{soon, replied(out)}}, Decision{Action: ActionRefuse, NoEarlierRun: true}},
		{"refused, perhaps recorded", []step{{soon, replied(Reply{Status: Unavailable, MayBeRecorded: true})}}, Decision{Action: ActionRefuse, MustRecordEnd: true}},
		{"expired at the owner", []step{{soon, replied(Reply{Status: Expired})}}, Decision{Action: ActionRefuse}},
		{"in progress", []step{{soon, replied(busy)}}, Decision{Action: ActionVerdict, State: InProgress}},
		{"in progress, no reply from the first owner", []step{{soon, failed(true)}, {soon, replied(busy)}}, Decision{Action: ActionVerdict, State: InProgress, MustRecordEnd: true}},
		{"an owner is unreachable", []step{{soon, failed(false)}}, Decision{Action: ActionAsk}},
		{"granted by the second owner", []step{{soon, failed(true)}, {soon, replied(grant)}}, Decision{Action: ActionVerdict, State: Granted}},
		{"three owners are unreachable", []step{{soon, failed(false)}, {soon, failed(false)}, {soon, failed(false)}}, Decision{Action: ActionRefuse}},
		{"no reply from an owner until the deadline", []step{{late, failed(true)}}, Decision{Action: ActionRefuse, MustRecordEnd: true}},
		{"the caller disconnects", []step{{soon, giveUp}}, Decision{Action: ActionRefuse, MustRecordEnd: true}},
		{"two owners grant it", []step{{soon, replied(grant)}, {soon, replied(grant)}}, Decision{Action: ActionNothing}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			a := NewAttempt(ClaimRequest{}, 0, Forever, DefaultAttemptLimits())
			var got Decision
			for _, s := range tc.steps {
				got = s.apply(a, s.at)
			}
			is.Equal(got, tc.want)
		})
	}
}

// TestRefusedAttemptIsNeverValid guards against sending a request that the caller was
// told is not run. For random events, an attempt is valid only between its grant and its
// end, for less than AttemptLimits.Life, and never after a refusal.
func TestRefusedAttemptIsNeverValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultAttemptLimits()
		a := NewAttempt(ClaimRequest{}, 0, Forever, limits)
		var now Instant
		refused, ended := false, false
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			var d Decision
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				d = a.Replied(now, Reply{
					Status: Status(rapid.IntRange(0, 4).Draw(t, "status")),
					State:  State(rapid.IntRange(0, 4).Draw(t, "state")),
				})
			case 1:
				d = a.Failed(now, rapid.Bool().Draw(t, "seen"))
			case 2:
				d = a.GiveUp()
			default:
				_, ok := a.Finish(PossiblyRun)
				ended = ended || ok
				d.Action = ActionNothing
			}
			refused = refused || d.Action == ActionRefuse
			if a.Valid(now) && (refused || ended || now >= limits.Life) {
				t.Fatalf("valid at %v: refused %v, ended %v", now, refused, ended)
			}
		}
	})
}

func TestEnds(t *testing.T) {
	is := is.New(t)
	cfg := DefaultOutcomeQueueConfig()
	cfg.Capacity, cfg.MaxBatch = 3, 2
	q := NewOutcomeQueue(cfg)
	end := func(a AttemptID) OutcomeRecord { return OutcomeRecord{Key: KeyID{7: 1}, Attempt: a} }
	for a := range AttemptID(3) {
		is.True(q.Push(end(a)))
	}
	is.True(!q.Push(end(3))) // the queue is full: dropped
	is.Equal(q.Len(), 3)

	shard, batch, ok := q.Next(0)
	is.True(ok)
	is.Equal(shard, end(0).Key.Shard())
	is.Equal(batch, []OutcomeRecord{end(0), end(1)})
	_, _, ok = q.Next(0)
	is.True(!ok) // one call at a time for a shard

	q.Sent(0, shard, false, 0)
	_, _, ok = q.Next(cfg.MinBackoff - 1)
	is.True(!ok)
	is.Equal(q.WakeAt(), cfg.MinBackoff)
	_, batch, ok = q.Next(cfg.MinBackoff)
	is.True(ok)
	is.Equal(batch, []OutcomeRecord{end(0), end(1)}) // the same outcomes again, none is lost

	q.Sent(cfg.MinBackoff, shard, false, 0)
	is.Equal(q.WakeAt(), 3*cfg.MinBackoff) // the backoff doubles
	_, _, ok = q.Next(q.WakeAt())
	is.True(ok)
	q.Sent(q.WakeAt(), shard, true, 0)
	is.Equal(q.Len(), 1)
	_, batch, _ = q.Next(Forever)
	is.Equal(batch, []OutcomeRecord{end(2)})
}
