// Package affinity records which targets cache which shared parts of prompts, from the
// requests that this node and others sent there. It is pure: the caller passes the time.
// A Table is not safe for concurrent use.
//
// While the set of targets stays the same, rendezvous hashing alone would do. It moves keys
// whenever a target joins or leaves, and after each move a target has to prefill or fetch a
// part that another target caches. With the record, keys stay where they are and only new
// ones go to new targets.
package affinity

import (
	"slices"
	"time"
)

// Part is a section of a prompt that other requests share.
type Part struct {
	Hash   uint64
	Tokens int
}

// Config sets the expiry times and limits of a Table.
type Config struct {
	// TTL is how long a target is assumed to cache a part after its last use. Engines evict
	// the least recently used parts when their memory is full.
	TTL time.Duration
	// PrefillTime is how long a target needs to prefill a part: about 100 ms for the longest, and
	// several times that when it is busy.
	PrefillTime time.Duration
	// InUse is how long after its last use a part is likely to be used again.
	InUse time.Duration
	// MaxHolders is the maximum number of targets recorded for one part, and MaxParts the
	// maximum number of parts.
	MaxHolders, MaxParts int
	// Refresh is the interval at which a node reports a use again that the others already
	// have: well below TTL, so that the loss of one report has no effect.
	Refresh time.Duration
}

// DefaultConfig suits engines whose cache turns over in a minute or more at the usual
// load: 700,000 tokens at 8,000 new tokens a second.
func DefaultConfig() Config {
	return Config{
		TTL: time.Minute, PrefillTime: 600 * time.Millisecond, InUse: 10 * time.Second,
		MaxHolders: 32, MaxParts: 50_000, Refresh: 8 * time.Second,
	}
}

type holder struct {
	target   uint32
	first    time.Time
	used     time.Time
	reported time.Time // when this node last reported the use, or received it
}

// Table maps parts to the targets that cache them. Parts and the runs of targets are
// identified by the lower halves of their hashes; a collision costs one wrong guess. A
// restarted target has a new hash, so that its empty cache is not confused with the old one.
type Table struct {
	cfg   Config
	parts map[uint32][]holder
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table { return &Table{cfg: cfg, parts: make(map[uint32][]holder)} }

// Use is one use of a part at a target, as exchanged between nodes.
type Use struct {
	_      struct{} `cbor:",toarray"`
	Part   uint32
	Target uint32
}

// RecordSent records that this node sent the part to the target. It returns true if the use is due
// to be reported to the other nodes.
func (t *Table) RecordSent(part uint64, target uint32, now time.Time) bool {
	h := t.touch(uint32(part), target, now)
	if now.Sub(h.reported) < t.cfg.Refresh {
		return false
	}
	h.reported = now
	return true
}

// RecordRemote records a use that another node reported.
func (t *Table) RecordRemote(u Use, now time.Time) { t.touch(u.Part, u.Target, now).reported = now }

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

// Expire removes holders that were not used for TTL. If too many parts remain, it clears
// the table, which is rebuilt within seconds.
func (t *Table) Expire(now time.Time) {
	for part, list := range t.parts {
		list = slices.DeleteFunc(list, func(h holder) bool { return now.Sub(h.used) >= t.cfg.TTL })
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

// Holding is the part of a prompt that a target caches.
type Holding struct {
	// Tokens is the number of tokens in the leading parts that were sent to the target.
	Tokens int
	// Prefilled reports that they were sent long enough ago for the prefill to be finished.
	Prefilled bool
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

// Cached returns what each target caches of a prompt. Targets that cache nothing are left
// out. A target that was sent a part was also sent the parts before it, so a part with more
// holders than are recorded does not hide the holders of later parts.
func (t *Table) Cached(parts []Part, now time.Time) map[uint32]Holding {
	kept := make(map[uint32]Holding)
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	for i := len(parts) - 1; i >= 0; i-- {
		for _, h := range t.parts[uint32(parts[i].Hash)] {
			if _, more := kept[h.target]; more || now.Sub(h.used) >= t.cfg.TTL {
				continue
			}
			kept[h.target] = Holding{Tokens: sum, Prefilled: now.Sub(h.first) >= t.cfg.PrefillTime}
		}
		sum -= parts[i].Tokens
	}
	return kept
}
