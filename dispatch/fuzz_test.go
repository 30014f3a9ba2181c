package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/peer"
)

// loneNode is a node without others, whose own cell it owns.
type loneNode struct {
	handlers map[string]peer.Handler
	targets  []cell.Target
	live     bool
	others   []string // live nodes
	call     func(method string) any
	// owner is the first in the order: this node, unless it is set.
	owner string
}

func (n *loneNode) Handle(m string, h peer.Handler)                   { n.handlers[m] = h }
func (n *loneNode) LimitConcurrency(string, int)                      {}
func (n *loneNode) Notify(context.Context, string, string, any) error { return nil }
func (n *loneNode) Self() (string, int64)                             { return "me", 1 }
func (n *loneNode) LiveAddresses() []string                           { return n.others }
func (n *loneNode) IsLive(string) bool                                { return n.live }
func (n *loneNode) HeardAt(string) time.Time                          { return time.Time{} }
func (n *loneNode) FleetSize() int                                    { return 1 }
func (n *loneNode) Targets(s string) ([]cell.Target, bool)            { return n.targets, s == testService }
func (n *loneNode) Services() []string                                { return []string{testService} }
func (n *loneNode) CountedRunning(string, string) int                 { return 0 }
func (n *loneNode) Owners(uint64, int) []string {
	if n.owner != "" {
		return []string{n.owner}
	}
	return []string{"me"}
}

func (n *loneNode) Call(_ context.Context, _, method string, _, result any) error {
	raw, err := json.Marshal(n.call(method))
	*result.(*json.RawMessage) = raw
	return err
}

// newLoneNode returns a service that has taken its cell over, on a clock that the test moves.
func newLoneNode(now *time.Time) (*Service, *loneNode) {
	return newLoneNodeWith(now, func(cell.Config) record { return newQueueRecord() })
}

func newLoneNodeWith(now *time.Time, newRecord func(cell.Config) record) (*Service, *loneNode) {
	n := &loneNode{handlers: make(map[string]peer.Handler), targets: testTargets(6, 6), live: true, call: func(string) any { return nil }}
	s := New(Config{}, n, n, log.New(io.Discard), prometheus.NewRegistry())
	s.now, s.spawn = func() time.Time { return *now }, func(f func()) { f() }
	s.newRecord = newRecord
	s.SetDirectory(n)
	s.tick(context.Background())
	return s, n
}

// fuzzMessage fuzzes the handler of a method: numbers that are malformed, huge or negative, and lists
// that don't ascend, must not end the process, take places for ever or free those of others.
func fuzzMessage(f *testing.F, method string, seeds ...string) {
	for _, seed := range append(seeds, `{}`, `[]`, `null`, `{"n":"x","i":-1,"p":"small","c":-1,"o":1}`,
		`{"n":"x","p":"small","o":9223372036854775807,"q":18446744073709551615}`) {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		now := start
		s, n := newLoneNode(&now)
		mine := s.Acquire(context.Background(), testRequest())
		if mine.Outcome != Granted {
			t.Fatal(mine)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // held calls end at once
		_, _ = n.handlers[method](ctx, raw)
		_, _ = n.handlers[method](ctx, raw)
		c := s.owned.all()[0]
		for _, l := range c.record.Targets() {
			if l.InFlight > 6 && method != methodResync {
				t.Fatalf("%d places granted on %s", l.InFlight, l.ID)
			}
		}
		if method != methodAcquire && method != methodResync && c.record.Places() > 1 {
			t.Fatalf("%d places after %s", c.record.Places(), method)
		}
		// The sender is gone: all of its places come back.
		n.live = false
		for range 80 {
			now = now.Add(tickInterval)
			s.tick(ctx)
		}
		if got := c.record.Places(); got != 1 {
			t.Fatalf("%d places left instead of the one of this node", got)
		}
		mine.Place.Release(cell.Answered)
		if c.record.Places() != 0 || s.table.Len() != 0 {
			t.Fatal("place of this node not freed")
		}
	})
}

func FuzzAcquire(f *testing.F) {
	fuzzMessage(f, methodAcquire,
		`{"n":"x","i":1,"p":"small","o":1,"q":1,"h":3,"w":"ws","u":0,"sw":100,"rm":1000,"hm":18750,"x":["target-0"],"rv":[{"n":"y","i":2}],"su":["z"],"z":[{"n":"v","i":1}]}`,
		`{"n":"x","i":1,"p":"small","o":1,"q":2,"u":-5,"g":-1e300,"sw":-9223372036854775808,"rm":9223372036854775807,"hm":9223372036854775807}`,
		`{"n":"x","i":1,"p":"small","o":1,"q":2,"e":[{"p":"small","o":1,"q":[3,18446744073709551615,1],"f":[9],"v":[1,1],"z":[0]}]}`,
		`{"n":"me","i":1,"p":"small","o":1,"q":99,"w":"ws"}`)
}

// FuzzDecoder: the decoder of asks must agree with encoding/json, or the owner would decide on other
// numbers than the node sent.
func FuzzDecoder(f *testing.F) {
	for _, seed := range []string{
		`{"n":"x","i":-1,"p":"small","c":1,"o":2,"q":18446744073709551615,"h":3,"w":"ws","u":0,"sw":100,"rm":1000,"rt":true,"d":"z","hm":18750,"x":["a","b"],"su":[]}`,
		`{"n":"x","e":[{"p":"small","o":1,"q":[3,18446744073709551615,1],"f":[9],"v":[],"z":[0]},{}]}`,
		`{"q":01}`, `{"q":-1}`, `{"i":9223372036854775808}`, `{"n":"\u0041"}`, `{"e":[{"q":[1]}],"e":[{}]}`, `{"q":1}x`, `{ "q":1}`, `{"Q":1}`, `{"x":null}`, `{"rt":truefalse}`, `{"q":1,}`, `{"e":[1]}`,
	} {
		f.Add([]byte(seed))
	}
	known := &names{known: make(map[string]string)}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var want acquireMessage
		wantErr := json.Unmarshal(raw, &want)
		got, err := decodeAcquire(raw, known)
		if (err != nil) != (wantErr != nil) || err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%v, %+v instead of %v, %+v", err, got, wantErr, want)
		}
	})
}

func FuzzRelease(f *testing.F) {
	fuzzMessage(f, methodRelease,
		`{"n":"x","i":1,"e":[{"p":"small","o":1,"q":[1,1,1],"f":[2]}]}`,
		`{"n":"x","i":9223372036854775807,"e":[{"p":"small","c":7,"o":3,"q":[18446744073709551615,5]}]}`)
}

func FuzzResync(f *testing.F) {
	fuzzMessage(f, methodResync,
		`{"n":"x","i":1,"p":"small","o":1,"s":9,"q":[1],"w":[2],"d":[{"q":3,"t":"target-0","w":"ws","h":1}]}`,
		`{"n":"x","i":1,"p":"small","o":1,"s":18446744073709551615,"d":[{"q":0,"t":"","w":""},{"q":0,"t":"nowhere"}]}`)
}

func FuzzPull(f *testing.F) {
	fuzzMessage(f, methodPull, `{"n":"x","i":1,"p":"small","o":1}`, `{"n":"x","i":1,"p":"","o":0}`)
}

// FuzzReplies fuzzes what an owner answers to an ask, a resync and a pull: a place on a target that
// this node doesn't have, or one that is never released, must not result.
func FuzzReplies(f *testing.F) {
	for _, seed := range []string{
		`{"t":"target-0"}`, `{"t":"nowhere"}`, `{"k":2,"s":1,"a":-9223372036854775808}`, `{"k":2,"a":9223372036854775807,"wt":-1}`,
		`{"k":5}`, `{"k":3,"o":"me","l":true}`, `{"k":3,"o":"x"}`, `{"k":-7}`, `{"k":1,"s":99,"m":-3}`, `null`, `[]`, `{"n":"owner","i":3,"q":[18446744073709551615,2],"d":[{"q":1,"t":"a"}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if !json.Valid(raw) {
			return
		}
		now := start
		s, n := newLoneNode(&now)
		n.owner = "owner"
		now = now.Add(orderTTL)
		asked := 0
		n.call = func(string) any {
			if asked++; asked > 20 {
				return holds.Reply{Code: holds.Refused}
			}
			return json.RawMessage(raw)
		}
		a := s.Acquire(context.Background(), testRequest())
		switch {
		case a.Outcome == Granted && (a.Place == nil || a.Place.Target() < "target-0" || a.Place.Target() > "target-5"):
			t.Fatalf("place on %v", a.Place)
		case a.RetryAfter < 0 || a.RetryAfter > maxRetryAfter || a.Waited < 0:
			t.Fatal(a)
		}
		if a.Place != nil {
			a.Place.Release(cell.Failed)
		}
		for range 3 {
			now = now.Add(resyncInterval)
			s.tick(context.Background())
		}
		if s.table.Len() != 0 {
			t.Fatal("a place is left")
		}
	})
}
