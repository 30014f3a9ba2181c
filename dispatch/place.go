package dispatch

import (
	"sync"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// Place is the right to run one request on a target, until Release.
type Place struct {
	service *Service
	key     holds.CellKey
	seq     uint64
	target  string
	once    sync.Once
}

// Target returns the ID of the target.
func (p *Place) Target() string { return p.target }

// Release ends the place with the result of its request. Further calls do nothing.
func (p *Place) Release(result cell.Result) {
	p.once.Do(func() { p.service.release(p, result) })
}

// ownPlaces counts the places that this node holds itself.
type ownPlaces struct {
	mu     sync.Mutex
	counts map[ownKey]int
}

type ownKey struct{ service, target string }

func (o *ownPlaces) add(service, target string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k := ownKey{service, target}
	if o.counts[k] += n; o.counts[k] == 0 {
		delete(o.counts, k)
	}
}

func (o *ownPlaces) at(service, target string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[ownKey{service, target}]
}

func (s *Service) newPlace(k holds.CellKey, seq uint64, target string) *Place {
	s.ownPlaces.add(k.Pool, target, 1)
	return &Place{service: s, key: k, seq: seq, target: target}
}

// RecordUngranted records a place that the node chose from its own counts. The owner learns of it
// with the next resync. It returns nil if the service isn't dispatched.
func (s *Service) RecordUngranted(service, workspace, target string) *Place {
	targets, dispatched := s.directory.Targets(service)
	if !dispatched {
		return nil
	}
	cells := s.cellsOf(service, targets)
	k := holds.CellKey{Pool: service, Cell: cell.IndexOf(target, cells), Of: cells}
	owner := s.ownerOf(k)
	seq := s.table.AddUngranted(s.now(), k, cell.Holder{Node: owner}, holds.Place{Target: target, Workspace: workspace})
	return s.newPlace(k, seq, target)
}

// release ends a place at the cell's present owner.
func (s *Service) release(p *Place, result cell.Result) {
	s.ownPlaces.add(p.key.Pool, p.target, -1)
	k := s.table.Release(p.key, p.seq)
	s.sendEnded(s.ownerOf(k), k, p.seq, result)
}

// sendEnded reports an ended place to a node, with the next ask or within releaseDelay.
func (s *Service) sendEnded(node string, k holds.CellKey, seq uint64, result cell.Result) {
	switch node {
	case "":
	case s.self.Node:
		e := holds.EndedPlaces{CellKey: k}
		e.Add(seq, result)
		s.releaseOwned(s.self.Holder(), e)
	default:
		s.ended.Add(node, k, seq, result)
	}
}
