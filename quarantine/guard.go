package quarantine

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Guard wraps a node's Table with a clock, a lock, logging and metrics. It is safe for concurrent
// use.
type Guard struct {
	log           *log.Logger
	now           func() time.Time
	metrics       *metrics
	onLocalChange func()
	onSnapshotDue func()

	mu    sync.Mutex
	table *Table
}

// metrics counts terminations and quarantine decisions.
type metrics struct {
	ends, quarantined, released, trials prometheus.Counter
	tracked                             prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "quarantine")
	return &metrics{
		ends:        f.Counter("target_ends_total", "Targets that ended while they ran requests of this node."),
		quarantined: f.Counter("put_total", "Requests and prompt parts put into quarantine, by this node's or another's word."),
		released:    f.Counter("freed_total", "Requests and prompt parts freed from quarantine, since they were answered or something else explains their strikes."),
		trials:      f.Counter("trials_total", "Runs of quarantined requests that show whether they are still harmful."),
		tracked:     f.Gauge("requests", "Requests and prompt parts known under which targets ended."),
	}
}

// NewGuard returns a guard with an empty table.
func NewGuard(cfg Config, now func() time.Time, l *log.Logger, reg prometheus.Registerer) *Guard {
	return &Guard{
		log: l, now: now, metrics: newMetrics(reg), table: NewTable(cfg),
		onLocalChange: func() {}, onSnapshotDue: func() {},
	}
}

// OnLocalChange sets the function that is called when this node records a target termination or an
// answer that other nodes must know of at once. f must not block; it may call the guard. OnLocalChange
// must be called before the guard is used.
func (g *Guard) OnLocalChange(f func()) { g.onLocalChange = f }

// OnSnapshotDue sets the function that is called when something comes close to a quarantine, is put into one or
// released, so that nodes that start later get a new snapshot. The same conditions as for OnLocalChange apply to f.
func (g *Guard) OnSnapshotDue(f func()) { g.onSnapshotDue = f }

// HasEntries reports whether the table holds any request. While it doesn't, fingerprints need not
// be computed.
func (g *Guard) HasEntries() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Len() > 0
}

// SetTrialPosition sets the function that returns this node's position, from 0, in an order of all nodes for a key. The
// nodes send the trial attempt of what is in quarantine in that order, so that the fleet sends only one. It
// must be called before the guard is used.
func (g *Guard) SetTrialPosition(position func(key uint64) int) {
	g.table.position = func(f Fingerprint) int { return position(binary.BigEndian.Uint64(f[8:])) }
}

// Begin decides whether an attempt of a request may be sent to a target now.
func (g *Guard) Begin(k Keys) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.table.Begin(k, g.now())
	if d.Trial {
		g.metrics.trials.Inc()
		g.log.Warn("trial attempt of a quarantined request", "fingerprint", k.Request, "parts", k.Parts, "strikes", d.Strikes)
	}
	return d
}

// Done ends an attempt for which Begin returned a Decision with MustCallDone set.
func (g *Guard) Done(k Keys) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Done(k)
}

// Quarantined reports whether a request is in quarantine.
func (g *Guard) Quarantined(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Quarantined(f)
}

// Suspect is an attempt that was in progress when its target terminated.
type Suspect struct {
	Request string // request ID
	Keys    Keys
	Sent    time.Time
	// Begun is when the first bytes of the body of the answer arrived, zero if none did.
	Begun time.Time
	// Closed is when the target closed the connection. The evidence that the target has
	// terminated may come seconds later.
	Closed time.Time
}

// LogFields returns the log fields of a suspect.
func (s Suspect) LogFields(now time.Time) []any {
	fields := append(s.Keys.LogFields(), "request", s.Request, "sent_ms_ago", now.Sub(s.Sent).Milliseconds())
	if !s.Begun.IsZero() {
		fields = append(fields, "body_ms_ago", now.Sub(s.Begun).Milliseconds())
	}
	return fields
}

// beginning reports whether the target may have terminated since it began to write the answer.
func (s Suspect) beginning(beginTime time.Duration) bool {
	return s.Begun.IsZero() || s.Closed.Sub(s.Begun) <= beginTime
}

// RecordTermination records that a target terminated during the given attempts. instanceHash
// identifies the process instance of the target.
func (g *Guard) RecordTermination(target string, instanceHash uint64, suspects []Suspect) {
	if len(suspects) == 0 {
		return
	}
	snapshotDue := g.recordEnds(target, instanceHash, suspects)
	g.onLocalChange()
	if snapshotDue {
		g.onSnapshotDue()
	}
}

func (g *Guard) recordEnds(target string, instanceHash uint64, suspects []Suspect) (snapshotDue bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.metrics.ends.Inc()
	before := g.table.convictedSet()
	for _, s := range suspects {
		record := func(f Fingerprint) int {
			return g.table.RecordTermination(f, uint32(instanceHash), s.Sent, s.Closed, now)
		}
		fields := append([]any{"target", target, "strikes", record(s.Keys.Request)}, s.LogFields(now)...)
		if s.beginning(g.table.cfg.BeginTime) {
			strikes := make([]int, len(s.Keys.Parts))
			for i, p := range s.Keys.Parts {
				strikes[i] = record(p)
			}
			fields = append(fields, "part_strikes", strikes)
		}
		g.log.Info("target ended under a request", fields...)
	}
	g.metrics.tracked.Set(float64(g.table.Len()))
	changed := g.logChanges(before, "own")
	return g.table.takeSnapshotDue() || changed
}

// logChanges counts and logs what was put into quarantine and what was released since it was the given set. It
// reports whether anything was. The caller must hold g.mu.
func (g *Guard) logChanges(before map[Fingerprint]bool, source string) bool {
	added, released := g.table.changedSince(before)
	g.logQuarantined(added, source)
	g.logReleased(released, source)
	return len(added)+len(released) > 0
}

// logQuarantined counts and logs what was put into quarantine. The caller must hold g.mu.
func (g *Guard) logQuarantined(added []Fingerprint, source string) {
	for _, f := range added {
		g.metrics.quarantined.Inc()
		g.log.Warn("request quarantined: targets end under it", "fingerprint", f, "is_part", f.IsPart(),
			"strikes", g.table.entries[f].strikeCount, "word_of", source)
	}
}

// logReleased counts and logs what was released from quarantine. The caller must hold g.mu.
func (g *Guard) logReleased(released []Fingerprint, source string) {
	for _, f := range released {
		g.metrics.released.Inc()
		g.log.Info("request freed from quarantine: answered, or its strikes are explained otherwise", "fingerprint", f,
			"is_part", f.IsPart(), "word_of", source)
	}
}

// RecordCompleted records a request that received a complete response, of any status.
func (g *Guard) RecordCompleted(k Keys) { g.recordAnswered(k.Request) }

// RecordWritten records an attempt on whose prompt a target has written an answer: a complete one, or one that goes
// on BeginTime after its first bytes.
func (g *Guard) RecordWritten(k Keys) { g.recordAnswered(k.Parts...) }

func (g *Guard) recordAnswered(all ...Fingerprint) {
	urgent, changed := g.clearStrikes(all)
	if urgent {
		g.onLocalChange()
	}
	if changed {
		g.onSnapshotDue()
	}
}

func (g *Guard) clearStrikes(all []Fingerprint) (urgent, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.table.convictedSet()
	for _, f := range all {
		urgent = g.table.RecordAnswered(f, g.now()) || urgent
	}
	if urgent {
		changed = g.logChanges(before, "own") // what that puts into quarantine is due to older strikes
	}
	return urgent, changed
}

// MergeRecords merges records received from another node or read from the note in the store. source
// is the node's ID or a description, for the log.
func (g *Guard) MergeRecords(source string, records []Record) {
	if len(records) == 0 {
		return
	}
	if g.merge(source, records) {
		g.onSnapshotDue()
	}
}

func (g *Guard) merge(source string, records []Record) (snapshotDue bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	added, released := g.table.MergeRecords(records, g.now())
	g.logQuarantined(added, source)
	g.logReleased(released, source)
	g.metrics.tracked.Set(float64(g.table.Len()))
	return g.table.takeSnapshotDue() || len(added)+len(released) > 0
}

// PendingRecords returns the records to send to the other nodes now.
func (g *Guard) PendingRecords() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := g.table.PendingRecords(g.now())
	g.metrics.tracked.Set(float64(g.table.Len()))
	return records
}

// Snapshot returns what is in quarantine or close to it, for nodes that start later.
func (g *Guard) Snapshot() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Snapshot(g.now())
}
