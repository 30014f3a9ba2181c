package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// retriesPerRequest is how many retries each failing request of the model asks for.
const retriesPerRequest = 3

// fleetModel drives the windows of a fleet's nodes on virtual time. Callers' requests reach a node after
// their transit, and each failing one asks for retries.
type fleetModel struct {
	cfg   WindowConfig
	rng   *rand.Rand
	start time.Time
	now   time.Duration
	nodes []*modelNode
	// requests are the times at which callers sent, retries those at which retries reached the service.
	requests, retries []time.Duration
}

// modelNode is a node whose process may be replaced.
type modelNode struct {
	window  *Window
	cut     bool
	frozen  bool
	queued  int // requests that callers sent while it was frozen, all of which fail
	shares  int // among how many nodes it divides the slack
	waiting []waitingRetry
}

// waitingRetry is a granted retry that waits until due, as for a place at a target.
type waitingRetry struct {
	due    time.Duration
	charge Charge
}

func newFleetModel(nodes int, seed uint64) *fleetModel {
	m := &fleetModel{cfg: fleetBound, rng: rand.New(rand.NewPCG(seed, 0)), start: time.Unix(1000, 0)}
	for range nodes {
		m.join()
	}
	m.advance(2 * m.cfg.Window)
	return m
}

func (m *fleetModel) at() time.Time { return m.start.Add(m.now) }

// join adds a node, which all nodes see that aren't cut off.
func (m *fleetModel) join() {
	m.nodes = append(m.nodes, &modelNode{window: NewWindow(m.cfg, m.at())})
	m.updateShares()
}

// kill replaces the process of a node.
func (m *fleetModel) kill(n *modelNode) {
	*n = modelNode{window: NewWindow(m.cfg, m.at()), cut: n.cut, shares: n.shares}
}

func (m *fleetModel) killAll() {
	for _, n := range m.nodes {
		m.kill(n)
	}
}

// cutTimeout is how long a node that is cut off from the others doesn't know it.
const cutTimeout = 2 * time.Second

// cut cuts a node off from all others.
func (m *fleetModel) cut(n *modelNode) {
	n.cut = true
	m.run(cutTimeout, 50, 1)
	m.updateShares()
}

func (m *fleetModel) heal() {
	for _, n := range m.nodes {
		n.cut = false
	}
	m.updateShares()
}

// updateShares tells each node among how many it divides the slack, as heartbeat.LimitShares does.
func (m *fleetModel) updateShares() {
	for _, n := range m.nodes {
		n.shares = len(m.nodes)
		if n.cut {
			n.shares = 0
		}
	}
}

func (m *fleetModel) advance(d time.Duration) {
	m.now += d
	for _, n := range m.nodes {
		m.sendWaiting(n)
	}
}

// sendWaiting sends the retries that are due.
func (m *fleetModel) sendWaiting(n *modelNode) {
	if n.frozen {
		return
	}
	n.waiting = slices.DeleteFunc(n.waiting, func(r waitingRetry) bool {
		if r.due > m.now {
			return false
		}
		if n.window.Renew(r.charge, m.at(), n.shares).Allowed {
			m.retries = append(m.retries, m.now)
		}
		return true
	})
}

// fail sends failing requests to a node, whose retries wait for delay.
func (m *fleetModel) fail(n *modelNode, requests int, transit, delay time.Duration) {
	for range requests {
		m.request(n, transit)
		m.retry(n, delay)
	}
	m.sendWaiting(n)
}

// retry asks for the retries of a failing request, which wait for delay.
func (m *fleetModel) retry(n *modelNode, delay time.Duration) {
	for range retriesPerRequest {
		if c, d := n.window.Take(m.at(), n.shares); d.Allowed {
			n.waiting = append(n.waiting, waitingRetry{due: m.now + delay, charge: c})
		}
	}
}

func (m *fleetModel) request(n *modelNode, transit time.Duration) {
	m.requests = append(m.requests, m.now-transit)
	n.window.Request(m.at())
}

// freeze stops a node for d while the others go on. When it wakes, it reads the requests sent meanwhile.
func (m *fleetModel) freeze(n *modelNode, d time.Duration, perSecond int, failing float64) {
	n.frozen = true
	m.run(d, perSecond, failing)
	n.frozen = false
	queued := n.queued
	n.queued = 0
	for range queued {
		n.window.Request(m.at())
		m.retry(n, 0)
	}
	m.sendWaiting(n)
}

// run sends perSecond requests to the whole fleet for d, of which the share failing fails.
func (m *fleetModel) run(d time.Duration, perSecond int, failing float64) {
	interval := time.Second / time.Duration(perSecond)
	for end := m.now + d; m.now < end; m.advance(interval) {
		n := m.nodes[m.rng.IntN(len(m.nodes))]
		switch {
		case n.frozen:
			m.requests = append(m.requests, m.now)
			n.queued++
		case m.rng.Float64() < failing:
			m.fail(n, 1, 0, 0)
		default:
			m.request(n, 0)
		}
	}
}

// check verifies the users' bound: in each window at most Slack + Share times the requests that callers
// sent in it, in the one before it or in the one half a window before it.
func (m *fleetModel) check(t interface{ Fatalf(string, ...any) }) {
	w := m.cfg.Window
	slices.Sort(m.requests)
	slices.Sort(m.retries)
	for _, from := range m.retries {
		used := countIn(m.retries, from, from+w)
		earned := max(countIn(m.requests, from, from+w), countIn(m.requests, from-w/2, from+w/2), countIn(m.requests, from-w, from))
		if allowed := m.cfg.Share*float64(earned) + m.cfg.Slack; float64(used) > allowed {
			t.Fatalf("%d retries in the %v from %v with %d requests, %.1f allowed", used, w, from, earned, allowed)
		}
	}
}

// countIn counts the times from from to until in ascending times.
func countIn(times []time.Duration, from, until time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, until+1)
	return last - first
}

// Guards against retries of a whole fleet that exceed its budget in some window: nodes forgot
// retries that were not a window old, and processes that started had forgotten what the ones before them
// had spent.
func TestRetriesOfAFleetStayWithinItsBudget(t *testing.T) {
	const nodes, perSecond = 7, 160
	scenarios := map[string]func(m *fleetModel){
		"two bursts within a window": func(m *fleetModel) {
			for range 10 {
				m.run(m.cfg.Window+100*time.Millisecond, perSecond, 0)
				m.run(300*time.Millisecond, 6*perSecond, 1)
				m.run(8900*time.Millisecond, perSecond, 0)
				m.run(300*time.Millisecond, 6*perSecond, 1)
			}
		},
		"failures without end": func(m *fleetModel) { m.run(5*m.cfg.Window, perSecond, 1) },
		"failures after a calm without requests": func(m *fleetModel) {
			m.run(m.cfg.Window, perSecond, 0)
			m.advance(3 * m.cfg.Window)
			m.run(2*m.cfg.Window, perSecond, 1)
		},
		"all nodes killed in series": func(m *fleetModel) {
			m.run(m.cfg.Window, perSecond, 0)
			for range 6 {
				m.run(1500*time.Millisecond, perSecond, 1)
				m.killAll()
			}
			m.run(2*m.cfg.Window, perSecond, 1)
		},
		"one node killed in series": func(m *fleetModel) {
			m.run(2*m.cfg.Window, perSecond, 0)
			for range 20 {
				m.run(700*time.Millisecond, perSecond, 1)
				m.kill(m.nodes[3])
			}
		},
		"all nodes killed at once": func(m *fleetModel) {
			m.run(2*m.cfg.Window, perSecond, 0)
			m.run(2*time.Second, perSecond, 1)
			m.killAll()
			m.run(2*m.cfg.Window, perSecond, 1)
		},
		"nodes restarted in turn, in pairs": func(m *fleetModel) {
			m.run(2*m.cfg.Window, perSecond, 0)
			for i := range 12 {
				m.run(time.Second, perSecond, 1)
				m.kill(m.nodes[2*i%nodes])
				m.kill(m.nodes[(2*i+1)%nodes])
			}
		},
		"nodes that wake from a freeze": func(m *fleetModel) {
			m.run(2*m.cfg.Window, perSecond, 0)
			m.run(time.Second, perSecond, 1)
			for i := range 6 {
				m.freeze(m.nodes[i], 4*time.Second, perSecond, 1)
			}
			m.run(m.cfg.Window, perSecond, 1)
		},
		"nodes killed one after the other": func(m *fleetModel) {
			m.run(m.cfg.Window, perSecond, 0)
			for i := range 40 {
				m.run(500*time.Millisecond, perSecond, 1)
				m.kill(m.nodes[i%nodes])
			}
		},
		"nodes that see no others": func(m *fleetModel) {
			m.run(m.cfg.Window, perSecond, 0)
			for _, n := range m.nodes {
				m.cut(n)
			}
			m.run(3*m.cfg.Window, perSecond, 0)
			m.run(m.cfg.Window, perSecond, 1)
		},
		"nodes that join": func(m *fleetModel) {
			m.run(m.cfg.Window, perSecond, 0)
			m.run(time.Second, perSecond, 1)
			for range nodes {
				m.join()
			}
			m.run(2*m.cfg.Window, perSecond, 1)
		},
		"retries that wait for a place and are sent together": func(m *fleetModel) {
			for range 60 {
				m.run(100*time.Millisecond, perSecond, 0)
				for _, n := range m.nodes {
					m.fail(n, 1, 0, 6*time.Second-m.now%(6*time.Second))
				}
			}
			m.run(500*time.Millisecond, 3*perSecond, 1)
			m.run(m.cfg.Window, perSecond, 1)
		},
		"retries that wait until the budget is whole again": func(m *fleetModel) {
			m.run(2*m.cfg.Window, perSecond, 0)
			for _, n := range m.nodes {
				m.fail(n, 40, 0, m.cfg.Window-500*time.Millisecond)
			}
			m.run(m.cfg.Window+200*time.Millisecond, perSecond, 0)
			m.run(time.Second, 3*perSecond, 1)
		},
		"load that moves from node to node": func(m *fleetModel) {
			for i := range 40 {
				for range 50 {
					m.fail(m.nodes[i%nodes], 3, 0, 0)
					m.advance(20 * time.Millisecond)
				}
			}
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			m := newFleetModel(nodes, 1)
			scenario(m)
			m.check(t)
		})
	}
}

// Guards against a window that forgets a burst of retries before it is a window old, at whichever time within
// the window and its slots the burst comes.
func TestBurstsAtEachPhaseOfAWindowStayWithinTheBudget(t *testing.T) {
	const nodes, perSecond, burst = 7, 160, 300 * time.Millisecond
	for phase := time.Duration(0); phase < fleetBound.Window; phase += 370 * time.Millisecond {
		for _, gap := range []time.Duration{time.Second, 5 * time.Second, 8900 * time.Millisecond, 9200 * time.Millisecond, 9650 * time.Millisecond} {
			m := newFleetModel(nodes, 1)
			m.run(m.cfg.Window+phase, perSecond, 0)
			m.run(burst, 6*perSecond, 1)
			m.run(gap, perSecond, 0)
			m.run(burst, 6*perSecond, 1)
			m.check(t)
		}
	}
}

// Guards against the same under any order of bursts, calms, kills, joins, cuts, freezes and waits.
func TestRetriesOfAnyFleetStayWithinItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		m := newFleetModel(rapid.IntRange(1, 8).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0:
				m.kill(n)
			case 1:
				m.killAll()
			case 2:
				m.cut(n)
			case 3:
				m.heal()
			case 4:
				if len(m.nodes) < 12 {
					m.join()
				}
			case 5:
				m.advance(duration("calm", 15_000))
			case 6:
				m.fail(n, rapid.IntRange(1, 80).Draw(t, "burst"), duration("transit", 200), duration("wait", 4000))
			case 7:
				m.run(duration("run", 3000), rapid.IntRange(1, 300).Draw(t, "rate"), 1)
			case 8:
				m.freeze(n, duration("freeze", 6000), rapid.IntRange(1, 300).Draw(t, "rate"), rapid.Float64Range(0, 1).Draw(t, "failing"))
			default:
				m.run(duration("run", 3000), rapid.IntRange(1, 300).Draw(t, "rate"), rapid.Float64Range(0, 1).Draw(t, "failing"))
			}
		}
		m.check(t)
	})
}
