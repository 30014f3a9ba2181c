package resumption

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// Guards against a note that a restored store lacks never being written again, since the node takes it to be
// there: also if a write was in progress when the restore was noticed.
func TestNoteIsDueAgainOnceTheStoredOneIsUnknown(t *testing.T) {
	is := is.New(t)
	s := &Service{ledger: NewLedger(start), now: func() time.Time { return start }, log: log.New(io.Discard), appeared: make(chan struct{}, 1)}
	s.ledger.CompletePast(start)
	s.saveNote = func(context.Context, []byte) error { return nil }
	note, forgotten := s.dueNote()
	is.True(note != nil)
	s.writeNote(t.Context(), note, forgotten)
	none, _ := s.dueNote()
	is.True(none == nil)
	s.ForgetStoredNote()
	note, forgotten = s.dueNote()
	is.True(note != nil)
	s.ForgetStoredNote()
	s.writeNote(t.Context(), note, forgotten)
	note, _ = s.dueNote()
	is.True(note != nil)
}
