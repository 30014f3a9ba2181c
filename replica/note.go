package replica

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// All nodes may fail at once and lose what they learnt about the targets. So one of them saves
// that in the store as the note, which a node reads when it starts, in the same call as
// everything else. The note is a hint: it may be stale or missing.

// noteWriteTimeout bounds one write of the note. A failed write is not retried, since the next
// one replaces it.
const noteWriteTimeout = time.Second

// OnNote registers f to be called with the note found in the store at startup. It must be
// called before Start; f must not call the replica.
func (r *Replica) OnNote(f func(note []byte)) { r.onNote = append(r.onNote, f) }

// deliverNote passes the note of the first list to the callbacks. Callers must hold r.mu.
func (r *Replica) deliverNote(p store.ListResult) {
	if r.noteDelivered {
		return
	}
	r.noteDelivered = true
	for _, kv := range p.KVs {
		if kv.Key != r.schema.NoteKey() {
			continue
		}
		for _, f := range r.onNote {
			f(kv.Value)
		}
	}
}

// WritesNote reports whether this node writes the note: it is the first in the order of the
// watchers. It does no harm if two nodes write the note for a while.
func (r *Replica) WritesNote() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching && r.rank == 0 && !r.storeUnreachable
}

// SaveNote writes the note to the store. Each write wakes all watchers, so it should be called
// rarely.
func (r *Replica) SaveNote(ctx context.Context, note []byte) error {
	ctx, cancel := context.WithTimeout(ctx, noteWriteTimeout)
	defer cancel()
	return r.store.Put(ctx, r.schema.NoteKey(), note)
}
