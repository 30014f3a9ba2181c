package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/settings"
)

// churn keeps a constant number of requests in flight, through all live nodes.
type churn struct {
	f    *fleet
	rng  *rand.Rand
	held *heldPlaces
	via  []*fakeNode // node of each place held
	t    testing.TB
}

// step ends one request and begins another at a random node.
func (c *churn) step() {
	c.end(c.rng.IntN(len(c.held.grants)))
	c.begin()
}

func (c *churn) end(i int) {
	c.held.release(i)
	c.via = slices.Delete(c.via, i, i+1)
}

// kill stops a node, and ends the requests that came in through it.
func (c *churn) kill(n *fakeNode) {
	n.fault = faultUnreachable
	for i := len(c.via) - 1; i >= 0; i-- {
		if c.via[i] == n {
			c.end(i)
		}
	}
}

func (c *churn) begin() {
	n := c.rng.IntN(len(c.f.nodes))
	for c.f.nodes[n].fault != faultNone {
		n = c.rng.IntN(len(c.f.nodes))
	}
	g, err := c.f.acquire(n, c.rng.Uint64N(200))
	if err != nil {
		c.t.Fatal(err)
	}
	c.held.add(g)
	c.via = append(c.via, c.f.nodes[n])
}

// maxOverMean runs for a duration, one step each 10 ms, and returns the largest load of a
// target divided by the mean.
func (c *churn) maxOverMean(d time.Duration, engines int) float64 {
	worst := 0.0
	for range d / (10 * time.Millisecond) {
		c.step()
		c.f.advance(10 * time.Millisecond)
		mean := float64(len(c.held.grants)) / float64(engines)
		for _, n := range c.held.counts {
			worst = max(worst, float64(n)/mean)
		}
	}
	return worst
}

// viewWithout returns a view in which the given number of nodes that come first in the
// rendezvous order are dead, so that each number results in another owner.
func (f *fleet) viewWithout(owners int) *membership.View {
	var dead []string
	view := f.view()
	for range owners {
		p := newPlan(inputs{view: view, settings: f.nodes[0].settings.Snapshot(), targets: f.nodes[0].targets.Snapshot()},
			testRegion, func(membership.Node) bool { return false })
		n, _ := p.owner(p.keys(testPool, testRegion)[0])
		dead = append(dead, n.ID)
		view = f.view(dead...)
	}
	return view
}

// TestOvershoot: with split views, a frozen owner or a killed one, no target's load exceeds
// twice the bound, and once the views agree the bound holds again for every new request. The
// largest loads are logged.
func TestOvershoot(t *testing.T) {
	const nodes, engines, perEngine = 8, 18, 18
	limit := settings.DefaultLoadFactor + 1.0/perEngine // c, rounded up to whole requests
	tests := []struct {
		name  string
		start func(c *churn)
		max   float64
	}{
		{"one view", func(*churn) {}, limit},
		{"two owners", func(c *churn) {
			for i, n := range c.f.nodes {
				n.views.v.Store(c.f.viewWithout(i % 2))
			}
		}, 2 * limit},
		{"three owners", func(c *churn) {
			for i, n := range c.f.nodes {
				n.views.v.Store(c.f.viewWithout(i % 3))
			}
		}, 2 * limit},
		{"owner frozen, views as before", func(c *churn) { c.f.owner(t, 0).fault = faultFrozen }, 2 * limit},
		{"owner killed, views follow", func(c *churn) {
			c.kill(c.f.owner(t, 0))
			c.f.setViews(c.f.viewWithout(1))
		}, limit},
		{"owner resumes with its old view", func(c *churn) {
			o := c.f.owner(t, 0)
			c.f.setViews(c.f.viewWithout(1))
			o.views.v.Store(c.f.view())
		}, 2 * limit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(nodes, engines, 1)
			c := &churn{f: f, rng: rand.New(rand.NewPCG(1, 1)), held: newHeldPlaces(), t: t}
			for range engines * perEngine {
				c.begin()
			}
			tt.start(c)
			during := c.maxOverMean(10*time.Second, engines)
			is.True(during <= tt.max)
			for _, n := range f.nodes {
				n.fault = faultNone
			}
			f.setViews(f.view())
			faultEnd := f.now
			for !c.exact() {
				is.True(f.now.Sub(faultEnd) <= 6*time.Second) // a resync interval
				f.advance(10 * time.Millisecond)
			}
			t.Logf("worst max/mean %.2f during the fault; counts exact %v after it", during, f.now.Sub(faultEnd))
			for range 200 {
				c.step()
				f.advance(releaseDelay)
				g := c.held.grants[len(c.held.grants)-1]
				is.True(c.held.counts[g.Target.ID] <= c.held.bound(engines))
			}
		})
	}
}

func (c *churn) exact() bool {
	counted := c.f.counted()
	same := len(counted) == len(c.held.counts)
	for id, n := range c.held.counts {
		same = same && counted[id] == n
	}
	return same
}
