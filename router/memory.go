package router

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/quarantine"
)

const (
	// noteInterval is the time between two notes of which targets keep which
	// parts. A write and the watchers that it wakes are four priced calls, and
	// parts stay in use for about 10 s.
	noteInterval = 5 * time.Second
	// notePause is the least time between two notes on quarantines, and dutyPoll between
	// two looks whether this node writes them.
	notePause = time.Second
	dutyPoll  = 200 * time.Millisecond
	// maxNoted is the most uses in a note, about 12 bytes each.
	maxNoted = 20_000
)

// note is what outlasts all nodes.
type note struct {
	_ struct{} `cbor:",toarray"`
	// Uses say which targets keep which prompt parts: without them, the first seconds
	// after all nodes died at once read again what engines keep.
	Uses []affinity.Use
	// Quarantined are the requests that are kept from targets: without them, they would
	// end as many targets again.
	Quarantined []quarantine.Record
}

// keepNotes has one node of the fleet note what must outlast all nodes.
func (r *Router) keepNotes(ctx context.Context) {
	pause.Every(ctx, noteInterval, func(ctx context.Context) { r.saveNote(ctx) })
}

// saveNote writes the note if that is this node's duty. It returns whether it is.
func (r *Router) saveNote(ctx context.Context) bool {
	if !r.beliefs.Leads() || r.draining.Load() {
		return false
	}
	raw, err := cbor.Marshal(note{Uses: r.pool.recentUses(), Quarantined: r.guard.Note()})
	if err != nil {
		r.log.Error("note not encoded", "err", err)
		return true
	}
	if err := r.beliefs.SaveNote(ctx, raw); err != nil {
		r.log.Warn("note not saved; the next one replaces it", "err", err)
	}
	return true
}

// saveQuarantines has a note written as soon as a request is put into quarantine: all
// nodes may end before the next one is due.
func (r *Router) saveQuarantines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.noteDue:
			r.saveSoon(ctx)
		}
	}
}

// saveSoon waits for this node to have the duty, which is without a holder for moments
// after a start. Until the next usual note some node has it.
func (r *Router) saveSoon(ctx context.Context) {
	for range noteInterval / dutyPoll {
		if r.saveNote(ctx) {
			pause.Sleep(ctx, notePause)
			return
		}
		pause.Sleep(ctx, dutyPoll)
	}
}

// wantNote has a note written soon. It doesn't block.
func (r *Router) wantNote() {
	select {
	case r.noteDue <- struct{}{}:
	default: // one is due already
	}
}

// readNote takes the note that the node found when it began.
func (r *Router) readNote(raw []byte) {
	var n note
	if err := cbor.Unmarshal(raw, &n); err != nil {
		r.log.Warn("note in the store is unusable; it is left aside", "err", err)
		return
	}
	r.log.Info("note read", "uses", len(n.Uses), "quarantined", len(n.Quarantined))
	r.pool.takeUses(n.Uses)
	r.guard.Hear("note", n.Quarantined)
}
