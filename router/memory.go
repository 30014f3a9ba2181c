package router

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/replica"
)

const (
	// noteInterval is the time between two notes on which targets keep which parts. One write
	// with the watch events that it causes amounts to four billed store calls, and parts stay
	// in use for about 10 s.
	noteInterval = 5 * time.Second
	// notePause is the minimum time between two notes that are written because of quarantines.
	// writerPoll is the time between two checks whether this node is the note's writer.
	notePause  = time.Second
	writerPoll = 200 * time.Millisecond
	// maxUsesPerNote is the maximum number of uses in a note, about 12 bytes each.
	maxUsesPerNote = 20_000
)

// fleetNote is the state that survives a simultaneous restart of all nodes. It is stored as one
// value.
type fleetNote struct {
	_ struct{} `cbor:",toarray"`
	// Uses record which targets keep which prompt parts. Without them, engines would recompute
	// the parts they already keep during the first seconds after all nodes failed at once.
	Uses []affinity.Use
	// Quarantined are the requests and prompt parts in quarantine or close to it. Without them, they would
	// terminate as many targets again.
	Quarantined []quarantine.Record
}

// saveNotes writes the note at regular intervals, on one node of the fleet.
func (r *Router) saveNotes(ctx context.Context) {
	pause.RunPeriodically(ctx, noteInterval, func(ctx context.Context) {
		if !r.firstNoteSaved.Swap(false) {
			r.saveNote(ctx)
		}
	})
}

// saveNote writes the note if this node is its writer, and reports whether it is.
func (r *Router) saveNote(ctx context.Context) bool {
	if !r.replica.WritesNote() || r.draining.Load() {
		return false
	}
	raw, err := cbor.Marshal(fleetNote{Uses: r.pool.recentUses(), Quarantined: r.guard.Snapshot()})
	if err != nil {
		r.log.Error("encoding the note failed", "err", err)
		return true
	}
	if err := r.replica.SaveNote(ctx, replica.TargetsNote, raw); err != nil {
		r.log.Warn("saving the note failed; the next one will replace it", "err", err)
	}
	return true
}

// saveUrgentNotes writes a note as soon as a request is put into quarantine or the fleet is found to be new, since
// all nodes may fail before the next regular note.
func (r *Router) saveUrgentNotes(ctx context.Context) {
	newFleet := r.newFleetFound
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.noteDue:
			r.saveSoon(ctx)
		case <-newFleet:
			newFleet = nil
			r.saveFirstNote(ctx)
		}
	}
}

// saveFirstNote writes the first note of a new fleet early, on one node. From then on, processes that start know
// that earlier ones may have used the slack of the retry budgets. The first regular note is omitted for it.
func (r *Router) saveFirstNote(ctx context.Context) {
	for range noteInterval / writerPoll {
		if !r.newFleet.Load() {
			return // another node has written it
		}
		if r.saveNote(ctx) {
			r.firstNoteSaved.Store(true)
			return
		}
		pause.Sleep(ctx, writerPoll)
	}
}

// saveSoon waits until this node is the note's writer: for a moment after a start no node is.
// It gives up after noteInterval, by which time some node has written a regular note.
func (r *Router) saveSoon(ctx context.Context) {
	for range noteInterval / writerPoll {
		if r.saveNote(ctx) {
			pause.Sleep(ctx, notePause)
			return
		}
		pause.Sleep(ctx, writerPoll)
	}
}

// requestNote requests that a note be written soon. It does not block.
func (r *Router) requestNote() {
	select {
	case r.noteDue <- struct{}{}:
	default: // already requested
	}
}

// readNote applies the note that the node read from the store when it started.
func (r *Router) readNote(raw []byte, s replica.NoteState) {
	if s == replica.Restored {
		r.requestNote() // without a note, processes that start would take the fleet for new
		return
	}
	r.updateNewFleet(raw, s)
	if raw == nil || s == replica.Changed {
		return // this node knows more than the note, or soon will
	}
	var n fleetNote
	if err := cbor.Unmarshal(raw, &n); err != nil {
		r.log.Warn("note in the store is unusable and is ignored", "err", err)
		return
	}
	r.log.Info("note read", "uses", len(n.Uses), "quarantined", len(n.Quarantined))
	r.pool.recordUses(n.Uses)
	r.guard.MergeRecords("note", n.Quarantined)
}

// updateNewFleet follows whether the fleet is new: no process of it has run before if the store has no note when
// this one starts. The slack of the retry budgets is used only once the first note is in the store, so that the
// processes after this one don't take the fleet for new again.
func (r *Router) updateNewFleet(raw []byte, s replica.NoteState) {
	switch {
	case raw == nil && s == replica.AtStart:
		r.newFleet.Store(true)
		close(r.newFleetFound)
	case raw != nil && s == replica.Changed && r.newFleet.Swap(false):
		r.log.Info("fleet is new, its first note is in the store")
		r.budgets.RecordNewFleet()
	}
}
