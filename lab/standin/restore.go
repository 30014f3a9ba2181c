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

// Restore makes the store come back from a copy: what was written since is gone, revisions go back and are given out
// again, watches in progress are cut, and the next era begins.
func (s *Store) Restore(c *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.revision, s.compacted = c.revision, c.compacted
	s.wake()
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
