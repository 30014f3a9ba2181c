package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/lease"
)

var epoch = time.Unix(1000, 0)

func spec(revision int64, version string, f Fencing) Spec {
	return Spec{Revision: revision, Fencing: f, Desired: Desired{Model: "m", Version: version, Role: RoleBoth}}
}

func is1(version string, phase Phase) State {
	s := State{Incarnation: 1, Fence: 1, Phase: phase, Target: spec(0, version, "").Desired}
	if phase == PhaseReady {
		s.Current = s.Target
	}
	return s
}

// poolOf returns a pool of engines that checks fencing, in a term, with its
// state on record, and with every engine read as given.
func poolOf(s Spec, states ...State) *Pool {
	p := NewPool(DefaultLimits())
	p.limits.LoadsPerMinute = 6000
	p.SetSpec(s)
	var targets []Target
	for i := range states {
		targets = append(targets, Target{ID: fmt.Sprintf("e%02d", i), Incarnation: 1})
	}
	p.SetTargets(targets)
	p.SetTerm(lease.Term{Fence: 1}, true, epoch)
	p.RecordRead(Record{}, 0)
	r, _, _ := p.NextRecord(epoch)
	p.RecordWritten(r, 1, epoch)
	for i, st := range states {
		p.Observe(targets[i].ID, st, nil, epoch)
	}
	return p
}

func repeat(n int, s State) []State {
	out := make([]State, n)
	for i := range out {
		out[i] = s
	}
	return out
}

// drain sends every order that is let through and returns how many.
func drain(p *Pool, now time.Time) int {
	n := 0
	for {
		t, _, ok := p.NextOrder(now)
		if !ok {
			return n
		}
		p.Sent(t.ID, nil, now)
		n++
	}
}

// TestGates is the table of what holds a new issuer back.
func TestGates(t *testing.T) {
	ignored := poolOf(spec(1, "2", FencingIgnored), is1("1", PhaseReady))
	unrecorded := poolOf(spec(1, "1", FencingChecked), is1("1", PhaseReady))
	unrecorded.SetSpec(spec(2, "2", FencingChecked))
	behind := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady))
	behind.RecordRead(Record{Spec: spec(2, "3", FencingChecked)}, 7)
	same := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady))
	same.RecordRead(Record{Spec: spec(2, "2", FencingChecked)}, 7)
	halted := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady))
	halted.RecordRead(Record{Spec: spec(1, "2", FencingChecked), Halted: "e: bad"}, 7)
	again := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady))
	again.RecordRead(Record{Spec: spec(1, "2", FencingChecked), Halted: "e: bad"}, 7)
	raised := spec(2, "2", FencingChecked)
	raised.Attempt = 1
	again.SetSpec(raised)
	r, _, _ := again.NextRecord(epoch)
	again.RecordWritten(r, 8, epoch)
	unread := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady), is1("1", PhaseReady))
	unread.SetTargets([]Target{{ID: "e00", Incarnation: 1}, {ID: "e01", Incarnation: 2}})
	reordered := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady))
	drain(reordered, epoch)
	reordered.SetSpec(spec(2, "3", FencingChecked))
	r, _, _ = reordered.NextRecord(epoch)
	reordered.RecordWritten(r, 2, epoch)
	lost := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady))
	lost.SetTerm(lease.Term{}, false, epoch)
	fenced := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady))
	fenced.Sent("e00", ErrStaleFence, epoch)

	tests := []struct {
		name string
		pool *Pool
		at   time.Duration
		want Reason
	}{
		{"old orders may arrive", ignored, 4999 * time.Millisecond, ReasonWaitingOut},
		{"old orders waited out", ignored, 5 * time.Second, ReasonNone},
		{"desired state not on record", unrecorded, 0, ReasonUnrecorded},
		{"record of newer settings", behind, 0, ReasonBehind},
		{"newer revision, same state", same, 0, ReasonNone},
		{"stopped by an earlier issuer", halted, 0, ReasonHalted},
		{"attempt raised by the operator", again, 0, ReasonNone},
		{"restarted engine not read", unread, 0, ReasonUnread},
		{"order outstanding for an older state", reordered, 0, ReasonUnread},
		{"lease lost", lost, 0, ReasonNotIssuer},
		{"greater fencing number seen", fenced, 0, ReasonNotIssuer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, _, ok := tt.pool.NextOrder(epoch.Add(tt.at))
			is.Equal(tt.pool.Waiting(), tt.want)
			is.Equal(ok, tt.want == ReasonNone)
		})
	}
}

// TestNoReadWhileWaitingOut: what an engine shows while an old order may
// still arrive isn't what the first order is planned on.
func TestNoReadWhileWaitingOut(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingIgnored), is1("1", PhaseReady))
	p.SetTerm(lease.Term{Fence: 2}, true, epoch)
	_, ok := p.NextRead(epoch.Add(4 * time.Second))
	is.True(!ok)
	_, ok = p.NextRead(epoch.Add(5 * time.Second))
	is.True(ok)
}

// TestPacing is the table of how many orders go out at once.
func TestPacing(t *testing.T) {
	old, done := is1("1", PhaseReady), is1("2", PhaseReady)
	roleOnly := spec(1, "1", FencingChecked)
	roleOnly.Desired.Role = RolePrefill
	tests := []struct {
		name   string
		spec   Spec
		states []State
		limit  func(*Limits)
		orders int
		why    Reason
	}{
		{"canaries first", spec(1, "2", FencingChecked), repeat(100, old), nil, 2, ReasonCanary},
		{"one canary there", spec(1, "2", FencingChecked), append(repeat(99, old), done), nil, 1, ReasonCanary},
		{"canaries there", spec(1, "2", FencingChecked), append(repeat(98, old), done, done), nil, 4, ReasonLoading},
		{"share out of service", spec(1, "2", FencingChecked), append(repeat(18, old), done, done), nil, 2, ReasonOut},
		{"unreachable ones are out", spec(1, "2", FencingChecked), append(repeat(18, old), done, done), func(l *Limits) { l.MaxOutShare = 0.05 }, 1, ReasonOut},
		{"a single engine", spec(1, "2", FencingChecked), repeat(1, old), nil, 1, ReasonDone},
		{"empty engines cost nothing", spec(1, "2", FencingChecked), append(repeat(3, State{Incarnation: 1, Phase: PhaseEmpty}), done, done), nil, 3, ReasonDone},
		{"weight store's rate", spec(1, "2", FencingChecked), append(repeat(98, old), done, done), func(l *Limits) { l.LoadsPerMinute, l.MaxLoading = 1, 3 }, 3, ReasonLoading},
		{"loads of an old state count", spec(1, "2", FencingChecked), append(repeat(4, is1("1", PhaseLoading)), append(repeat(90, old), done, done)...), nil, 4, ReasonLoading},
		{"roles change without the weight store", roleOnly, repeat(40, old), func(l *Limits) { l.LoadsPerMinute, l.Canaries = 0, 0 }, 4, ReasonLoading},
		{"there already", spec(1, "2", FencingChecked), repeat(5, done), nil, 0, ReasonDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := poolOf(tt.spec, tt.states...)
			if tt.limit != nil {
				tt.limit(&p.limits)
			}
			is.Equal(drain(p, epoch), tt.orders)
			is.Equal(p.Waiting(), tt.why)
		})
	}
}

// TestLoadRate: once the burst is used, loads follow the rate.
func TestLoadRate(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), append(repeat(98, is1("1", PhaseReady)), is1("2", PhaseReady), is1("2", PhaseReady))...)
	p.loads = newBucket(0.1, 1, epoch)
	is.Equal(drain(p, epoch), 1)
	is.Equal(p.Waiting(), ReasonRate)
	is.Equal(drain(p, epoch.Add(9*time.Second)), 0)
	is.Equal(drain(p, epoch.Add(10*time.Second)), 1)
}

// TestCanariesStopTheRollOut: failing first engines stop it and say why; the
// others are never ordered.
func TestCanariesStopTheRollOut(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), repeat(50, is1("1", PhaseReady))...)
	now := epoch
	failed := is1("2", PhaseFailed)
	failed.Error = "no weights"
	ordered := make(map[string]int)
	for range 1000 {
		now = now.Add(time.Second)
		o, _, ok := p.NextOrder(now)
		if !ok {
			continue
		}
		ordered[o.ID]++
		p.Sent(o.ID, nil, now)
		p.Observe(o.ID, failed, nil, now)
	}
	is.Equal(ordered, map[string]int{"e00": 3, "e01": 3}) // MaxAttempts each
	is.Equal(p.Waiting(), ReasonHalted)
	r, _, ok := p.NextRecord(now)
	is.True(ok)
	is.Equal(r.Halted, "e00: no weights; e01: no weights")
	is.Equal(len(r.Errors), 2)
}

// TestOutcomes is the table of what becomes of one order.
func TestOutcomes(t *testing.T) {
	failed := is1("2", PhaseFailed)
	tests := []struct {
		name     string
		sent     error
		state    State
		after    time.Duration
		attempts int
		retry    Retry
		class    class
	}{
		{"loaded", nil, is1("2", PhaseReady), time.Second, 0, "", classDone},
		{"loading", nil, is1("2", PhaseLoading), time.Second, 0, "", classLoading},
		{"load failed", nil, failed, time.Second, 1, RetryLoadFailed, classFailed},
		{"answer lost, order taken", ErrUncertain, is1("2", PhaseLoading), time.Second, 0, "", classLoading},
		{"answer lost, not seen yet", ErrUncertain, is1("1", PhaseReady), 9 * time.Second, 0, "", classLoading},
		{"answer lost, never seen", ErrUncertain, is1("1", PhaseReady), 10 * time.Second, 1, RetryUnseen, classWrong},
		{"refused", ErrRefused, is1("1", PhaseReady), time.Second, 1, RetryRefused, classWrong},
		{"not sent", ErrNotSent, is1("1", PhaseReady), time.Second, 0, RetryNotSent, classWrong},
		{"restarted", ErrIncarnation, State{Phase: PhaseEmpty}, time.Second, 0, RetryIncarnation, classWrong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady))
			o, _, ok := p.NextOrder(epoch)
			is.True(ok)
			p.Sent(o.ID, tt.sent, epoch)
			p.Observe(o.ID, tt.state, nil, epoch.Add(tt.after))
			e := p.engines[o.ID]
			is.Equal(e.attempts, tt.attempts)
			is.Equal(e.class(p.spec.Desired), tt.class)
			if tt.retry != "" {
				is.Equal(p.retries, map[Retry]int{tt.retry: 1})
			}
		})
	}
}

// TestDriftIsRepaired: an engine that leaves the desired state is ordered
// again.
func TestDriftIsRepaired(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingIgnored), is1("2", PhaseReady))
	now := epoch.Add(time.Minute)
	is.Equal(drain(p, now), 0)
	p.Observe("e00", is1("1", PhaseLoading), nil, now) // an old order arrived
	is.Equal(p.retries[RetryDrifted], 1)
	is.Equal(drain(p, now), 1)
}

// TestUnreachable: two failed reads in a row put an engine's state in doubt,
// and it is read less and less often.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), is1("2", PhaseReady))
	down := errors.New("down")
	p.Observe("e00", State{}, down, epoch)
	is.Equal(count(p.views()).unknown, 0)
	p.Observe("e00", State{}, down, epoch)
	is.Equal(count(p.views()).unknown, 1)
	_, ok := p.NextRead(epoch.Add(9 * time.Second))
	is.True(!ok)
	_, ok = p.NextRead(epoch.Add(10 * time.Second))
	is.True(ok)
}

// TestClaim: a new issuer gives its number to engines that are in the desired
// state, if they check it, and takes none of them out of service.
func TestClaim(t *testing.T) {
	is := is.New(t)
	for kind, want := range map[Fencing]int{FencingChecked: 5, FencingIgnored: 0} {
		old := is1("2", PhaseReady)
		old.Fence = 0
		p := poolOf(spec(1, "2", kind), repeat(5, old)...)
		now := epoch.Add(time.Minute)
		is.Equal(drain(p, now), want)
		is.Equal(count(p.views()).out, 0)
		is.Equal(p.Waiting(), ReasonDone)
	}
}

// TestReadOrder: an engine under an order is read before those overdue.
func TestReadOrder(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), is1("2", PhaseReady), is1("2", PhaseLoading))
	p.Observe("e01", is1("2", PhaseLoading), nil, epoch.Add(40*time.Second))
	next, ok := p.NextRead(epoch.Add(42 * time.Second))
	is.True(ok)
	is.Equal(next.ID, "e01")
}

// TestRecordPace: a changed state is recorded at once, progress every
// RecordEvery.
func TestRecordPace(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), is1("1", PhaseReady))
	p.Observe("e00", is1("2", PhaseReady), nil, epoch)
	_, _, ok := p.NextRecord(epoch.Add(14 * time.Second))
	is.True(!ok)
	_, _, ok = p.NextRecord(epoch.Add(15 * time.Second))
	is.True(ok)
	p.SetSpec(spec(2, "3", FencingChecked))
	_, _, ok = p.NextRecord(epoch)
	is.True(ok)
	p.RecordFailed(true, epoch)
	_, _, ok = p.NextRecord(epoch.Add(time.Minute))
	is.True(!ok) // read it again first
	is.True(p.RecordUnknown(epoch.Add(5 * time.Second)))
}
