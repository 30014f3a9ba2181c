// Package affinity remembers which targets keep which shared parts of prompts,
// from what this node and others sent there. It is pure: the caller passes the
// time, and one goroutine at a time may use a Table.
//
// Rendezvous alone would do without memory while the targets stay the same. It
// moves keys whenever one joins or leaves, and each move makes a target read a
// part again that another has, or copy it. With the memory, keys stay where they
// are and only new ones go to new targets.
package affinity

import (
	"slices"
	"time"
)

// Part is a shared part of a prompt.
type Part struct {
	Hash   uint64
	Tokens int
}

// Config bounds a Table.
type Config struct {
	// Keep is how long a target is taken to keep a part after its last use.
	// Engines drop the least recently used parts when their memory is full.
	Keep time.Duration
	// Settle is how long a target needs to read a part: about 100 ms for the
	// longest, several times that when it is busy.
	Settle time.Duration
	// InUse is how long after its last use a part is likely to be used again.
	InUse time.Duration
	// MaxHolders is the most targets remembered for one part, and MaxParts
	// the most parts.
	MaxHolders, MaxParts int
	// Refresh is how often a node tells the others again of a use that they
	// know already: well below Keep, so that one lost report does no harm.
	Refresh time.Duration
}

// DefaultConfig holds for engines whose memory turns over within a minute or
// more at the usual load: 700,000 tokens at 8,000 new tokens a second.
func DefaultConfig() Config {
	return Config{
		Keep: time.Minute, Settle: 600 * time.Millisecond, InUse: 10 * time.Second,
		MaxHolders: 32, MaxParts: 50_000, Refresh: 8 * time.Second,
	}
}

type holder struct {
	target uint32
	first  time.Time
	used   time.Time
	told   time.Time // when this node told the others, or heard it
}

// Table says which targets keep which parts. Parts and the runs of targets are
// named by the lower halves of their hashes; a collision costs one wrong guess. A
// target that starts again has a new hash, so that nothing is known of its memory.
type Table struct {
	cfg   Config
	parts map[uint32][]holder
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table { return &Table{cfg: cfg, parts: make(map[uint32][]holder)} }

// Use is one part's use at a target, as nodes tell it each other.
type Use struct {
	_      struct{} `cbor:",toarray"`
	Part   uint32
	Target uint32
}

// Sent records that this node sent the part to the target. It returns true if
// the others are to be told.
func (t *Table) Sent(part uint64, target uint32, now time.Time) bool {
	h := t.touch(uint32(part), target, now)
	if now.Sub(h.told) < t.cfg.Refresh {
		return false
	}
	h.told = now
	return true
}

// Heard records a use that another node told of.
func (t *Table) Heard(u Use, now time.Time) { t.touch(u.Part, u.Target, now).told = now }

func (t *Table) touch(part, target uint32, now time.Time) *holder {
	list := t.parts[part]
	for i := range list {
		if list[i].target == target {
			list[i].used = now
			return &list[i]
		}
	}
	if len(list) >= t.cfg.MaxHolders {
		list = dropOldest(list)
	}
	if list == nil && len(t.parts) >= t.cfg.MaxParts {
		t.Expire(now)
	}
	list = append(list, holder{target: target, first: now, used: now})
	t.parts[part] = list
	return &list[len(list)-1]
}

func dropOldest(list []holder) []holder {
	oldest := 0
	for i := range list {
		if list[i].used.Before(list[oldest].used) {
			oldest = i
		}
	}
	return slices.Delete(list, oldest, oldest+1)
}

// Expire forgets what was not used lately. If that leaves too many parts, it
// forgets all: the memory is rebuilt within seconds.
func (t *Table) Expire(now time.Time) {
	for part, list := range t.parts {
		list = slices.DeleteFunc(list, func(h holder) bool { return now.Sub(h.used) >= t.cfg.Keep })
		if len(list) == 0 {
			delete(t.parts, part)
			continue
		}
		t.parts[part] = list
	}
	if len(t.parts) >= t.cfg.MaxParts {
		clear(t.parts)
	}
}

// Holding is what a target keeps of a prompt.
type Holding struct {
	// Tokens are those of the leading parts that the target was sent.
	Tokens int
	// Settled says that it was sent them long enough ago to have read them.
	Settled bool
}

// Recent returns the uses of the last InUse, at most limit.
func (t *Table) Recent(now time.Time, limit int) []Use {
	var out []Use
	for part, list := range t.parts {
		for _, h := range list {
			if now.Sub(h.used) >= t.cfg.InUse {
				continue
			}
			if len(out) == limit {
				return out
			}
			out = append(out, Use{Part: part, Target: h.target})
		}
	}
	return out
}

// Kept returns what each target keeps of a prompt. Targets that keep nothing
// are left out. A target that was sent a part was sent those before it too, so
// that one part with more holders than the table remembers hides no other.
func (t *Table) Kept(parts []Part, now time.Time) map[uint32]Holding {
	kept := make(map[uint32]Holding)
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	for i := len(parts) - 1; i >= 0; i-- {
		for _, h := range t.parts[uint32(parts[i].Hash)] {
			if _, more := kept[h.target]; more || now.Sub(h.used) >= t.cfg.Keep {
				continue
			}
			kept[h.target] = Holding{Tokens: sum, Settled: now.Sub(h.first) >= t.cfg.Settle}
		}
		sum -= parts[i].Tokens
	}
	return kept
}
