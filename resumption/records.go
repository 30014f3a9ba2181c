package resumption

import (
	"encoding/binary"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// Key identifies a stream among the nodes.
type Key uint64

// KeyOf returns the key of the stream whose first event a request got: of its workspace, route and ID.
// A caller can't name the stream of another workspace or route.
func KeyOf(workspace, route, id string) Key {
	var lengths []byte // so that no two combinations are joined to the same bytes
	lengths = binary.AppendUvarint(lengths, uint64(len(workspace)))
	lengths = binary.AppendUvarint(lengths, uint64(len(route)))
	return Key(routing.Hash(string(lengths) + workspace + route + id))
}

// maxRecords bounds the records that a node holds, about 100 bytes each. The oldest are dropped.
const maxRecords = 1 << 16

// stored is a record of a stream.
type stored struct {
	origin      Origin
	conflicting bool
	at          time.Time
	// own means that this node has served the stream.
	own bool
}

// records holds the records of streams. It is not safe for concurrent use.
type records struct {
	all map[Key]stored
	// order holds the keys in the order in which they were recorded, some of them several times.
	order []recorded
	// names holds each origin once.
	names map[Origin]Origin
}

type recorded struct {
	key Key
	at  time.Time
}

func newRecords() records {
	return records{all: make(map[Key]stored), names: make(map[Origin]Origin)}
}

// add records that a stream began at the origin, and reports whether that was new. The first origin of
// a stream is never replaced.
func (r *records) add(k Key, o Origin, own bool, now time.Time) (isNew bool) {
	s, known := r.all[k]
	if known && now.Sub(s.at) <= Retention {
		s.conflicting = s.conflicting || s.origin != o
		s.own = s.own || own
	} else {
		s, known = stored{origin: r.intern(o), own: own}, false
	}
	if !known || now.Sub(s.at) >= RefreshInterval {
		s.at = now
		r.order = append(r.order, recorded{k, now})
	}
	r.all[k] = s
	r.expire(now)
	return !known
}

// maxNames bounds the distinct origins that are held once.
const maxNames = 256

func (r *records) intern(o Origin) Origin {
	if name, ok := r.names[o]; ok {
		return name
	}
	if len(r.names) >= maxNames {
		clear(r.names)
	}
	r.names[o] = o
	return o
}

// expire drops the records older than Retention, and the oldest if there are too many.
func (r *records) expire(now time.Time) {
	n := 0
	for _, o := range r.order {
		if now.Sub(o.at) <= Retention && len(r.all) <= maxRecords {
			break
		}
		if s := r.all[o.key]; s.at.Equal(o.at) {
			delete(r.all, o.key)
		}
		n++
	}
	r.order = r.order[n:]
}

// get returns the record of a stream, zero if there is none.
func (r *records) get(k Key, now time.Time) Record {
	s, ok := r.all[k]
	if !ok || now.Sub(s.at) > Retention {
		return Record{}
	}
	return Record{Origin: s.origin, Conflicting: s.conflicting, Age: now.Sub(s.at)}
}

// newest returns up to limit records, the newest first, of the streams that this node has served or of all.
func (r *records) newest(limit int, ownOnly bool, now time.Time) []Entry {
	var out []Entry
	for i := len(r.order) - 1; i >= 0 && len(out) < limit; i-- {
		o := r.order[i]
		s := r.all[o.key]
		if now.Sub(o.at) > Retention {
			break
		}
		if s.at.Equal(o.at) && !s.conflicting && (s.own || !ownOnly) {
			out = append(out, Entry{Key: o.key, Origin: s.origin})
		}
	}
	return out
}
