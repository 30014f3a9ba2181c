package admission

import (
	"sync"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// releases collects ended places until they are sent, grouped by the node to send them to.
type releases struct {
	mu    sync.Mutex
	queue map[string]map[holds.CellKey]*holds.EndedPlaces
	// wake has a token when the queue isn't empty.
	wake chan struct{}
}

func newReleases() *releases {
	return &releases{queue: make(map[string]map[holds.CellKey]*holds.EndedPlaces), wake: make(chan struct{}, 1)}
}

func (r *releases) add(node string, k holds.CellKey, seq uint64, result cell.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue[node] == nil {
		r.queue[node] = make(map[holds.CellKey]*holds.EndedPlaces)
	}
	e := r.queue[node][k]
	if e == nil {
		e = &holds.EndedPlaces{CellKey: k}
		r.queue[node][k] = e
	}
	e.Add(seq, result)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take returns the queue's content and empties it.
func (r *releases) take() map[string][]holds.EndedPlaces {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]holds.EndedPlaces, len(r.queue))
	for node, cells := range r.queue {
		for _, e := range cells {
			e.Sort()
			out[node] = append(out[node], *e)
		}
	}
	clear(r.queue)
	return out
}
