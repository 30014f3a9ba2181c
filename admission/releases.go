package admission

import (
	"slices"
	"sync"

	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// releases gathers ended places until they are sent, by the node to be told.
type releases struct {
	mu    sync.Mutex
	queue map[string]map[holds.Key]holds.Seqs
	// wake has a token when the queue isn't empty.
	wake chan struct{}
}

func newReleases() *releases {
	return &releases{queue: make(map[string]map[holds.Key]holds.Seqs), wake: make(chan struct{}, 1)}
}

func (r *releases) add(node string, k holds.Key, seq uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue[node] == nil {
		r.queue[node] = make(map[holds.Key]holds.Seqs)
	}
	r.queue[node][k] = append(r.queue[node][k], seq)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take empties the queue.
func (r *releases) take() map[string][]holds.Released {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]holds.Released, len(r.queue))
	for node, cells := range r.queue {
		for k, seqs := range cells {
			slices.Sort(seqs)
			out[node] = append(out[node], holds.Released{Key: k, Seqs: seqs})
		}
	}
	clear(r.queue)
	return out
}
