package claims

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/problem"
)

var (
	testKey  = Key{Team: "tuberias", Workspace: "avisos", Idempotency: "notice-17"}
	testBody = Fingerprint{1}
)

func TestOneOfManyIsGranted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quick(), "a", "b", "c")
	const callers = 30
	states := make(chan State, callers)
	var wg sync.WaitGroup
	for i := range callers {
		node := f.nodes[string(rune('a'+i%3))]
		wg.Go(func() {
			v, err := node.Claim(t.Context(), testKey, testBody)
			if err == nil {
				states <- v.State
			}
		})
	}
	wg.Wait()
	close(states)
	count := make(map[State]int)
	for s := range states {
		count[s]++
	}
	is.Equal(count[Granted], 1)
	is.Equal(count[InProgress], callers-1)
}

func TestVerdictAfterAnOutcome(t *testing.T) {
	answer := &Answer{Status: 200, ContentType: "text/plain", Body: []byte("sent")}
	for _, tc := range []struct {
		name        string
		outcome     Outcome
		answer      *Answer
		fingerprint Fingerprint
		want        State
		wantAnswer  bool
	}{
		{"ran", Ran, answer, testBody, Done, true},
		{"ran, without an answer to keep", Ran, nil, testBody, Done, false},
		{"ran, with an answer too large to keep", Ran, &Answer{Body: make([]byte, 1<<20)}, testBody, Done, false},
		{"ran, key used for another request", Ran, answer, Fingerprint{2}, Mismatch, false},
		{"lost", Lost, nil, testBody, Unknown, false},
		{"not run", NotRun, nil, testBody, Granted, false},
		{"not run, key used for another request", NotRun, nil, Fingerprint{2}, Granted, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, quick(), "a", "b", "c")
			v := claim(t, f.nodes["a"], testKey, testBody)
			is.Equal(v.State, Granted)
			is.True(v.Ticket.Valid())
			v.Ticket.Finish(tc.outcome, tc.answer)
			is.True(!v.Ticket.Valid()) // a finished ticket sends nothing
			v.Ticket.Finish(NotRun, nil)
			for _, id := range []string{"b", "c"} {
				f.flush(t, "a")
				v := claim(t, f.nodes[id], testKey, tc.fingerprint)
				is.Equal(v.State, tc.want)
				is.Equal(v.Answer != nil, tc.wantAnswer)
				fromHolder := testutil.ToFloat64(f.nodes[id].metrics.answers.WithLabelValues(foundPeer))
				is.Equal(fromHolder == 1, tc.wantAnswer)
				if v.State == Granted {
					v.Ticket.Finish(tc.outcome, nil)
					f.flush(t, id)
				}
			}
		})
	}
}

func TestStoreFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		warm  bool // the owner has read the log before
		fault func(*faultyStore)
		ran   problem.Execution // of the refusal, if there is one
	}{
		{"refuses, the owner knows the key", true, func(s *faultyStore) { s.refuse = true }, problem.NotRun},
		{"refuses, the owner knows nothing", false, func(s *faultyStore) { s.refuse = true }, problem.MayHaveRun},
		{"loses an answer after the effect", false, func(s *faultyStore) { s.loseAnswers = 1 }, ""},
		{"loses many answers after the effect", true, func(s *faultyStore) { s.loseAnswers = 5 }, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := buildFleet(quick(), "a", "b", "c")
			if tc.warm {
				f.start(t)
				claim(t, f.nodes["a"], testKey, testBody).Ticket.Finish(NotRun, nil)
				is.NoErr(f.nodes["a"].Stop(t.Context()))
				f.store.set(tc.fault)
			} else {
				f.store.set(tc.fault)
				f.start(t)
			}
			v, err := f.nodes["a"].Claim(t.Context(), testKey, testBody)
			if tc.ran != "" {
				checkRefusal(is, err, tc.ran)
				f.store.set(func(s *faultyStore) { s.refuse = false })
				for err != nil { // until the owner's pause is over
					v, err = f.nodes["b"].Claim(t.Context(), testKey, testBody)
				}
			}
			is.Equal(v.State, Granted)
			v.Ticket.Finish(Ran, nil)
			is.NoErr(f.nodes["a"].Stop(t.Context()))
			is.NoErr(f.nodes["b"].Stop(t.Context()))
			is.Equal(claim(t, f.nodes["c"], testKey, testBody).State, Done)
		})
	}
}

func TestOutcomesOutliveAnOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quick(), "a", "b", "c")
	v := claim(t, f.nodes["a"], testKey, testBody)
	f.store.set(func(s *faultyStore) { s.refuse = true })
	v.Ticket.Finish(Ran, nil)
	for range 3 { // the outcome is tried and kept
		n := f.commits()
		for f.commits() == n {
			time.Sleep(time.Millisecond)
		}
	}
	f.store.set(func(s *faultyStore) { s.refuse = false })
	is.NoErr(f.nodes["a"].Stop(t.Context()))
	is.Equal(claim(t, f.nodes["b"], testKey, testBody).State, Done)
}

func (f *fleet) commits() (n int) {
	f.store.set(func(s *faultyStore) { n = s.commits })
	return n
}

func TestKnownKeysAreAnsweredInAnOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quick(), "a", "b", "c")
	v := claim(t, f.nodes["a"], testKey, testBody)
	v.Ticket.Finish(Ran, nil)
	is.NoErr(f.nodes["a"].Stop(t.Context()))
	is.Equal(claim(t, f.nodes["b"], testKey, testBody).State, Done)
	f.store.set(func(s *faultyStore) { s.refuse = true })
	is.Equal(claim(t, f.nodes["c"], testKey, testBody).State, Done) // from the owner's table
}

func TestOwnerFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		link link
	}{
		{"unreachable", linkDown},
		{"frozen", linkSilent},
		{"its replies are lost", linkMuffled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			set := quick()
			set.Attempt.Wait = 500 * time.Millisecond
			f := newFleet(t, set, "a", "b", "c")
			owner := f.owner(testKey)
			f.link(owner, tc.link)
			var granted Ticket
			for granted == nil { // a slow machine may need another try
				v, err := f.other(testKey).Claim(t.Context(), testKey, testBody)
				if err == nil && v.State == Granted {
					granted = v.Ticket
				}
			}
			f.link(owner, linkUp)
			is.Equal(claimOnce(t, f.nodes[owner]), InProgress) // the old owner doesn't give it again
			granted.Finish(Ran, nil)
			is.Equal(claim(t, f.nodes[owner], testKey, testBody).State, Done)
		})
	}
}

func claimOnce(t *testing.T, s *Service) State {
	t.Helper()
	v, err := s.Claim(t.Context(), testKey, testBody)
	if err != nil {
		t.Fatal(err)
	}
	return v.State
}

func TestAbandonedClaimIsFreed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quick(), "a", "b", "c")
	owner, entry := f.owner(testKey), f.other(testKey)
	f.link(owner, linkMuffled)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for f.commits() == 0 { // the claim is recorded, its reply lost
			time.Sleep(time.Millisecond)
		}
		cancel() // the caller goes away
	}()
	_, err := entry.Claim(ctx, testKey, testBody)
	checkRefusal(is, err, problem.MayHaveRun) // it can't tell what the owner knows
	f.link(owner, linkUp)
	is.Equal(claim(t, f.nodes[owner], testKey, testBody).State, Granted)
}

func TestSlowStoreIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	set := quick()
	set.Attempt.Wait = 300 * time.Millisecond
	f := newFleet(t, set, "a", "b", "c")
	entry, hold := f.other(testKey), make(chan struct{})
	f.store.set(func(s *faultyStore) { s.hold = hold })
	replied := false
	for range 50 { // a slow machine may need another try
		_, err := entry.Claim(t.Context(), testKey, testBody)
		var p *problem.Problem
		is.True(errors.As(err, &p))
		if replied = strings.HasPrefix(p.Detail, reasonExpired); replied {
			break
		}
	}
	is.True(replied) // an owner replied before its commit had a result
	close(hold)
	f.store.set(func(s *faultyStore) { s.hold = nil })
	is.NoErr(entry.Stop(t.Context())) // the claim, recorded late, is ended
	is.Equal(claim(t, entry, testKey, testBody).State, Granted)
}

func TestTicketAges(t *testing.T) {
	is := is.New(t)
	set := quick()
	set.Attempt.Life = 0
	f := newFleet(t, set, "a")
	v := claim(t, f.nodes["a"], testKey, testBody)
	is.Equal(v.State, Granted)
	is.True(!v.Ticket.Valid())
	v.Ticket.Finish(NotRun, nil)
	is.Equal(claim(t, f.nodes["a"], testKey, testBody).State, Granted)
}

func TestTicketAgesByTheWallClock(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quick(), "a")
	tk := claim(t, f.nodes["a"], testKey, testBody).Ticket.(*ticket)
	is.True(tk.Valid())
	tk.startedWall = tk.startedWall.Add(-time.Hour) // a suspended VM's monotonic clock stood still
	is.True(!tk.Valid())
}

func TestHolderThatIsGoneIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, quick(), "a", "b", "c")
	entry := f.other(testKey)
	is.Equal(claim(t, entry, testKey, testBody).State, Granted)
	view := &membership.View{Nodes: slices.Clone(f.View().Nodes)}
	for i := range view.Nodes {
		if n := &view.Nodes[i]; n.ID == entry.self.Node {
			n.Incarnation = 2 // it runs again, and knows nothing
		}
	}
	f.view.Store(view)
	is.Equal(claimOnce(t, f.nodes[f.owner(testKey)]), Unknown)
}
