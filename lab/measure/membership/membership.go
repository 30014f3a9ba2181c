// Package membership measures the protocol between the nodes of a region on
// virtual time: how soon a lost node, a leaving one and a leaving target are
// known everywhere, what is wrongly declared dead, and what it costs a node.
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
	settleTime  = 60 * time.Second // for the news of the start to end
	steadyTime  = 30 * time.Second
	giveUpAfter = 3 * time.Minute
	resolution  = 10 * time.Millisecond
	kills       = 4 // one after the other
)

// cases are the sizes and losses measured. A region of 370 nodes that loses 30%
// is left out: its news of wrong suspicions never ends.
var cases = []struct {
	nodes int
	loss  float64
}{
	{8, 0}, {8, 0.1}, {8, 0.3}, {53, 0}, {53, 0.1}, {53, 0.3}, {370, 0}, {370, 0.1},
}

// Section is the measurement.
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

// row is what was measured at one size and loss. Times are in seconds of
// virtual time from the event to the last node that knows.
type row struct {
	nodes               int
	loss                float64
	messages, bytes     float64 // a node a second, sent
	killMean, killWorst float64
	leaving, target     float64
	suspected, declared int64 // wrongly, in the steady time, by all nodes
	most                int   // messages at one event
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
		{Name: "wrong_suspicions", Value: r.suspected},
		{Name: "wrong_deaths", Value: r.declared},
		{Name: "most_messages_event", Value: r.most},
	}
}

func run(nodes int, loss float64, seed uint64) row {
	f := membershiptest.New(nodes, membership.DefaultConfig(), seed)
	f.Loss = loss
	f.Run(settleTime)
	r := row{nodes: nodes, loss: loss}
	r.steady(f)
	heard := func(n *membershiptest.Node) bool { return len(n.LeavingReportedAt) > 0 }
	r.target = until(f, all(f, heard), func() {
		f.ReportLeaving(0, targets.Report{Target: "engine-1", Incarnation: 1, Leaving: true})
	})
	r.leaving = until(f, all(f, excludes(f.Nodes[1].ID)), f.Nodes[1].Leave)
	for _, victim := range f.Nodes[2 : 2+kills] {
		r.kill(f, victim)
	}
	for _, n := range f.Nodes {
		r.most = max(r.most, n.MaxSentPerEvent)
	}
	return r
}

// kill measures how soon a node that ends without a word is excluded.
func (r *row) kill(f *membershiptest.Fleet, victim *membershiptest.Node) {
	gone := excludes(victim.ID)
	seconds := until(f, all(f, gone), func() { victim.Down = true })
	r.killMean += seconds / kills
	r.killWorst = max(r.killWorst, seconds)
}

// steady measures the cost and the wrong verdicts of a time without faults but
// loss.
func (r *row) steady(f *membershiptest.Fleet) {
	f.CountBytes = true
	before := sum(f)
	f.Run(steadyTime)
	after := sum(f)
	f.CountBytes = false
	per := float64(len(f.Nodes)) * steadyTime.Seconds()
	r.messages = float64(after.messages-before.messages) / per
	r.bytes = float64(after.bytes-before.bytes) / per
	r.suspected = after.counts.Suspicions - before.counts.Suspicions
	r.declared = after.counts.Deaths - before.counts.Deaths
}

type totals struct {
	messages, bytes int64
	counts          membership.Counts
}

func sum(f *membershiptest.Fleet) totals {
	var t totals
	for _, n := range f.Nodes {
		t.messages += n.Messages
		t.bytes += n.Bytes
		t.counts.Suspicions += n.Counts().Suspicions
		t.counts.Deaths += n.Counts().Deaths
	}
	return t
}

// until makes an event happen and returns the seconds until done.
func until(f *membershiptest.Fleet, done func() bool, event func()) float64 {
	start := f.Now
	event()
	for f.Now.Sub(start) < giveUpAfter && !done() {
		f.Run(resolution)
	}
	return f.Now.Sub(start).Seconds()
}

// all says whether every node that is up knows.
func all(f *membershiptest.Fleet, knows func(*membershiptest.Node) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(f.Nodes, func(n *membershiptest.Node) bool { return !n.Down && !knows(n) })
	}
}

// excludes says whether a node gives another no duty.
func excludes(id string) func(*membershiptest.Node) bool {
	return func(n *membershiptest.Node) bool {
		other, ok := n.View().Node(id)
		return !ok || other.State >= membership.Leaving
	}
}
