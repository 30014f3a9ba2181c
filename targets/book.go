package targets

import (
	"slices"
	"strings"
)

// maxUnlisted bounds the leaving words kept for targets that are not in the VM
// list. At 410 restarts and failures a day for the whole fleet it is weeks.
const maxUnlisted = 16384

// book keeps, for each target, the newest incarnation known to be leaving. It
// remembers targets that the VM list does not show: a lagging list may still
// bring them, or bring them back.
type book struct {
	leaving map[string]int64
	order   []string // targets in the order in which they were first recorded
}

func newBook() *book { return &book{leaving: make(map[string]int64)} }

// learn records a leaving word and says whether it was news.
func (b *book) learn(w Word) bool {
	known, ok := b.leaving[w.Target]
	if !w.Leaving || ok && known >= w.Incarnation {
		return false
	}
	b.leaving[w.Target] = w.Incarnation
	if !ok {
		b.order = append(b.order, w.Target)
	}
	return true
}

// judge merges a listed word with what is recorded.
func (b *book) judge(listed Word) Word {
	known, ok := b.leaving[listed.Target]
	if !ok {
		return listed
	}
	return Merge(listed, Word{Target: listed.Target, Incarnation: known, Leaving: true})
}

// prune forgets the oldest words on targets that are not listed, beyond limit
// of them.
func (b *book) prune(listed map[string]bool, limit int) {
	if len(b.leaving) <= limit {
		return
	}
	excess := -limit
	for id := range b.leaving {
		if !listed[id] {
			excess++
		}
	}
	b.order = slices.DeleteFunc(b.order, func(id string) bool {
		if excess <= 0 || listed[id] {
			return false
		}
		excess--
		delete(b.leaving, id)
		return true
	})
}

// words returns all that is recorded, ordered by target.
func (b *book) words() []Word {
	out := make([]Word, 0, len(b.leaving))
	for id, inc := range b.leaving {
		out = append(out, Word{Target: id, Incarnation: inc, Leaving: true})
	}
	slices.SortFunc(out, func(a, b Word) int { return strings.Compare(a.Target, b.Target) })
	return out
}
