package orders

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Prefix is the root of the issuers' records.
const Prefix = "/knapweedgw/orders/"

// DutyPrefix starts the lease duty of each pool's issuer.
const DutyPrefix = "orders/"

// maxErrors is how many engines' errors a record holds.
const maxErrors = 5

// Key returns the store key of a pool's record.
func Key(region, pool string) string { return Prefix + region + "/" + pool }

// Duty returns the lease duty of a pool's issuer.
func Duty(region, pool string) string { return DutyPrefix + region + "/" + pool }

// EngineError is the last failure of one engine.
type EngineError struct {
	Engine   string `json:"engine"`
	Attempts int    `json:"attempts"`
	Error    string `json:"error"`
}

// Progress counts the engines of a pool by where they stand.
type Progress struct {
	Engines int `json:"engines"`
	Done    int `json:"done"`
	Loading int `json:"loading"`
	Wrong   int `json:"wrong"`
	Failed  int `json:"failed"`
	Unknown int `json:"unknown"`
}

// Record is what an issuer keeps in the store: the desired state it has begun
// to bring about, before it sends the first order for it, and how far it is.
type Record struct {
	Issuer string `json:"issuer"`
	Fence  int64  `json:"fence"`
	Spec   Spec   `json:"spec"`
	// Halted says why the roll-out has stopped; empty if it hasn't.
	Halted   string        `json:"halted,omitempty"`
	Waiting  Reason        `json:"waiting,omitempty"`
	Progress Progress      `json:"progress"`
	Errors   []EngineError `json:"errors,omitempty"`
	// WrittenUnix is the issuer's clock in seconds, for the operator only.
	WrittenUnix int64 `json:"written_unix"`
}

// ParseRecord decodes a pool's record.
func ParseRecord(kv store.KV) (Record, error) {
	var r Record
	err := json.Unmarshal(kv.Value, &r)
	return r, errors.Wrapf(err, "orders: %s holds no record; delete the key", kv.Key)
}

// ledger is what the issuer knows of its pool's record in the store.
type ledger struct {
	known    bool
	revision int64 // of the key; 0 if there is none
	record   Record
	hash     string
	next     time.Time // no write before
	written  time.Time
}

// behind says that the record is of newer settings than spec.
func (l *ledger) behind(spec Spec, hash string) bool {
	return l.known && l.revision != 0 && l.hash != hash && l.record.Spec.Revision > spec.Revision
}

// has says that the desired state is on record.
func (l *ledger) has(hash string) bool { return l.known && l.revision != 0 && l.hash == hash }

// RecordUnknown says that the record must be read before it can be written.
func (p *Pool) RecordUnknown(now time.Time) bool {
	return p.active && !p.ledger.known && !now.Before(p.ledger.next)
}

// RecordRead takes the record as read; revision 0 means that there is none.
// A roll-out that an earlier issuer stopped stays stopped.
func (p *Pool) RecordRead(r Record, revision int64) {
	p.ledger = ledger{known: true, revision: revision, record: r, hash: r.Spec.Hash()}
	if r.Halted != "" && p.ledger.hash == p.hash {
		p.halted = r.Halted
	}
}

// RecordFailed puts the next read or write of the record off. If uncertain is
// set, the record must be read again.
func (p *Pool) RecordFailed(uncertain bool, now time.Time) {
	if uncertain {
		p.ledger.known = false
	}
	p.ledger.next = now.Add(p.limits.Backoff)
}

// NextRecord returns the record to write now and the revision that it
// replaces. A changed state is written at once, progress every RecordEvery.
func (p *Pool) NextRecord(now time.Time) (r Record, replaces int64, ok bool) {
	l := &p.ledger
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

// RecordWritten notes that the record was written at a revision.
func (p *Pool) RecordWritten(r Record, revision int64, now time.Time) {
	p.ledger = ledger{known: true, revision: revision, record: r, hash: r.Spec.Hash(), written: now}
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
