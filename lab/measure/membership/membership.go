// Package membership measures the membership protocol of a region's nodes on
// virtual time: how long it takes until every node has learned of a lost node, a
// leaving node and a leaving target, how many nodes are wrongly suspected or
// declared dead, and how many messages and bytes a node sends.
package membership

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/measure"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/membership/membershiptest"
	"github.com/knapweedgw/knapweedgw/targets"
)

// Times of a run.
const (
	settleTime  = 60 * time.Second // until the gossip about the start has ended
	steadyTime  = 30 * time.Second
	giveUpAfter = 3 * time.Minute
	resolution  = 10 * time.Millisecond
	kills       = 4 // nodes killed one after the other
)

// cases are the region sizes and message loss rates measured. 370 nodes with 30%
// loss are left out because gossip about false suspicions never ends there.
var cases = []struct {
	nodes int
	loss  float64
}{
	{8, 0}, {8, 0.1}, {8, 0.3}, {53, 0}, {53, 0.1}, {53, 0.3}, {370, 0}, {370, 0.1},
}

// Section is the measurement "membership".
type Section struct{}

// Name implements measure.Section.
func (Section) Name() string { return "membership" }

// Run implements measure.Section.
func (s Section) Run(ctx context.Context, r *measure.Reporter, seed uint64) (string, error) {
	var last row
	for _, c := range cases {
		if err := ctx.Err(); err != nil {
			return "", err
		}
		last = run(c.nodes, c.loss, seed)
		if err := r.Add(s.Name(), last); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("membership: nodes=%d loss=%v steady_Bps=%.0f", last.nodes, last.loss, last.bytes), nil
}

// row is the result at one size and loss rate. Times are in seconds of virtual
// time from the event until the last running node has learned of it.
type row struct {
	nodes                        int
	loss                         float64
	messages, bytes              float64 // sent per node and second
	killMean, killWorst          float64
	leaving, target              float64
	falseSuspicions, falseDeaths int64 // by all nodes during steadyTime
	mostMessages                 int   // sent by one node at one event
}

// Fields implements measure.Row.
func (r row) Fields() []measure.Field {
	return []measure.Field{
		{Name: "nodes", Value: r.nodes},
		{Name: "loss", Value: r.loss},
		{Name: "messages_node_s", Value: r.messages},
		{Name: "bytes_node_s", Value: r.bytes},
		{Name: "all_know_killed_mean_s", Value: r.killMean},
		{Name: "all_know_killed_worst_s", Value: r.killWorst},
		{Name: "all_know_leaving_s", Value: r.leaving},
		{Name: "all_know_target_s", Value: r.target},
		{Name: "wrong_suspicions", Value: r.falseSuspicions},
		{Name: "wrong_deaths", Value: r.falseDeaths},
		{Name: "most_messages_event", Value: r.mostMessages},
	}
}

func run(nodes int, loss float64, seed uint64) row {
	f := membershiptest.New(nodes, membership.DefaultConfig(), seed)
	f.Loss = loss
	f.Run(settleTime)
	r := row{nodes: nodes, loss: loss}
	r.measureSteady(f)
	learned := func(n *membershiptest.Node) bool { return len(n.LeavingReportedAt) > 0 }
	r.target = timeUntil(f, all(f, learned), func() {
		f.ReportLeaving(0, targets.Report{Target: "engine-1", Incarnation: 1, Leaving: true})
	})
	r.leaving = timeUntil(f, all(f, excludes(f.Nodes[1].ID)), f.Nodes[1].Leave)
	for _, victim := range f.Nodes[2 : 2+kills] {
		r.measureKill(f, victim)
	}
	for _, n := range f.Nodes {
		r.mostMessages = max(r.mostMessages, n.MaxSentPerEvent)
	}
	return r
}

// measureKill measures how soon all nodes exclude a node that stops without
// announcing it.
func (r *row) measureKill(f *membershiptest.Fleet, victim *membershiptest.Node) {
	excluded := excludes(victim.ID)
	seconds := timeUntil(f, all(f, excluded), func() { victim.Down = true })
	r.killMean += seconds / kills
	r.killWorst = max(r.killWorst, seconds)
}

// measureSteady measures the traffic and the false suspicions and deaths of a
// period whose only fault is message loss.
func (r *row) measureSteady(f *membershiptest.Fleet) {
	f.CountBytes = true
	before := sumTotals(f)
	f.Run(steadyTime)
	after := sumTotals(f)
	f.CountBytes = false
	per := float64(len(f.Nodes)) * steadyTime.Seconds()
	r.messages = float64(after.messages-before.messages) / per
	r.bytes = float64(after.bytes-before.bytes) / per
	r.falseSuspicions = after.counts.Suspicions - before.counts.Suspicions
	r.falseDeaths = after.counts.Deaths - before.counts.Deaths
}

type totals struct {
	messages, bytes int64
	counts          membership.Counts
}

func sumTotals(f *membershiptest.Fleet) totals {
	var t totals
	for _, n := range f.Nodes {
		t.messages += n.Messages
		t.bytes += n.Bytes
		t.counts.Suspicions += n.Counts().Suspicions
		t.counts.Deaths += n.Counts().Deaths
	}
	return t
}

// timeUntil triggers an event and returns the seconds until done returns true,
// at most giveUpAfter.
func timeUntil(f *membershiptest.Fleet, done func() bool, event func()) float64 {
	start := f.Now
	event()
	for f.Now.Sub(start) < giveUpAfter && !done() {
		f.Run(resolution)
	}
	return f.Now.Sub(start).Seconds()
}

// all returns a function that reports whether every running node satisfies a
// condition.
func all(f *membershiptest.Fleet, condition func(*membershiptest.Node) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(f.Nodes, func(n *membershiptest.Node) bool { return !n.Down && !condition(n) })
	}
}

// excludes returns a condition that is true if a node's view lacks the node id or
// shows it as leaving or dead, so that it gives it no duties.
func excludes(id string) func(*membershiptest.Node) bool {
	return func(n *membershiptest.Node) bool {
		other, ok := n.View().Node(id)
		return !ok || other.State >= membership.Leaving
	}
}
