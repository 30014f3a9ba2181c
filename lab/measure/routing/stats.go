package routing

import (
	"math"
	"slices"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// stats are the figures of one run, taken after the warm-up.
type stats struct {
	held, reused   int // prefix tokens that the last engine, still live, could have held; those found
	dispatched     int
	refused        map[cell.Reason]int
	refusedSurge   int
	refusedOthers  int
	asksSurge      int
	asksOthers     int
	samples        int
	maxSum, p99Sum float64
	worst          float64
	overTime       float64 // seconds in which some engine was over the rounded bound
	worstLate      float64 // longest time after which a leaving engine got work
	calls          int     // asks of owners
	remote         int     // those to another node
	spills         int     // asks that the first cell couldn't place
}

func (t *stats) dispatch(s *sim, r *request, e *engine) {
	if !s.measuring() {
		return
	}
	t.dispatched++
	t.ask(r)
	if e.state == engineLeaving {
		t.worstLate = max(t.worstLate, s.now-e.since)
	}
	c := r.chat
	if c.last < 0 || s.engines[c.last].state >= engineLeaving {
		return
	}
	t.held += c.tokens
	t.reused += e.match(c.id, c.tokens)
}

// ask counts a turn once, however often it is tried.
func (t *stats) ask(r *request) {
	switch {
	case r.chat.refused:
	case r.chat.workspace < surgingWorkspaces:
		t.asksSurge++
	default:
		t.asksOthers++
	}
}

// refuse counts a turn once, by the reason of its first refusal.
func (t *stats) refuse(s *sim, r *request, reason cell.Reason) {
	if !s.measuring() || r.chat.refused {
		return
	}
	if t.refused == nil {
		t.refused = make(map[cell.Reason]int)
	}
	t.refused[reason]++
	t.ask(r)
	if r.chat.workspace < surgingWorkspaces {
		t.refusedSurge++
	} else {
		t.refusedOthers++
	}
}

// sample takes the load of the engines that may get new work.
func (t *stats) sample(s *sim) {
	loads := make([]int, 0, len(s.engines))
	sum := 0
	for _, e := range s.engines {
		if e.state == engineLive || e.state == engineHidden {
			loads = append(loads, len(e.inFlight))
			sum += len(e.inFlight)
		}
	}
	if sum == 0 {
		return
	}
	slices.Sort(loads)
	mean := float64(sum) / float64(len(loads))
	top := float64(loads[len(loads)-1])
	t.samples++
	t.maxSum += top / mean
	t.p99Sum += float64(loads[(len(loads)-1)*99/100]) / mean
	t.worst = max(t.worst, top/mean)
	if top > math.Ceil(s.c*mean) {
		t.overTime += tickPeriod
	}
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
