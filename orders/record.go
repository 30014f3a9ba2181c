package orders

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// RecordPrefix is the store key prefix of the issuers' records.
const RecordPrefix = "/knapweedgw/orders/"

// LeasePrefix is the prefix of the names of the leases that the pools' issuers hold.
const LeasePrefix = "orders/"

// maxErrors is the maximum number of engines' errors in a record.
const maxErrors = 5

// RecordKey returns the store key of a pool's record.
func RecordKey(region, pool string) string { return RecordPrefix + region + "/" + pool }

// LeaseName returns the name of the lease that the issuer of a pool holds.
func LeaseName(region, pool string) string { return LeasePrefix + region + "/" + pool }

// EngineError is the last failure of one engine, with its number of failed orders.
type EngineError struct {
	Engine   string `json:"engine"`
	Attempts int    `json:"attempts"`
	Error    string `json:"error"`
}

// Progress counts the engines of a pool by their state relative to the desired one.
type Progress struct {
	Engines int `json:"engines"`
	Done    int `json:"done"`
	Loading int `json:"loading"`
	Wrong   int `json:"wrong"`
	Failed  int `json:"failed"`
	Unknown int `json:"unknown"`
}

// Record is what an issuer writes to the store: the desired state that it rolls
// out, written before the first order for it, and the progress.
type Record struct {
	Issuer string `json:"issuer"`
	Fence  int64  `json:"fence"`
	Spec   Spec   `json:"spec"`
	// Halted is the reason why the roll-out was halted; empty if it wasn't.
	Halted   string        `json:"halted,omitempty"`
	Waiting  Reason        `json:"waiting,omitempty"`
	Progress Progress      `json:"progress"`
	Errors   []EngineError `json:"errors,omitempty"`
	// WrittenUnix is the issuer's clock at the write in Unix seconds, for display
	// to operators only.
	WrittenUnix int64 `json:"written_unix"`
}

// ParseRecord decodes a pool's record.
func ParseRecord(kv store.KV) (Record, error) {
	var r Record
	err := json.Unmarshal(kv.Value, &r)
	return r, errors.Wrapf(err, "orders: the value of %s is not a record; delete the key", kv.Key)
}

// recordCache is the issuer's copy of its pool's record in the store.
type recordCache struct {
	known    bool  // the fields below match the store as last read or written
	revision int64 // of the key; 0 if there is none
	record   Record
	hash     string    // of record.Spec
	next     time.Time // no read or write before
	written  time.Time
}

// behind reports whether the record holds another state, from newer settings than
// spec.
func (l *recordCache) behind(spec Spec, hash string) bool {
	return l.known && l.revision != 0 && l.hash != hash && l.record.Spec.Revision > spec.Revision
}

// has reports whether the record holds the desired state with this hash.
func (l *recordCache) has(hash string) bool { return l.known && l.revision != 0 && l.hash == hash }

// RecordReadDue reports whether the record is to be read now, since it must be read
// before it can be written.
func (p *Pool) RecordReadDue(now time.Time) bool {
	return p.active && !p.recordCache.known && !now.Before(p.recordCache.next)
}

// RecordRead handles the record as read from the store; revision 0 means that there
// is none. A roll-out that an earlier issuer halted stays halted.
func (p *Pool) RecordRead(r Record, revision int64) {
	p.recordCache = recordCache{known: true, revision: revision, record: r, hash: r.Spec.Hash()}
	if r.Halted != "" && p.recordCache.hash == p.hash {
		p.halted = r.Halted
	}
}

// RecordFailed delays the next read or write of the record by Limits.Backoff. If
// uncertain is set, the record must be read again before it is written.
func (p *Pool) RecordFailed(uncertain bool, now time.Time) {
	if uncertain {
		p.recordCache.known = false
	}
	p.recordCache.next = now.Add(p.limits.Backoff)
}

// NextRecord returns the record to write now and the revision that it replaces.
// A change of the desired state, the term or the halt is due at once, a change of
// progress at most every RecordEvery.
func (p *Pool) NextRecord(now time.Time) (r Record, replaces int64, ok bool) {
	l := &p.recordCache
	if !p.active || p.fenced || !l.known || now.Before(l.next) || l.behind(p.spec, p.hash) {
		return Record{}, 0, false
	}
	r = p.snapshot()
	urgent := !l.has(p.hash) || l.record.Fence != r.Fence || l.record.Halted != r.Halted
	progress := l.record.Progress != r.Progress && now.Sub(l.written) >= p.limits.RecordEvery
	if !urgent && !progress {
		return Record{}, 0, false
	}
	return r, l.revision, true
}

// RecordWritten handles a successful write of the record at a revision.
func (p *Pool) RecordWritten(r Record, revision int64, now time.Time) {
	p.recordCache = recordCache{known: true, revision: revision, record: r, hash: r.Spec.Hash(), written: now}
}

func (p *Pool) snapshot() Record {
	c := count(p.views())
	r := Record{
		Fence: p.term.Fence, Spec: p.spec, Halted: p.halted, Waiting: p.reason,
		Progress: Progress{
			Engines: c.total, Done: c.done, Loading: c.loading,
			Wrong: c.wrong, Failed: c.failed, Unknown: c.unknown,
		},
	}
	for _, id := range p.ids {
		e := p.engines[id]
		if e.attempts > 0 && len(r.Errors) < maxErrors {
			r.Errors = append(r.Errors, EngineError{Engine: id, Attempts: e.attempts, Error: e.err})
		}
	}
	return r
}
