package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/targets"
)

// maxCells is the largest number of cells asked for one request.
const maxCells = 4

// acquisition is one call of Acquire in progress, at the node by which the request came in.
type acquisition struct {
	service *Service
	plan    *plan
	group   *group
	region  string
	request Request
	order   []int // indexes of live targets, best first
	tried   []int // cells that were full
}

// place is a place on a target, granted by an owner or taken by the local estimate.
type place struct {
	key    holds.CellKey
	seq    uint64
	target targets.Target
	done   func() // ends the local count
}

// Acquire implements Admitter. It asks the owner of the cell that has the best target, and the
// owners of further cells while the answer is that the cell is full. Without an answer the local
// estimate decides, so that a request never depends on another node.
func (s *Service) Acquire(ctx context.Context, r Request) (Grant, error) {
	p := s.plan()
	g, region := p.nearest(r.Pool.Pool)
	e := &acquisition{service: s, plan: p, group: g, region: region, request: r}
	e.rank()
	if len(e.order) == 0 {
		s.metrics.requests.WithLabelValues(outcomeNoTarget).Inc()
		return Grant{}, problem.New(problem.NoTarget, problem.NotRun, r.Pool.Name).WithRetryAfter(saturatedRetryAfter)
	}
	if p.pools[r.Pool.Pool].cells == 0 {
		return e.placeLocally(reasonNoOwner)
	}
	return e.acquire(ctx)
}

func (e *acquisition) rank() {
	top := routing.Top(nil, e.request.Chat, e.group.hashes, len(e.request.Exclude)+maxCells*2)
	e.order = slices.DeleteFunc(top, func(i int) bool {
		return slices.Contains(e.request.Exclude, e.group.live[i].ID)
	})
}

func (e *acquisition) acquire(ctx context.Context) (Grant, error) {
	var last answer
	for next := e.firstCell(); next >= 0 && len(e.tried) < maxCells; next = e.nextCell(last) {
		if len(e.tried) > 0 {
			e.service.metrics.redirects.WithLabelValues(redirectFull).Inc()
		}
		last = e.askCell(ctx, next)
		switch last.kind {
		case answerGranted:
			return e.grant(last.place, last.outcome), nil
		case answerFull, answerGone:
			e.tried = append(e.tried, next)
		case answerRefused:
			return Grant{}, e.refuse(outcomeRefused, last.reply)
		case answerCanceled:
			e.service.metrics.requests.WithLabelValues(outcomeCanceled).Inc()
			return Grant{}, problem.New(problem.DeadlineExceeded, problem.NotRun, "while waiting for a place")
		default:
			return e.placeLocally(last.reason)
		}
	}
	// An owner refuses if the whole pool has no capacity. If instead each cell is only over its
	// bound, the owners' totals of each other are out of date.
	return e.placeLocally(reasonAllFull)
}

// firstCell returns the cell of the best target.
func (e *acquisition) firstCell() int { return e.group.cells[e.order[0]] }

// nextCell returns the cell to ask after the last was full: the untried cell whose target ranks
// best, or the one with the least load if there is none or if it is the last of maxCells. It
// returns -1 if there is no cell left.
func (e *acquisition) nextCell(last answer) int {
	least := last.reply.Least - 1
	if len(e.tried) == maxCells-1 && least >= 0 && !slices.Contains(e.tried, least) {
		return least
	}
	for _, i := range e.order {
		if !slices.Contains(e.tried, e.group.cells[i]) {
			return e.group.cells[i]
		}
	}
	if least >= 0 && !slices.Contains(e.tried, least) {
		return least
	}
	return -1
}

// isLastCell reports whether the cell being asked is the last one.
func (e *acquisition) isLastCell() bool {
	cells := e.plan.pools[e.request.Pool.Pool].cells
	return len(e.tried) >= min(maxCells, cells)-1
}

func (e *acquisition) refuse(outcome string, r holds.Reply) error {
	e.service.metrics.requests.WithLabelValues(outcome).Inc()
	reason := problem.Saturated
	switch r.Reason {
	case cell.ReasonWorkspaceLimit:
		reason = problem.WorkspaceLimit
	case cell.ReasonNoTarget:
		reason = problem.NoTarget
	}
	after := time.Duration(r.RetryAfterMS) * time.Millisecond
	if after <= 0 {
		after = saturatedRetryAfter
	}
	return problem.New(reason, problem.NotRun, e.request.Pool.Name).WithRetryAfter(after)
}

// placeLocally places the request by the local estimate. The owner gets the place with the
// next resync.
func (e *acquisition) placeLocally(reason string) (Grant, error) {
	s := e.service
	s.metrics.fallbacks.WithLabelValues(reason).Inc()
	r := e.request
	if c, ok := e.plan.pools[r.Pool.Pool]; ok {
		r.Pool.LoadFactor, r.Pool.MaxInFlight = c.cell.LoadFactor, c.cell.MaxInFlight
	}
	t, done, err := s.local.place(e.group.live, r)
	if err != nil {
		s.metrics.requests.WithLabelValues(outcomeFull).Inc()
		return Grant{}, err
	}
	k := e.plan.keyOf(holds.CellKey{Pool: r.Pool.Pool, Region: e.region}, t.ID)
	owner, _ := e.plan.owner(k)
	seq := s.table.AddUngranted(s.now(), k, holderOf(owner), holds.Place{Target: t.ID, Workspace: workspaceName(r), Chat: r.Chat})
	return e.grant(place{key: k, seq: seq, target: t, done: done}, outcomeFallback), nil
}

func (e *acquisition) grant(p place, outcome string) Grant {
	s := e.service
	s.metrics.requests.WithLabelValues(outcome).Inc()
	s.recordChat(e.request.Chat, p.target.ID)
	return Grant{Target: p.target, Release: releaseOnce(func(r Result) { s.release(p, r) })}
}

func (s *Service) recordChat(chat uint64, target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent.Put(s.now(), chat, target)
}

// releaseOnce returns a release function that does nothing when called again.
func releaseOnce(f func(Result)) func(Result) {
	var once sync.Once
	return func(r Result) { once.Do(func() { f(r) }) }
}

// release ends a place at the cell's present owner.
func (s *Service) release(p place, r Result) {
	p.done()
	s.local.recordResult(p.target.ID, r)
	k := s.table.Release(p.key, p.seq)
	owner, ok := s.plan().owner(k)
	if !ok {
		return
	}
	s.sendRelease(owner.ID, k, p.seq, r)
}

func (s *Service) sendRelease(node string, k holds.CellKey, seq uint64, r Result) {
	if node == s.cfg.Node {
		e := holds.EndedPlaces{CellKey: k}
		e.Add(seq, r)
		s.releaseOwned(s.self.Holder(), e)
		return
	}
	s.releases.Add(node, k, seq, r)
}

func workspaceName(r Request) string { return r.Workspace.Team + "/" + r.Workspace.Name }
