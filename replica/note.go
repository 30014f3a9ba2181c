package replica

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// All nodes may fail at once and lose what they learnt. So one of them saves that in the store as notes,
// which a node reads when it starts, in the same call as everything else. Notes are hints: they may be
// stale or missing.

// Note identifies a note.
type Note int

const (
	// TargetsNote is what the nodes learnt about targets and requests.
	TargetsNote Note = iota
	// VersionsNote is which versions of their software the targets of each service have had lately.
	VersionsNote
	notes
)

// NoteState is when a note was found in the store.
type NoteState int

const (
	// AtStart: in the first list of the store.
	AtStart NoteState = iota
	// InPart: in a part of that list, which ended early since another node had all of it. Notes that
	// the part lacks may exist.
	InPart
	// Changed: a watch has shown that it was written.
	Changed
	// Restored: the store came back from an older copy, so that the note in it is older than what the nodes wrote, or
	// missing. It isn't passed on.
	Restored
)

// noteWriteTimeout bounds one write of a note. A failed write is not retried here.
const noteWriteTimeout = time.Second

// OnNote registers f to be called with the note found in the store at startup, nil if the first list has
// none, and with each change that this node sees. It must be called before Start; f must not call the
// replica.
func (r *Replica) OnNote(n Note, f func(note []byte, s NoteState)) {
	r.onNote[n] = append(r.onNote[n], f)
}

// deliverNotes passes the notes of the first list to the callbacks. Callers must hold r.mu.
func (r *Replica) deliverNotes(p store.ListResult, s NoteState) {
	if r.notesDelivered {
		return
	}
	r.notesDelivered = true
	for n := range notes {
		note, found := r.findNote(p, n)
		if !found && s == InPart {
			continue
		}
		for _, f := range r.onNote[n] {
			f(note, s)
		}
	}
}

func (r *Replica) findNote(p store.ListResult, n Note) (note []byte, found bool) {
	for _, kv := range p.KVs {
		if kv.Key == r.schema.NoteKey(n) {
			return kv.Value, true
		}
	}
	return nil, false
}

// deliverNoteChange passes a changed note to the callbacks. Callers must hold r.mu.
func (r *Replica) deliverNoteChange(kv store.KV) {
	for n := range notes {
		if kv.Key != r.schema.NoteKey(n) {
			continue
		}
		for _, f := range r.onNote[n] {
			f(kv.Value, Changed)
		}
	}
}

// WritesNote reports whether this node writes the notes: it is the first in the order of the
// watchers. It does no harm if two nodes write them for a while.
func (r *Replica) WritesNote() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching && r.rank == 0 && !r.storeUnreachable
}

// SaveNote writes a note to the store. Each write wakes all watchers, so it should be called
// rarely.
func (r *Replica) SaveNote(ctx context.Context, n Note, note []byte) error {
	ctx, cancel := context.WithTimeout(ctx, noteWriteTimeout)
	defer cancel()
	return r.store.Put(ctx, r.schema.NoteKey(n), note)
}
