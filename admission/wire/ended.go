package wire

import (
	"sync"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// Ended collects ended places until they are sent, grouped by the node to send them to.
type Ended struct {
	mu    sync.Mutex
	queue map[string]map[holds.CellKey]*holds.EndedPlaces
	// wake has a token when the queue isn't empty.
	wake chan struct{}
}

// NewEnded returns an empty queue.
func NewEnded() *Ended {
	return &Ended{queue: make(map[string]map[holds.CellKey]*holds.EndedPlaces), wake: make(chan struct{}, 1)}
}

// Wake returns a channel that receives a token when places were added.
func (r *Ended) Wake() <-chan struct{} { return r.wake }

// Add queues an ended place for a node.
func (r *Ended) Add(node string, k holds.CellKey, seq uint64, result cell.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(node, k).Add(seq, result)
	r.signal()
}

// Requeue queues places again whose message may not have arrived.
func (r *Ended) Requeue(node string, ended []holds.EndedPlaces) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, old := range ended {
		e := r.of(node, old.CellKey)
		e.Seqs = append(e.Seqs, old.Seqs...)
		e.Failed = append(e.Failed, old.Failed...)
		e.Unknown = append(e.Unknown, old.Unknown...)
		e.Overloaded = append(e.Overloaded, old.Overloaded...)
		r.signal()
	}
}

func (r *Ended) of(node string, k holds.CellKey) *holds.EndedPlaces {
	if r.queue[node] == nil {
		r.queue[node] = make(map[holds.CellKey]*holds.EndedPlaces)
	}
	e := r.queue[node][k]
	if e == nil {
		e = &holds.EndedPlaces{CellKey: k}
		r.queue[node][k] = e
	}
	return e
}

func (r *Ended) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Take returns the queue's content and empties it.
func (r *Ended) Take() map[string][]holds.EndedPlaces {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]holds.EndedPlaces, len(r.queue))
	for node := range r.queue {
		out[node] = r.takeFor(node)
	}
	return out
}

// TakeFor returns the places queued for one node and removes them.
func (r *Ended) TakeFor(node string) []holds.EndedPlaces {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.takeFor(node)
}

func (r *Ended) takeFor(node string) []holds.EndedPlaces {
	cells, ok := r.queue[node]
	if !ok {
		return nil
	}
	delete(r.queue, node)
	out := make([]holds.EndedPlaces, 0, len(cells))
	for _, e := range cells {
		e.Sort()
		out = append(out, *e)
	}
	return out
}
