package replica

import (
	"cmp"
	"slices"
)

// keyChange identifies a change by its key and revision.
type keyChange struct {
	revision int64
	key      string
}

// lastChange is the most recent change of a key.
type lastChange struct {
	revision int64
	removed  bool
}

// history records which keys changed at which revision, so that a node can send another one the
// changes that it lacks. It holds no values; those are in copyState. Its size grows with the
// number of keys and not with the number of changes.
type history struct {
	// changes are ordered by revision. Some are superseded by later changes of the same key.
	changes []keyChange
	// last holds the most recent change of each existing key and of each key with a tombstone.
	last map[string]lastChange
	// tombstones are the removals, oldest first.
	tombstones []keyChange
	// discardedUpTo is the highest revision of a discarded tombstone.
	discardedUpTo int64
	// Keys that were written after gapFrom and removed before gapTo may be missing: the copy
	// passed from one to the other by a list, which doesn't contain removals.
	gapFrom, gapTo int64
}

func newHistory() history { return history{last: make(map[string]lastChange)} }

// minTombstones is the minimum number of tombstones that are kept. If there are more keys than
// that, as many tombstones as keys are kept: a rollout that replaces many keys at once removes
// just as many.
const minTombstones = 1024

// put records that a key was written.
func (h *history) put(key string, revision int64) {
	h.last[key] = lastChange{revision: revision}
	h.insert(keyChange{revision, key})
}

// remove records that a key was removed.
func (h *history) remove(key string, revision int64) {
	h.last[key] = lastChange{revision: revision, removed: true}
	h.tombstones = append(h.tombstones, keyChange{revision, key})
	h.insert(keyChange{revision, key})
}

// insert adds a change in the order of revisions. It searches from the end, since a list may
// contain a few changes that are newer than the next events of a watch.
func (h *history) insert(c keyChange) {
	at := len(h.changes)
	for at > 0 && h.changes[at-1].revision > c.revision {
		at--
	}
	h.changes = slices.Insert(h.changes, at, c)
}

// replace records the last changes of all keys that exist at a revision. Recorded keys that are
// not among them were removed at that revision at the latest.
func (h *history) replace(entries []keyChange, revision int64) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.key] = true
		h.last[e.key] = lastChange{revision: e.revision}
	}
	for key, l := range h.last {
		if !l.removed && !present[key] {
			h.last[key] = lastChange{revision: revision, removed: true}
			h.tombstones = append(h.tombstones, keyChange{revision, key})
		}
	}
	h.changes = h.changes[:0]
	for key, l := range h.last {
		h.changes = append(h.changes, keyChange{l.revision, key})
	}
	slices.SortFunc(h.changes, func(a, b keyChange) int { return cmp.Compare(a.revision, b.revision) })
}

// isLatest reports whether no later change of the key is recorded.
func (h *history) isLatest(c keyChange) bool { return h.last[c.key].revision == c.revision }

// trim bounds the history by the number of existing keys.
func (h *history) trim(keys int) {
	if limit := max(keys, minTombstones); len(h.tombstones) > 2*limit {
		h.discardTombstones(len(h.tombstones) - limit)
	}
	if len(h.changes) > 2*len(h.last)+minTombstones {
		h.changes = slices.DeleteFunc(h.changes, func(c keyChange) bool { return !h.isLatest(c) })
	}
}

// discardTombstones discards the n oldest tombstones.
func (h *history) discardTombstones(n int) {
	for _, c := range h.tombstones[:n] {
		if !h.isLatest(c) {
			continue // the key was written or removed again
		}
		h.discardedUpTo = max(h.discardedUpTo, c.revision)
		delete(h.last, c.key)
	}
	h.tombstones = slices.Clone(h.tombstones[n:])
}

// since returns the keys' latest changes after a revision, and whether there are more. It
// returns at most limit of them, or more if needed to include all changes of the last revision.
func (h *history) since(revision int64, limit int) (out []keyChange, more bool) {
	at, _ := slices.BinarySearchFunc(h.changes, revision+1, func(c keyChange, r int64) int {
		return cmp.Compare(c.revision, r)
	})
	for _, c := range h.changes[at:] {
		if !h.isLatest(c) {
			continue
		}
		if len(out) >= limit && c.revision > out[len(out)-1].revision {
			return out, true
		}
		out = append(out, c)
	}
	return out, false
}

// skip records that the changes between two revisions were not seen one by one.
func (h *history) skip(from, to int64) {
	if h.gapTo == 0 {
		h.gapFrom = from
	}
	h.gapFrom, h.gapTo = min(h.gapFrom, from), max(h.gapTo, to)
}

// isIncompleteSince reports whether removals after a revision may be missing for a node that has a copy of
// that revision: tombstones were discarded or never seen.
func (h *history) isIncompleteSince(revision int64) bool {
	return revision < h.discardedUpTo || h.gapFrom < revision && revision < h.gapTo
}
