package soak

import (
	"strings"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	// leaveBound is how long after a node has passed on an answer in which a target says
	// that it leaves a request may still reach it from there.
	leaveBound = 2 * time.Second
	// restSlack is how long after a target has asked a node for rest requests may reach it
	// that were on their way, and restArrivals how many more may until the rest ends.
	restSlack    = 500 * time.Millisecond
	restArrivals = 2
	// minRest and maxRest bound the rests that targets ask for.
	minRest = time.Second
	maxRest = 3 * time.Second
	// fewRefusals is how many requests a target turns away that does so only now and then.
	fewRefusals = 3
)

// noticesRule is what must hold of targets that say of themselves that they leave or want
// rest.
type noticesRule struct {
	mu sync.Mutex
	// nodes are those that requests went to, by the request's ID.
	nodes map[string]*process
	told  []told
}

// told is an answer that a node has passed on from a target that says that it leaves.
type told struct {
	node    *process
	request string
	engine  string
	at      time.Time
}

const headerSignature = "sig-"

func (n *noticesRule) note(x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[x.id] = x.node
	engine, ok := strings.CutPrefix(x.header.Get("Engine-Signature"), headerSignature)
	if ok && x.err == nil && x.header.Get("Server-Leaving") != "" {
		n.told = append(n.told, told{node: x.node, request: x.id, engine: engine, at: x.ended})
	}
}

// leave has a target say in its answers that it leaves, while another joins and the store
// is silent. Its entry says so only afterwards.
func (r *run) leave(s Step) {
	t := r.target(s)
	e := t.current()
	r.must(r.addTarget(replacement(e, s), e.Service, s.Which))
	e.SayLeaving()
	r.silence(s.For + leaveBound)
	if s.Fault%2 == 0 {
		r.store.Put("servers/"+e.ID, e.Entry("draining"))
		time.Sleep(drainTime)
	}
	r.store.Remove("servers/" + e.ID)
}

// silence has the store answer nobody for a while.
func (r *run) silence(d time.Duration) {
	defer r.lost.core.begin()()
	r.store.SetMode(standin.Silent)
	time.Sleep(d)
	r.store.SetMode(standin.Serving)
}

// shed has a target turn some or all requests away for a while, and ask for rest.
func (r *run) shed(s Step) {
	e := r.target(s).current()
	defer r.harmOf(e.ID).begin()()
	e.AskForRest(minRest + time.Duration(s.Fault)*time.Millisecond%(maxRest-minRest))
	count := -1
	if s.Fault%2 == 0 {
		count = fewRefusals
	}
	e.SetFault(standin.Refuse, count)
	time.Sleep(s.For)
	e.SetFault(standin.None, 0)
}

// checkNotices checks what reached targets that had said that they leave or want rest.
func (r *run) checkNotices() {
	r.notices.mu.Lock()
	defer r.notices.mu.Unlock()
	arrivals := make(map[*process]map[string][]standin.Arrival)
	for _, a := range r.journal.Arrivals() {
		n, ok := r.notices.nodes[a.Request]
		if !ok {
			continue
		}
		if arrivals[n] == nil {
			arrivals[n] = make(map[string][]standin.Arrival)
		}
		arrivals[n][a.Engine] = append(arrivals[n][a.Engine], a)
	}
	for _, t := range r.notices.told {
		r.checkLeft(t, arrivals[t.node][t.engine])
	}
	for n, engines := range arrivals {
		for _, at := range engines {
			r.checkRests(n, at)
		}
	}
}

// checkLeft checks what came to a target after it had said that it leaves, from the node
// that had passed that on.
func (r *run) checkLeft(t told, arrivals []standin.Arrival) {
	var born int64
	for _, a := range arrivals {
		if a.Request == t.request {
			born = a.Born
		}
	}
	for _, a := range arrivals {
		late := a.At.Sub(t.at)
		if a.Born != born || late <= leaveBound || t.node.startedAnew(t.at, a.At) {
			continue
		}
		r.checker.broken("request %s reached %s %v after %s had passed on that it leaves", a.Request, a.Engine, late, t.node.name)
		return
	}
}

// checkRests checks what came to a target while it rested, in the order of its coming.
func (r *run) checkRests(n *process, arrivals []standin.Arrival) {
	for i, asked := range arrivals {
		if asked.Rest == 0 {
			continue
		}
		from, to := asked.At.Add(restSlack), asked.At.Add(asked.Rest)
		meanwhile := 0
		for _, a := range arrivals[i+1:] {
			if a.Born == asked.Born && a.At.After(from) && a.At.Before(to) {
				meanwhile++
			}
		}
		if meanwhile > restArrivals && !n.startedAnew(asked.At, to) {
			r.checker.broken("request %s: %s asked %s for %v of rest and got %d requests meanwhile",
				asked.Request, asked.Engine, n.name, asked.Rest, meanwhile)
		}
	}
}

// startedAnew says whether a node was stopped, killed, frozen or started in a time.
func (p *process) startedAnew(from, to time.Time) bool {
	return p.harmed.touches(from, to) || p.begun.touches(from, to) || p.asked.touches(from, to)
}
