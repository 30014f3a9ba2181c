package dispatch

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/admission/wire"
)

// Methods called between nodes. Release is a notification.
const (
	methodAcquire = "dispatch.acquire"
	methodRelease = "dispatch.release"
	methodResync  = "dispatch.resync"
	methodPull    = "dispatch.pull"
)

// Limits of what a message may contain.
const (
	// maxHeldCalls is the number of held calls of all nodes: several full queues.
	maxHeldCalls = 4096
	// maxSeqs is the number of places in one list. A node holds at most a few times the places of a
	// cell.
	maxSeqs      = 4096
	maxPushed    = 1024 // resyncs during a takeover
	maxNodes     = 64   // names of nodes in one list
	maxNameBytes = 256
	maxExclude   = 1024
	maxWait      = time.Hour   // longest time in a message
	maxHold      = time.Second // longest time that a call is held
	maxUrgency   = 7
	maxWeight    = 1e6
)

var errInvalid = errors.New("dispatch: invalid message; the nodes may run different releases")

// acquireMessage is a holds.Acquire with the time for which the call may be held.
type acquireMessage struct {
	holds.Acquire
	HoldMicros int64 `json:"hm,omitempty"`
}

func (m *acquireMessage) hold() time.Duration {
	return min(max(time.Duration(min(m.HoldMicros, maxHold.Microseconds()))*time.Microsecond, 0), maxHold)
}

// serve registers the handlers.
func (s *Service) serve() {
	b := s.metrics.bytes
	known := &names{known: make(map[string]string)}
	decode := func(raw []byte) (acquireMessage, error) { return decodeAcquire(raw, known) }
	s.net.Handle(methodAcquire, wire.HandlerWith(b, methodAcquire, decode, s.serveAcquire))
	s.net.Handle(methodRelease, wire.Notice(b, methodRelease, s.serveRelease))
	s.net.Handle(methodResync, wire.Handler(b, methodResync, s.serveResync))
	s.net.Handle(methodPull, wire.Handler(b, methodPull, s.servePull))
	s.net.LimitConcurrency(methodAcquire, maxHeldCalls)
}

func validFrom(f holds.From) bool { return f.Node != "" && len(f.Node) <= maxNameBytes }

// fromOther reports whether a message is from another node, as all that arrive are.
func (s *Service) fromOther(f holds.From) bool { return validFrom(f) && f.Node != s.self.Node }

func validKey(k holds.CellKey) bool {
	return k.Pool != "" && len(k.Pool) <= maxNameBytes && k.Of >= 1 && k.Of <= maxCells && k.Cell >= 0 && k.Cell < k.Of
}

func validEnded(e holds.EndedPlaces) bool {
	return validKey(e.CellKey) && len(e.Seqs) <= maxSeqs &&
		len(e.Failed) <= maxSeqs && len(e.Unknown) <= maxSeqs && len(e.Overloaded) <= maxSeqs
}

// normalize limits the numbers of an ask, and reports whether it is valid.
func normalize(m *acquireMessage) bool {
	ok := validFrom(m.From) && validKey(m.CellKey) && m.Seq > 0 && m.Seq < math.MaxInt64 &&
		len(m.Workspace) <= maxNameBytes && len(m.Domain) <= maxNameBytes && len(m.Exclude) <= maxExclude &&
		len(m.Ended) <= maxNodes && len(m.Rivals) <= maxNodes && len(m.Suspects) <= maxNodes && len(m.LeavingNodes) <= maxNodes
	limit := maxWait.Milliseconds()
	m.RemainingMS = min(max(m.RemainingMS, -limit), limit)
	m.Urgency = min(max(m.Urgency, 0), maxUrgency)
	if !(m.Weight >= 0 && m.Weight <= maxWeight) {
		m.Weight = 0
	}
	return ok
}

func (s *Service) serveAcquire(ctx context.Context, m acquireMessage) (holds.Reply, error) {
	if !s.fromOther(m.From) || !normalize(&m) {
		return holds.Reply{}, errInvalid
	}
	s.recordMessage(m.From, m.LeavingNodes)
	for _, e := range m.Ended {
		if validEnded(e) {
			s.releaseOwned(m.Holder(), e)
		}
	}
	m.Ended = nil
	return s.acquireOwned(ctx, m), nil
}

// acquireOwned decides an ask for a cell that this node should own.
func (s *Service) acquireOwned(ctx context.Context, m acquireMessage) holds.Reply {
	c, reply := s.cellFor(m)
	if c == nil {
		return reply
	}
	s.recordRivals(c, m.Rivals)
	return c.acquire(ctx, m.Acquire, m.hold())
}

// cellFor returns the owned cell for an ask, or the reply if this node doesn't own it or can't
// decide yet.
func (s *Service) cellFor(m acquireMessage) (*ownedCell, holds.Reply) {
	k := m.CellKey
	if s.leaving.Load() {
		return nil, holds.Reply{Code: holds.NotOwner, Leaving: true}
	}
	if !s.ownable(k) {
		return nil, holds.Reply{Code: holds.NotOwner}
	}
	st, before, owner := s.standing(k, m.Suspects)
	switch st {
	case standingOwner:
		return s.own(k, causeOrder), holds.Reply{}
	case standingOther:
		return nil, holds.Reply{Code: holds.NotOwner, Owner: owner}
	}
	return s.succeed(k, before, m.Node != s.self.Node)
}

// ownable reports whether this node's list of targets has the cell. Asks between two ticks use the same
// list, since computing it takes longer than a grant if there are many targets.
func (s *Service) ownable(k holds.CellKey) bool {
	s.mu.Lock()
	c := s.cells[k.Pool]
	if c != nil && s.now().Sub(c.updatedAt) < tickInterval {
		defer s.mu.Unlock()
		return c.cells == k.Of
	}
	s.mu.Unlock()
	targets, dispatched := s.directory.Targets(k.Pool)
	return dispatched && s.cellsOf(k.Pool, targets) == k.Of
}

// succeed returns the cell if this node acts as its owner in place of the nodes before it. Other
// asks begin a check whether these answer: the asking node's view isn't enough to take over, nor is
// the view of this node alone for its own requests.
func (s *Service) succeed(k holds.CellKey, before []string, asked bool) (*ownedCell, holds.Reply) {
	now, patience := s.now(), s.probeTimeout(before)
	s.owned.mu.Lock()
	sn := s.owned.successions[k]
	if sn == nil {
		sn = &succession{}
		s.owned.successions[k] = sn
	}
	check := asked && sn.ask(now, patience)
	owns, alive := sn.owns(now), sn.alive
	s.owned.mu.Unlock()
	if check {
		s.spawn(func() { s.check(k, sn, before, patience) })
	}
	switch {
	case owns:
		return s.own(k, causeSuspicion), holds.Reply{}
	case alive != "":
		return nil, holds.Reply{Code: holds.NotOwner, Owner: alive}
	default:
		return nil, recoveringReply
	}
}

// check asks the nodes before this one whether they answer. If none does, this node takes over.
func (s *Service) check(k holds.CellKey, sn *succession, before []string, patience time.Duration) {
	alive := s.probe(before, patience)
	now := s.now()
	s.owned.mu.Lock()
	sn.checked(now, alive)
	owns := sn.owns(now)
	s.owned.mu.Unlock()
	if owns {
		s.own(k, causeSuspicion)
	}
}

// own returns the cell's record. If this node hasn't owned the cell until now, a takeover begins.
func (s *Service) own(k holds.CellKey, cause string) *ownedCell {
	s.owned.mu.Lock()
	c, ok := s.owned.cells[k]
	if ok || s.leaving.Load() {
		s.owned.mu.Unlock()
		if !ok {
			c = newOwnedCell(k, s.metrics, s.now, s.newRecord(cellConfig()))
			c.closed = &holds.Reply{Code: holds.NotOwner, Leaving: true}
		}
		return c
	}
	c = newOwnedCell(k, s.metrics, s.now, s.newRecord(cellConfig()))
	c.mu.Lock()
	s.owned.cells[k] = c
	s.owned.mu.Unlock()
	s.beginTakeover(c, cause)
	c.mu.Unlock()
	s.continueTakeover(c)
	return c
}

func (s *Service) serveRelease(m holds.Release) error {
	if !s.fromOther(m.From) || len(m.Cells) > maxCells {
		return errInvalid
	}
	s.recordMessage(m.From, nil)
	for _, e := range m.Cells {
		if validEnded(e) {
			s.releaseOwned(m.Holder(), e)
		}
	}
	return nil
}

func (s *Service) releaseOwned(h cell.Holder, e holds.EndedPlaces) {
	c := s.owned.get(e.CellKey)
	if c == nil {
		return
	}
	for _, sus := range c.release(s.now(), h, e) {
		s.metrics.suspensions.Inc()
		s.log.Warn("target suspended", "target", sus.Target, "service", e.Pool, "pause", sus.Pause)
	}
}

func (s *Service) serveResync(_ context.Context, m holds.Resync) (holds.ResyncReply, error) {
	if !s.fromOther(m.From) || !validResync(m) {
		return holds.ResyncReply{}, errInvalid
	}
	s.recordMessage(m.From, nil)
	return s.resyncOwned(m), nil
}

func validResync(m holds.Resync) bool {
	return validFrom(m.From) && validKey(m.CellKey) && m.At < math.MaxInt64 &&
		len(m.Held) <= maxSeqs && len(m.Pending) <= maxSeqs && len(m.Details) <= maxSeqs
}

func (s *Service) resyncOwned(m holds.Resync) holds.ResyncReply {
	c := s.owned.get(m.CellKey)
	if c == nil {
		return holds.ResyncReply{NotOwner: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed != nil {
		return holds.ResyncReply{NotOwner: true}
	}
	if c.recovering() {
		if len(c.takeover.pushed) < maxPushed {
			c.takeover.pushed = append(c.takeover.pushed, m)
		}
		return holds.ResyncReply{Missing: m.Held}
	}
	now := s.now()
	reply := c.record.Resync(now, m)
	c.settleUnlessRecovering(now)
	return reply
}

// servePull returns this node's places in a cell, whose owner the caller claims to be. Without a
// cell it only tells the caller that this node answers.
func (s *Service) servePull(_ context.Context, m holds.Pull) (holds.Resync, error) {
	if !s.fromOther(m.From) {
		return holds.Resync{}, errInvalid
	}
	if m.CellKey == (holds.CellKey{}) {
		return holds.Resync{From: s.self}, nil
	}
	if !validKey(m.CellKey) {
		return holds.Resync{}, errInvalid
	}
	s.recordMessage(m.From, nil)
	s.mu.Lock()
	s.claims.add(m.CellKey, m.From, s.now())
	s.states.recordOwning(m.Node)
	s.mu.Unlock()
	return s.table.BuildResync(m.CellKey, cell.Holder{}), nil
}
