package heartbeat

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// While targets register, each node has a different revision. Nodes that are behind must not
// all ask the newest one.
func TestNodesThatAreBehindAskDifferentNodes(t *testing.T) {
	const nodes, asks = 986, 986
	is, v, r := is.New(t), NewView(DefaultConfig(), "self"), rng()
	for i := range nodes {
		v.Receive(Report{Node: nodeName(i), Sequence: 1, Revision: int64(1000 + i)}, start)
	}
	asked := make(map[string]int)
	busiest := 0
	for range asks {
		node, ok := v.Ahead(0, 1500, start, r)
		is.True(ok)
		is.True(v.peers[node].report.Revision > 1500)
		asked[node]++
		busiest = max(busiest, asked[node])
	}
	is.True(len(asked) > nodes/4)
	is.True(busiest <= 16)
}

// The confirmation of a live node with a later revision counts for nodes with an earlier one.
func TestConfirmedBeyondARevision(t *testing.T) {
	is, v := is.New(t), NewView(DefaultConfig(), "self")
	v.Receive(Report{Node: "a", Sequence: 1, Revision: 9, ConfirmedAge: 300}, start)
	v.Receive(Report{Node: "b", Sequence: 1, Revision: 8, ConfirmedAge: 100}, start)
	v.Receive(Report{Node: "c", Sequence: 1, Revision: 10, ConfirmedAge: -1}, start)
	is.Equal(v.LaterConfirmedAt(7, start), start.Add(-100*time.Millisecond))
	is.Equal(v.LaterConfirmedAt(8, start), start.Add(-300*time.Millisecond))
	is.True(v.LaterConfirmedAt(9, start).IsZero())
	is.True(v.LaterConfirmedAt(7, start.Add(time.Hour)).IsZero())
}

// At any fleet size a group's sum is kept until the first sum of another relay can arrive.
// Otherwise losing one relay would drop all counts of the group.
func TestSumIsKeptUntilAnotherRelayAnswers(t *testing.T) {
	cfg := DefaultConfig()
	for _, nodes := range []int{17, 66, 295, 370, 986, 1972} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			interval := cfg.IntervalFor(nodes)
			relay := &subscription{delivered: true, heard: start, relays: []string{"a"}, until: start.Add(time.Hour)}
			replaced := start
			for relay.due(interval, cfg.relayTimeout(interval), replaced) == "" {
				replaced = replaced.Add(time.Millisecond)
			}
			answered := replaced.Add(interval * 3 / 4)
			is.New(t).True(answered.Sub(start) <= cfg.sumTTL(interval))
		})
	}
}

// Many nodes that are heard or lost together are logged on one line.
func TestManyNodeChangesAreOneLogLine(t *testing.T) {
	is, out := is.New(t), &lineCounter{}
	e := NewExchange(DefaultConfig(), "10.0.0.1:1", nil, log.New(out), prometheus.NewRegistry())
	for i := range 986 {
		e.machine.view.Receive(Report{Node: nodeName(i), Sequence: 1}, start)
	}
	e.updateLiveness(start)
	is.Equal(out.count, 1)
	e.updateLiveness(start.Add(time.Hour))
	is.Equal(out.count, 2)
	e.machine.view.Receive(Report{Node: nodeName(3), Sequence: 2}, start.Add(time.Hour))
	e.updateLiveness(start.Add(time.Hour))
	is.Equal(out.count, 3)
}

// lineCounter counts log lines.
type lineCounter struct{ count int }

func (l *lineCounter) Write(p []byte) (int, error) {
	l.count += bytes.Count(p, []byte("\n"))
	return len(p), nil
}
