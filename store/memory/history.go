package memory

import (
	"sort"
	"strings"

	"github.com/knapweedgw/knapweedgw/store"
)

// Default bounds of the history that a store keeps for its watches, in events and in
// bytes; a watch that lags behind the history ends with store.ErrCompacted.
const (
	DefaultHistoryEvents = 10_000
	DefaultHistoryBytes  = 64 << 20
)

// history holds the latest events, ordered by revision and bounded by their number
// and bytes.
type history struct {
	maxEvents, maxBytes int

	events    []store.Event
	bytes     int
	newest    int64 // revision of the last event
	compacted int64 // newest revision whose events were dropped
}

func eventBytes(e store.Event) int { return len(e.KV.Key) + len(e.KV.Value) }

func (h *history) add(revision int64, e store.Event) {
	h.events = append(h.events, e)
	h.bytes += eventBytes(e)
	h.newest = revision
}

// trim drops the oldest revisions until the bounds hold, but never the newest
// revision.
func (h *history) trim() {
	for len(h.events) > h.maxEvents || h.bytes > h.maxBytes {
		oldest := h.events[0].KV.ModRevision
		if oldest == h.newest {
			return
		}
		h.compact(oldest)
	}
}

// compact drops the events up to and including a revision.
func (h *history) compact(revision int64) {
	n := h.index(revision + 1)
	for _, e := range h.events[:n] {
		h.bytes -= eventBytes(e)
	}
	clear(h.events[:n])
	h.events = h.events[n:]
	h.compacted = max(h.compacted, revision)
}

// index returns the position of the first event at a revision or later.
func (h *history) index(revision int64) int {
	return sort.Search(len(h.events), func(i int) bool { return h.events[i].KV.ModRevision >= revision })
}

// since returns the events under prefix at a revision or later.
func (h *history) since(revision int64, prefix string) []store.Event {
	var events []store.Event
	for _, e := range h.events[h.index(revision):] {
		if strings.HasPrefix(e.KV.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}
