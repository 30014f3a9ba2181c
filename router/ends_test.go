package router

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/roster"
)

// errDial is what a dial of a target whose program has ended gives.
var errDial = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// suspected is a request whose target closed the connection.
func suspected(p *testPool, n byte) quarantine.Suspect {
	return quarantine.Suspect{Request: "r", Fingerprint: quarantine.Fingerprint{n}, Sent: p.at.Add(-100 * time.Millisecond)}
}

// strikes is how often a target has ended under a request.
func strikes(p *testPool, s quarantine.Suspect) int { return p.guard.Begin(s.Fingerprint).Strikes }

// A closed connection says that the target has ended only if the target refuses another.
func TestClosedConnectionAndWhatTheNextOneMeets(t *testing.T) {
	for name, tt := range map[string]struct {
		dial error
		want int
	}{
		"refused":  {errDial, 1},
		"accepted": {nil, 0},
		"no reply": {&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, 0},
		"no descriptor": {
			&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, 0,
		},
		"reset": {errors.New("reset"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPool(roster.Target{ID: "a", Service: service, Slots: 8})
			p.try = func(string) error { return tt.dial }
			s := suspected(p, 1)
			<-p.closed(p.members["a"], s)
			is.New(t).Equal(strikes(p, s), tt.want)
		})
	}
}

// A target that has started again before it was asked shows by its next start.
func TestNextStartShowsTheEnd(t *testing.T) {
	for name, tt := range map[string]struct {
		after time.Duration
		want  int
	}{"soon": {time.Second, 1}, "long after": {suspectFor + time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := roster.Target{ID: "a", Service: service, Slots: 8, Started: start}
			p := newTestPool(target)
			p.try = func(string) error { return nil }
			s := suspected(p, 1)
			<-p.closed(p.members["a"], s)
			is.Equal(strikes(p, s), 0)
			p.at = p.at.Add(tt.after)
			target.Started = p.at
			p.keeper.Reset([]roster.Target{target}, p.at)
			p.update(p.keeper.Snapshot())
			is.Equal(strikes(p, s), tt.want)
		})
	}
}

// All runs on a target that ends are suspects, of one end.
func TestAllRunsOfATargetThatEndsAreSuspects(t *testing.T) {
	is := is.New(t)
	p := newTestPool(roster.Target{ID: "a", Service: service, Slots: 8})
	answer := make(chan error)
	p.try = func(string) error { return <-answer }
	one, two := suspected(p, 1), suspected(p, 2)
	probed := p.closed(p.members["a"], one)
	is.Equal(probed, p.closed(p.members["a"], two)) // one dial for all
	_ = p.closed(p.members["a"], one)
	answer <- errDial
	<-probed
	is.Equal(strikes(p, one), 1)
	is.Equal(strikes(p, two), 1)
}
