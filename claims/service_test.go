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
	testKey         = Key{Team: "tuberias", Workspace: "avisos", Idempotency: "notice-17"}
	testFingerprint = Fingerprint{1}
)

func TestOneOfManyConcurrentClaimsIsGranted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastSettings(), "a", "b", "c")
	const callers = 30
	states := make(chan State, callers)
	var wg sync.WaitGroup
	for i := range callers {
		node := f.nodes[string(rune('a'+i%3))]
		wg.Go(func() {
			v, err := node.Claim(t.Context(), testKey, testFingerprint)
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
		{"ran", Ran, answer, testFingerprint, Done, true},
		{"ran, without an answer to keep", Ran, nil, testFingerprint, Done, false},
		{"ran, with an answer too large to keep", Ran, &Answer{Body: make([]byte, 1<<20)}, testFingerprint, Done, false},
		{"ran, key used for another request", Ran, answer, Fingerprint{2}, Mismatch, false},
		{"lost", PossiblyRun, nil, testFingerprint, Unknown, false},
		{"not run", NotRun, nil, testFingerprint, Granted, false},
		{"not run, key used for another request", NotRun, nil, Fingerprint{2}, Granted, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, fastSettings(), "a", "b", "c")
			v := claim(t, f.nodes["a"], testKey, testFingerprint)
			is.Equal(v.State, Granted)
			is.True(v.Ticket.Valid())
			v.Ticket.Finish(tc.outcome, tc.answer)
			is.True(!v.Ticket.Valid()) // a finished ticket doesn't permit sending
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
		warm  bool // the owner has read the log before the fault
		fault func(*faultyStore)
		ran   problem.Execution // of the refusal, if there is one
	}{
		{"unavailable, the owner has read the log", true, func(s *faultyStore) { s.refuse = true }, problem.NotRun},
		{"unavailable, the owner has not read the log", false, func(s *faultyStore) { s.refuse = true }, problem.MayHaveRun},
		{"loses a result after the effect", false, func(s *faultyStore) { s.loseResults = 1 }, ""},
		{"loses many results after the effect", true, func(s *faultyStore) { s.loseResults = 5 }, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := buildFleet(fastSettings(), "a", "b", "c")
			if tc.warm {
				f.start(t)
				claim(t, f.nodes["a"], testKey, testFingerprint).Ticket.Finish(NotRun, nil)
				is.NoErr(f.nodes["a"].Stop(t.Context()))
				f.store.set(tc.fault)
			} else {
				f.store.set(tc.fault)
				f.start(t)
			}
			v, err := f.nodes["a"].Claim(t.Context(), testKey, testFingerprint)
			if tc.ran != "" {
				checkRefusal(is, err, tc.ran)
				f.store.set(func(s *faultyStore) { s.refuse = false })
				for err != nil { // until the owner's backoff is over
					v, err = f.nodes["b"].Claim(t.Context(), testKey, testFingerprint)
				}
			}
			is.Equal(v.State, Granted)
			v.Ticket.Finish(Ran, nil)
			is.NoErr(f.nodes["a"].Stop(t.Context()))
			is.NoErr(f.nodes["b"].Stop(t.Context()))
			is.Equal(claim(t, f.nodes["c"], testKey, testFingerprint).State, Done)
		})
	}
}

func TestOutcomesAreRecordedAfterAnOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastSettings(), "a", "b", "c")
	v := claim(t, f.nodes["a"], testKey, testFingerprint)
	f.store.set(func(s *faultyStore) { s.refuse = true })
	v.Ticket.Finish(Ran, nil)
	for range 3 { // recording the outcome is tried and fails
		n := f.commits()
		for f.commits() == n {
			time.Sleep(time.Millisecond)
		}
	}
	f.store.set(func(s *faultyStore) { s.refuse = false })
	is.NoErr(f.nodes["a"].Stop(t.Context()))
	is.Equal(claim(t, f.nodes["b"], testKey, testFingerprint).State, Done)
}

func (f *fleet) commits() (n int) {
	f.store.set(func(s *faultyStore) { n = s.commits })
	return n
}

func TestRecordedKeysAreAnsweredInAnOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastSettings(), "a", "b", "c")
	v := claim(t, f.nodes["a"], testKey, testFingerprint)
	v.Ticket.Finish(Ran, nil)
	is.NoErr(f.nodes["a"].Stop(t.Context()))
	is.Equal(claim(t, f.nodes["b"], testKey, testFingerprint).State, Done)
	f.store.set(func(s *faultyStore) { s.refuse = true })
	is.Equal(claim(t, f.nodes["c"], testKey, testFingerprint).State, Done) // from the owner's table
}

func TestOwnerFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		link link
	}{
		{"unreachable", linkDown},
		{"frozen", linkDropsCalls},
		{"its replies are lost", linkDropsReplies},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			set := fastSettings()
			set.Attempt.Wait = 500 * time.Millisecond
			f := newFleet(t, set, "a", "b", "c")
			owner := f.owner(testKey)
			f.link(owner, tc.link)
			var granted Ticket
			for granted == nil { // a slow machine may need another try
				v, err := f.nonOwner(testKey).Claim(t.Context(), testKey, testFingerprint)
				if err == nil && v.State == Granted {
					granted = v.Ticket
				}
			}
			f.link(owner, linkUp)
			is.Equal(claimOnce(t, f.nodes[owner]), InProgress) // the primary owner doesn't grant it again
			granted.Finish(Ran, nil)
			is.Equal(claim(t, f.nodes[owner], testKey, testFingerprint).State, Done)
		})
	}
}

func claimOnce(t *testing.T, s *Service) State {
	t.Helper()
	v, err := s.Claim(t.Context(), testKey, testFingerprint)
	if err != nil {
		t.Fatal(err)
	}
	return v.State
}

func TestAbandonedClaimIsFreed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastSettings(), "a", "b", "c")
	owner, entry := f.owner(testKey), f.nonOwner(testKey)
	f.link(owner, linkDropsReplies)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for f.commits() == 0 { // the claim is recorded, its reply lost
			time.Sleep(time.Millisecond)
		}
		cancel() // the caller disconnects
	}()
	_, err := entry.Claim(ctx, testKey, testFingerprint)
	checkRefusal(is, err, problem.MayHaveRun) // the entry node doesn't have the state of the key
	f.link(owner, linkUp)
	is.Equal(claim(t, f.nodes[owner], testKey, testFingerprint).State, Granted)
}

func TestOwnerRefusesBeforeASlowCommitEnds(t *testing.T) {
	is := is.New(t)
	set := fastSettings()
	set.Attempt.Wait = 300 * time.Millisecond
	f := newFleet(t, set, "a", "b", "c")
	entry, hold := f.nonOwner(testKey), make(chan struct{})
	f.store.set(func(s *faultyStore) { s.hold = hold })
	replied := false
	for range 50 { // a slow machine may need another try
		_, err := entry.Claim(t.Context(), testKey, testFingerprint)
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
	is.Equal(claim(t, entry, testKey, testFingerprint).State, Granted)
}

func TestTicketExpires(t *testing.T) {
	is := is.New(t)
	set := fastSettings()
	set.Attempt.Life = 0
	f := newFleet(t, set, "a")
	v := claim(t, f.nodes["a"], testKey, testFingerprint)
	is.Equal(v.State, Granted)
	is.True(!v.Ticket.Valid())
	v.Ticket.Finish(NotRun, nil)
	is.Equal(claim(t, f.nodes["a"], testKey, testFingerprint).State, Granted)
}

func TestTicketExpiresByTheWallClock(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastSettings(), "a")
	tk := claim(t, f.nodes["a"], testKey, testFingerprint).Ticket.(*ticket)
	is.True(tk.Valid())
	tk.startedWall = tk.startedWall.Add(-time.Hour) // a suspended VM's monotonic clock stood still
	is.True(!tk.Valid())
}

func TestClaimOfARestartedHolderIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fastSettings(), "a", "b", "c")
	entry := f.nonOwner(testKey)
	is.Equal(claim(t, entry, testKey, testFingerprint).State, Granted)
	view := &membership.View{Nodes: slices.Clone(f.View().Nodes)}
	for i := range view.Nodes {
		if n := &view.Nodes[i]; n.ID == entry.self.Node {
			n.Incarnation = 2 // it has restarted with empty memory
		}
	}
	f.view.Store(view)
	is.Equal(claimOnce(t, f.nodes[f.owner(testKey)]), Unknown)
}
