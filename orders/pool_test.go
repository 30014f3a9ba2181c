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

func stateOf(version string, phase Phase) State {
	s := State{Incarnation: 1, Fence: 1, Phase: phase, Target: spec(0, version, "").Desired}
	if phase == PhaseReady {
		s.Current = s.Target
	}
	return s
}

// poolOf returns a pool in a term, with its spec recorded and with the given state
// read from each engine.
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
		p.ReadDone(targets[i].ID, st, nil, epoch)
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

// sendAll sends orders until none is allowed and returns how many it sent.
func sendAll(p *Pool, now time.Time) int {
	n := 0
	for {
		t, _, ok := p.NextOrder(now)
		if !ok {
			return n
		}
		p.OrderDone(t.ID, nil, now)
		n++
	}
}

// TestWaitReasons checks when an issuer must not send an order, and the reason that
// it reports.
func TestWaitReasons(t *testing.T) {
	ignored := poolOf(spec(1, "2", FencingIgnored), stateOf("1", PhaseReady))
	unrecorded := poolOf(spec(1, "1", FencingChecked), stateOf("1", PhaseReady))
	unrecorded.SetSpec(spec(2, "2", FencingChecked))
	behind := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady))
	behind.RecordRead(Record{Spec: spec(2, "3", FencingChecked)}, 7)
	same := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady))
	same.RecordRead(Record{Spec: spec(2, "2", FencingChecked)}, 7)
	halted := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady))
	halted.RecordRead(Record{Spec: spec(1, "2", FencingChecked), Halted: "e: bad"}, 7)
	again := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady))
	again.RecordRead(Record{Spec: spec(1, "2", FencingChecked), Halted: "e: bad"}, 7)
	raised := spec(2, "2", FencingChecked)
	raised.Attempt = 1
	again.SetSpec(raised)
	r, _, _ := again.NextRecord(epoch)
	again.RecordWritten(r, 8, epoch)
	unread := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady), stateOf("1", PhaseReady))
	unread.SetTargets([]Target{{ID: "e00", Incarnation: 1}, {ID: "e01", Incarnation: 2}})
	reordered := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady))
	sendAll(reordered, epoch)
	reordered.SetSpec(spec(2, "3", FencingChecked))
	r, _, _ = reordered.NextRecord(epoch)
	reordered.RecordWritten(r, 2, epoch)
	lost := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady))
	lost.SetTerm(lease.Term{}, false, epoch)
	fenced := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady))
	fenced.OrderDone("e00", ErrStaleFence, epoch)

	tests := []struct {
		name string
		pool *Pool
		at   time.Duration
		want Reason
	}{
		{"earlier orders may arrive", ignored, 4999 * time.Millisecond, ReasonWaitingOut},
		{"earlier orders can't arrive any more", ignored, 5 * time.Second, ReasonNone},
		{"desired state not recorded", unrecorded, 0, ReasonUnrecorded},
		{"record of newer settings", behind, 0, ReasonSettingsBehind},
		{"newer revision, same state", same, 0, ReasonNone},
		{"halted by an earlier issuer", halted, 0, ReasonHalted},
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

// TestNoReadWhileEarlierOrdersInFlight guards against planning the first order on a
// state that an order of an earlier term can still change.
func TestNoReadWhileEarlierOrdersInFlight(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingIgnored), stateOf("1", PhaseReady))
	p.SetTerm(lease.Term{Fence: 2}, true, epoch)
	_, ok := p.NextRead(epoch.Add(4 * time.Second))
	is.True(!ok)
	_, ok = p.NextRead(epoch.Add(5 * time.Second))
	is.True(ok)
}

// TestPacing checks how many orders are sent at once, and the reason for sending no
// more.
func TestPacing(t *testing.T) {
	old, done := stateOf("1", PhaseReady), stateOf("2", PhaseReady)
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
		{"one canary done", spec(1, "2", FencingChecked), append(repeat(99, old), done), nil, 1, ReasonCanary},
		{"canaries done", spec(1, "2", FencingChecked), append(repeat(98, old), done, done), nil, 4, ReasonMaxLoading},
		{"maximum share out of service", spec(1, "2", FencingChecked), append(repeat(18, old), done, done), nil, 2, ReasonMaxOut},
		{"share out of service allows one engine", spec(1, "2", FencingChecked), append(repeat(18, old), done, done), func(l *Limits) { l.MaxOutShare = 0.05 }, 1, ReasonMaxOut},
		{"a single engine", spec(1, "2", FencingChecked), repeat(1, old), nil, 1, ReasonDone},
		{"empty engines take no capacity out of service", spec(1, "2", FencingChecked), append(repeat(3, State{Incarnation: 1, Phase: PhaseEmpty}), done, done), nil, 3, ReasonDone},
		{"lower maximum of loading engines", spec(1, "2", FencingChecked), append(repeat(98, old), done, done), func(l *Limits) { l.LoadsPerMinute, l.MaxLoading = 1, 3 }, 3, ReasonMaxLoading},
		{"loads of an old state count", spec(1, "2", FencingChecked), append(repeat(4, stateOf("1", PhaseLoading)), append(repeat(90, old), done, done)...), nil, 4, ReasonMaxLoading},
		{"role change needs no load from the weight store", roleOnly, repeat(40, old), func(l *Limits) { l.LoadsPerMinute, l.Canaries = 0, 0 }, 4, ReasonMaxLoading},
		{"all engines done", spec(1, "2", FencingChecked), repeat(5, done), nil, 0, ReasonDone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := poolOf(tt.spec, tt.states...)
			if tt.limit != nil {
				tt.limit(&p.limits)
			}
			is.Equal(sendAll(p, epoch), tt.orders)
			is.Equal(p.Waiting(), tt.why)
		})
	}
}

// TestLoadRate checks that loads follow the rate once the burst is used up.
func TestLoadRate(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), append(repeat(98, stateOf("1", PhaseReady)), stateOf("2", PhaseReady), stateOf("2", PhaseReady))...)
	p.loads = newBucket(0.1, 1, epoch)
	is.Equal(sendAll(p, epoch), 1)
	is.Equal(p.Waiting(), ReasonRate)
	is.Equal(sendAll(p, epoch.Add(9*time.Second)), 0)
	is.Equal(sendAll(p, epoch.Add(10*time.Second)), 1)
}

// TestCanariesStopTheRollOut checks that failing canaries halt the roll-out with
// their errors in the record, and that the other engines are never ordered.
func TestCanariesStopTheRollOut(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), repeat(50, stateOf("1", PhaseReady))...)
	now := epoch
	failed := stateOf("2", PhaseFailed)
	failed.Error = "no weights"
	ordered := make(map[string]int)
	for range 1000 {
		now = now.Add(time.Second)
		o, _, ok := p.NextOrder(now)
		if !ok {
			continue
		}
		ordered[o.ID]++
		p.OrderDone(o.ID, nil, now)
		p.ReadDone(o.ID, failed, nil, now)
	}
	is.Equal(ordered, map[string]int{"e00": 3, "e01": 3}) // MaxAttempts each
	is.Equal(p.Waiting(), ReasonHalted)
	r, _, ok := p.NextRecord(now)
	is.True(ok)
	is.Equal(r.Halted, "e00: no weights; e01: no weights")
	is.Equal(len(r.Errors), 2)
}

// TestOutcomes checks how each outcome of an order changes the engine's attempts,
// retries and class.
func TestOutcomes(t *testing.T) {
	failed := stateOf("2", PhaseFailed)
	tests := []struct {
		name     string
		sent     error
		state    State
		after    time.Duration
		attempts int
		retry    RetryReason
		class    class
	}{
		{"loaded", nil, stateOf("2", PhaseReady), time.Second, 0, "", classDone},
		{"loading", nil, stateOf("2", PhaseLoading), time.Second, 0, "", classLoading},
		{"load failed", nil, failed, time.Second, 1, RetryLoadFailed, classFailed},
		{"response lost, order accepted", ErrUncertain, stateOf("2", PhaseLoading), time.Second, 0, "", classLoading},
		{"response lost, order not seen yet", ErrUncertain, stateOf("1", PhaseReady), 9 * time.Second, 0, "", classLoading},
		{"response lost, order never seen", ErrUncertain, stateOf("1", PhaseReady), 10 * time.Second, 1, RetryUnseen, classWrong},
		{"refused", ErrRefused, stateOf("1", PhaseReady), time.Second, 1, RetryRefused, classWrong},
		{"not sent", ErrNotSent, stateOf("1", PhaseReady), time.Second, 0, RetryNotSent, classWrong},
		{"restarted", ErrIncarnation, State{Phase: PhaseEmpty}, time.Second, 0, RetryIncarnation, classWrong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady))
			o, _, ok := p.NextOrder(epoch)
			is.True(ok)
			p.OrderDone(o.ID, tt.sent, epoch)
			p.ReadDone(o.ID, tt.state, nil, epoch.Add(tt.after))
			e := p.engines[o.ID]
			is.Equal(e.attempts, tt.attempts)
			is.Equal(e.class(p.spec.Desired), tt.class)
			if tt.retry != "" {
				is.Equal(p.retries, map[RetryReason]int{tt.retry: 1})
			}
		})
	}
}

// TestDriftIsRepaired checks that an engine that leaves the desired state is ordered
// again.
func TestDriftIsRepaired(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingIgnored), stateOf("2", PhaseReady))
	now := epoch.Add(time.Minute)
	is.Equal(sendAll(p, now), 0)
	p.ReadDone("e00", stateOf("1", PhaseLoading), nil, now) // an order of an earlier term arrived
	is.Equal(p.retries[RetryDrifted], 1)
	is.Equal(sendAll(p, now), 1)
}

// TestUnreachable checks that two consecutive failed reads discard an engine's state,
// and that it is then read with backoff.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), stateOf("2", PhaseReady))
	down := errors.New("down")
	p.ReadDone("e00", State{}, down, epoch)
	is.Equal(count(p.views()).unknown, 0)
	p.ReadDone("e00", State{}, down, epoch)
	is.Equal(count(p.views()).unknown, 1)
	_, ok := p.NextRead(epoch.Add(9 * time.Second))
	is.True(!ok)
	_, ok = p.NextRead(epoch.Add(10 * time.Second))
	is.True(ok)
}

// TestRefence checks that a new issuer sends its fencing number to engines that are
// already in the desired state, if they check it, and takes none out of service.
func TestRefence(t *testing.T) {
	is := is.New(t)
	for kind, want := range map[Fencing]int{FencingChecked: 5, FencingIgnored: 0} {
		old := stateOf("2", PhaseReady)
		old.Fence = 0
		p := poolOf(spec(1, "2", kind), repeat(5, old)...)
		now := epoch.Add(time.Minute)
		is.Equal(sendAll(p, now), want)
		is.Equal(count(p.views()).out, 0)
		is.Equal(p.Waiting(), ReasonDone)
	}
}

// TestReadOrder checks that an engine that is loading is read before engines that
// have been due for longer.
func TestReadOrder(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), stateOf("2", PhaseReady), stateOf("2", PhaseLoading))
	p.ReadDone("e01", stateOf("2", PhaseLoading), nil, epoch.Add(40*time.Second))
	next, ok := p.NextRead(epoch.Add(42 * time.Second))
	is.True(ok)
	is.Equal(next.ID, "e01")
}

// TestRecordPace checks that a changed desired state is recorded at once, and progress
// every RecordEvery.
func TestRecordPace(t *testing.T) {
	is := is.New(t)
	p := poolOf(spec(1, "2", FencingChecked), stateOf("1", PhaseReady))
	p.ReadDone("e00", stateOf("2", PhaseReady), nil, epoch)
	_, _, ok := p.NextRecord(epoch.Add(14 * time.Second))
	is.True(!ok)
	_, _, ok = p.NextRecord(epoch.Add(15 * time.Second))
	is.True(ok)
	p.SetSpec(spec(2, "3", FencingChecked))
	_, _, ok = p.NextRecord(epoch)
	is.True(ok)
	p.RecordFailed(true, epoch)
	_, _, ok = p.NextRecord(epoch.Add(time.Minute))
	is.True(!ok) // the record must be read again first
	is.True(p.RecordReadDue(epoch.Add(5 * time.Second)))
}
