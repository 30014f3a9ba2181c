package standin

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// headerEra is in each answer of the store: the number of times that it came back from an older copy, from a start
// that differs between deployments.
const headerEra = "Store-Era"

// firstEra is the era of a new store.
const firstEra = 4

// Snapshot is a copy of a store.
type Snapshot struct {
	items     map[string]Item
	history   []Item
	revision  int64
	compacted int64
}

// Snapshot returns a copy of the store as it is now.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Snapshot{maps.Clone(s.items), slices.Clone(s.history), s.revision, s.compacted}
}

// nodePrefix begins the keys that the nodes write.
const nodePrefix = "knapweedgw/"

// Restore makes the store come back from a copy: what was written since is gone, revisions go back and are given out
// again, watches in progress are cut, and the next era begins. It returns what others than the nodes have lost, which
// WriteAgain writes.
func (s *Store) Restore(c *Snapshot) (lost []Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.items {
		if c.items[key].Revision != item.Revision && !strings.HasPrefix(key, nodePrefix) {
			lost = append(lost, item)
		}
	}
	for key := range c.items {
		if _, ok := s.items[key]; !ok && !strings.HasPrefix(key, nodePrefix) {
			lost = append(lost, Item{Key: key, Removed: true})
		}
	}
	slices.SortFunc(lost, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	s.era++
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.revision, s.compacted = c.revision, c.compacted
	s.restoredAt = c.revision
	s.wake()
	return lost
}

// WriteAgain writes an item that a restored store has lost, unless its key has been written since.
func (s *Store) WriteAgain(item Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.items[item.Key]
	if ok && current.Revision > s.restoredAt || s.removedSince(item.Key, s.restoredAt) {
		return
	}
	if item.Removed {
		s.remove(item.Key)
	} else {
		s.put(item.Key, item.Value)
	}
}

// removedSince reports whether a key was removed after a revision. The caller holds s.mu.
func (s *Store) removedSince(key string, revision int64) bool {
	return slices.ContainsFunc(s.history, func(i Item) bool { return i.Key == key && i.Removed && i.Revision > revision })
}

// setEra sets the era in the header of an answer. The caller holds s.mu.
func (s *Store) setEra(w http.ResponseWriter) { w.Header().Set(headerEra, s.eraHeader()) }

func (s *Store) eraHeader() string { return strconv.FormatInt(s.era, 10) }

// Without returns the copy without the keys that start with prefix.
func (c *Snapshot) Without(prefix string) *Snapshot {
	out := *c
	out.items = maps.Clone(c.items)
	maps.DeleteFunc(out.items, func(key string, _ Item) bool { return strings.HasPrefix(key, prefix) })
	out.history = slices.DeleteFunc(slices.Clone(c.history), func(i Item) bool { return strings.HasPrefix(i.Key, prefix) })
	return &out
}
