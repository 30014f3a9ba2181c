package soak

import (
	"strings"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	// leaveBound is how long a target may still get requests from a node after that node has
	// passed on a response in which the target announces that it leaves.
	leaveBound = 2 * time.Second
	// A target that asks a node for a cooldown wants no requests from it for that time. Requests
	// already on their way may reach it for cooldownSlack; after that at most cooldownArrivals
	// may until the cooldown ends.
	cooldownSlack    = 500 * time.Millisecond
	cooldownArrivals = 2
	// minCooldown and maxCooldown limit the length of the cooldowns that targets ask for.
	minCooldown = time.Second
	maxCooldown = 3 * time.Second
	// fewRefusals is how many requests a target rejects in a step that doesn't reject all.
	fewRefusals = 3
)

// announcementCheck holds what the check of targets that announce that they leave or ask for a
// cooldown needs.
type announcementCheck struct {
	mu sync.Mutex
	// nodes maps a request ID to the node that the request was sent to.
	nodes   map[string]*process
	leaving []leaveAnnouncement
}

// leaveAnnouncement is a response, passed on by a node, in which a target announces that it leaves.
type leaveAnnouncement struct {
	node    *process
	request string
	engine  string
	at      time.Time
}

const headerSignature = "sig-"

func (n *announcementCheck) observe(x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[x.id] = x.node
	engine, ok := strings.CutPrefix(x.header.Get("Engine-Signature"), headerSignature)
	if ok && x.err == nil && x.header.Get("Server-Leaving") != "" {
		n.leaving = append(n.leaving, leaveAnnouncement{node: x.node, request: x.id, engine: engine, at: x.ended})
	}
}

// announceLeave makes a target announce in its responses that it leaves, while another joins and
// the store doesn't answer. The target's entry in the store changes only afterwards.
func (r *run) announceLeave(s Step) {
	t := r.target(s)
	e := t.current()
	r.must(r.addTarget(replacementID(e, s), e.Service, s.Which))
	e.SayLeaving()
	r.silenceStore(s.For + leaveBound)
	if s.Variant%2 == 0 {
		r.store.Put("servers/"+e.ID, e.Entry("draining"))
		time.Sleep(drainTime)
	}
	r.store.Remove("servers/" + e.ID)
}

// silenceStore makes the store answer no request for d.
func (r *run) silenceStore(d time.Duration) {
	defer r.lost.storeFaults.begin()()
	r.store.SetMode(standin.Silent)
	time.Sleep(d)
	r.store.SetMode(standin.Serving)
}

// shed makes a target reject requests and ask for a cooldown: all requests during the step, or the
// first fewRefusals for an even Variant.
func (r *run) shed(s Step) {
	e := r.target(s).current()
	defer r.targetFaultsOf(e.ID).begin()()
	e.AskForRest(minCooldown + time.Duration(s.Variant)*time.Millisecond%(maxCooldown-minCooldown))
	count := -1
	if s.Variant%2 == 0 {
		count = fewRefusals
	}
	e.SetFault(standin.Refuse, count)
	time.Sleep(s.For)
	e.SetFault(standin.None, 0)
}

// checkAnnouncements checks the requests that reached targets after these had announced that they
// leave or ask for a cooldown.
func (r *run) checkAnnouncements() {
	r.announcements.mu.Lock()
	defer r.announcements.mu.Unlock()
	arrivals := make(map[*process]map[string][]standin.Arrival)
	for _, a := range r.journal.Arrivals() {
		n, ok := r.announcements.nodes[a.Request]
		if !ok {
			continue
		}
		if arrivals[n] == nil {
			arrivals[n] = make(map[string][]standin.Arrival)
		}
		arrivals[n][a.Engine] = append(arrivals[n][a.Engine], a)
	}
	for _, t := range r.announcements.leaving {
		r.checkAfterLeave(t, arrivals[t.node][t.engine])
	}
	for n, engines := range arrivals {
		for _, at := range engines {
			r.checkCooldowns(n, at)
		}
	}
}

// checkAfterLeave checks the requests that a target got after its announcement that it leaves, from
// the node that had passed it on. A node that was disrupted or restarted since is excused.
func (r *run) checkAfterLeave(t leaveAnnouncement, arrivals []standin.Arrival) {
	var born int64
	for _, a := range arrivals {
		if a.Request == t.request {
			born = a.Born
		}
	}
	for _, a := range arrivals {
		late := a.At.Sub(t.at)
		if a.Born != born || late <= leaveBound || t.node.interrupted(t.at, a.At) {
			continue
		}
		r.checker.broken("request %s reached %s %v after %s had passed on that it leaves", a.Request, a.Engine, late, t.node.name)
		return
	}
}

// checkCooldowns checks the requests that a target got from node n during its cooldowns. The
// arrivals are ordered by time.
func (r *run) checkCooldowns(n *process, arrivals []standin.Arrival) {
	for i, asked := range arrivals {
		if asked.Rest == 0 {
			continue
		}
		from, to := asked.At.Add(cooldownSlack), asked.At.Add(asked.Rest)
		meanwhile := 0
		for _, a := range arrivals[i+1:] {
			if a.Born == asked.Born && a.At.After(from) && a.At.Before(to) {
				meanwhile++
			}
		}
		if meanwhile > cooldownArrivals && !n.interrupted(asked.At, to) {
			r.checker.broken("request %s: %s asked %s for %v of rest and got %d requests meanwhile",
				asked.Request, asked.Engine, n.name, asked.Rest, meanwhile)
		}
	}
}

// interrupted reports whether the node was stopped, killed, frozen or started between two times.
func (p *process) interrupted(from, to time.Time) bool {
	return p.disrupted.overlaps(from, to) || p.starts.overlaps(from, to) || p.stopSignals.overlaps(from, to)
}
