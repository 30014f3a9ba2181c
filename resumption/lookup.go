package resumption

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/pause"
)

// lookupRequest asks a node at which origin a stream may go on.
type lookupRequest struct {
	Key     Key    `json:"key,string"`
	Service string `json:"service"`
}

// lookupReply is the decision of the node that was asked, by what it knows itself.
type lookupReply struct {
	Origin Origin `json:"origin,omitempty"`
	Source Source `json:"source"`
	AgeMS  int64  `json:"age_ms,omitempty"`
}

func (s *Service) serveLookup(_ context.Context, params json.RawMessage) (any, error) {
	var req lookupRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "resumption: lookup")
	}
	d := s.decideAlone(req.Key, req.Service)
	return lookupReply{Origin: d.Origin, Source: d.Source, AgeMS: d.Age.Milliseconds()}, nil
}

// decision returns the decision in a reply; one of an unknown form decides nothing.
func (r lookupReply) decision() Decision {
	known := r.Source == FromRecord || r.Source == FromPast
	switch {
	case known && r.Origin != "" && len(r.Origin) <= maxOrigin && r.AgeMS >= 0:
		return Decision{Origin: r.Origin, Source: r.Source, Age: time.Duration(r.AgeMS) * time.Millisecond}.fromPeer()
	case r.Source == Conflicting:
		return Decision{Source: Conflicting}
	}
	return Decision{Source: Unknown}
}

// decideAlone decides by what this node knows.
func (s *Service) decideAlone(k Key, service string) Decision {
	current, confirmed := s.view.isCurrent(), s.view.confirmed()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.updateLedger(confirmed, now) // it may be the first use since the process stood still
	return s.ledger.Decide(k, service, current, now)
}

// Resolve decides at which origin a stream may go on, and asks other nodes if this one doesn't know. Each
// round of questions takes lookupTimeout at most.
func (s *Service) Resolve(ctx context.Context, k Key, service string) Decision {
	d := s.decideAlone(k, service)
	if d.Source == Unknown {
		d = s.ask(ctx, k, service)
	}
	s.metrics.decisions.WithLabelValues(string(d.Source)).Inc()
	return d
}

// askedOfOwnGroup is the number of nodes of its own group that a node asks in each round, and the number
// of rounds: a fleet of up to ten nodes is asked completely.
var askedOfOwnGroup = [...]int{3, 6}

// ask asks nodes of all groups: the nodes of a group have the records of the streams that one of them began,
// the first in the stream's rendezvous order before the others. Nodes that don't know are no reason to stop:
// their lists of targets may be behind for a moment.
func (s *Service) ask(ctx context.Context, k Key, service string) Decision {
	d, asked := Decision{Source: Unknown}, 0
	for round, ofOwnGroup := range askedOfOwnGroup {
		own, others := s.fleet.Groups(uint64(k))
		nodes := nodesToAsk(own[min(asked, len(own)):], others, ofOwnGroup, round)
		asked += ofOwnGroup
		if len(own)+len(others) == 0 { // a node that has just started hears the others soon
			pause.Sleep(ctx, lookupTimeout)
		}
		d = better(d, s.askAll(ctx, nodes, lookupRequest{Key: k, Service: service}))
		if d.Source != Unknown || ctx.Err() != nil {
			break
		}
	}
	return d
}

// nodesToAsk returns the first of the nodes of the own group and, in each round, another of each other group.
func nodesToAsk(own []string, others [][]string, ofOwnGroup, round int) []string {
	out := slices.Clone(own[:min(ofOwnGroup, len(own))])
	for _, group := range others {
		if round < len(group) {
			out = append(out, group[round])
		}
	}
	return out
}

// better returns the decision that rests on more: a record rather than a past. Two that contradict each
// other decide nothing.
func better(a, b Decision) Decision {
	if a.Source == b.Source && a.Origin != b.Origin {
		return Decision{Source: Conflicting}
	}
	rank := func(d Decision) int {
		return slices.Index([]Source{Unknown, FromPeerPast, FromPeer, Conflicting}, d.Source)
	}
	if rank(b) > rank(a) {
		return b
	}
	return a
}

// askAll asks nodes at once, and returns as soon as one has a record.
func (s *Service) askAll(ctx context.Context, nodes []string, req lookupRequest) Decision {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	type result struct {
		decision Decision
		err      error
	}
	results := make(chan result, len(nodes))
	for _, node := range nodes {
		go func() {
			var reply lookupReply
			err := s.network.Call(ctx, node, methodLookup, req, &reply)
			results <- result{reply.decision(), err}
		}()
	}
	best := Decision{Source: Unknown}
	for range nodes {
		r := <-results
		s.metrics.lookups.WithLabelValues(lookupResult(r.err, r.decision)).Inc()
		if r.err != nil {
			continue
		}
		if best = better(best, r.decision); best.Source == FromPeer {
			break
		}
	}
	return best
}

func lookupResult(err error, d Decision) string {
	if err != nil {
		return "failed"
	}
	return string(d.Source)
}
