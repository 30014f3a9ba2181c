package quarantine

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Guard is a node's Table with its clock, log and metrics. Any goroutine may use it.
type Guard struct {
	log     *log.Logger
	now     func() time.Time
	metrics *metrics
	onNews  func()
	onPut   func()

	mu    sync.Mutex
	table *Table
}

// metrics count what the guard decides.
type metrics struct {
	ends, put, freed, trials prometheus.Counter
	known                    prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMeters(reg, "quarantine")
	return &metrics{
		ends:   f.Counter("target_ends_total", "Targets that ended while they ran requests of this node."),
		put:    f.Counter("put_total", "Requests put into quarantine, by this node's or another's word."),
		freed:  f.Counter("freed_total", "Requests freed from quarantine after a whole answer."),
		trials: f.Counter("trials_total", "Runs of quarantined requests that show whether they are still harmful."),
		known:  f.Gauge("requests", "Requests known under which targets ended."),
	}
}

// NewGuard returns a guard that knows no request.
func NewGuard(cfg Config, now func() time.Time, l *log.Logger, reg prometheus.Registerer) *Guard {
	return &Guard{
		log: l, now: now, metrics: newMetrics(reg), table: NewTable(cfg),
		onNews: func() {}, onPut: func() {},
	}
}

// OnNews names what is called when this node has seen targets end under requests, so that
// other nodes learn it at once. f must not block; it may call the guard. OnNews must be
// called before the guard is used.
func (g *Guard) OnNews(f func()) { g.onNews = f }

// OnPut names what is called when a request is put into quarantine, with the same terms.
func (g *Guard) OnPut(f func()) { g.onPut = f }

// Active says whether any request is known, so that fingerprints are of use.
func (g *Guard) Active() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Len() > 0
}

// Begin decides whether a request may be run now.
func (g *Guard) Begin(f Fingerprint) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.table.Begin(f, g.now())
	if d.Trial {
		g.metrics.trials.Inc()
		g.log.Warn("quarantined request is run to see whether it still ends targets", "fingerprint", f, "strikes", d.Strikes)
	}
	return d
}

// Done ends a run that Begin counted.
func (g *Guard) Done(f Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Done(f)
}

// Quarantined says whether a request is in quarantine.
func (g *Guard) Quarantined(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Quarantined(f)
}

// Suspect is a run that was in progress when its target ended.
type Suspect struct {
	Request     string // its ID
	Fingerprint Fingerprint
	Sent        time.Time
	// Closed is when the target closed the connection. Evidence that it has ended may
	// come seconds later.
	Closed time.Time
}

// Ended notes that a target has ended under some runs. run is the hash of the target's run.
func (g *Guard) Ended(target string, run uint64, suspects []Suspect) {
	if len(suspects) == 0 {
		return
	}
	put := g.noteEnds(target, run, suspects)
	g.onNews()
	if put {
		g.onPut()
	}
}

func (g *Guard) noteEnds(target string, run uint64, suspects []Suspect) (put bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.metrics.ends.Inc()
	for _, s := range suspects {
		was := g.table.Quarantined(s.Fingerprint)
		strikes := g.table.Ended(s.Fingerprint, uint32(run), s.Sent, s.Closed, now)
		g.log.Info("target ended under a request", "target", target, "request", s.Request,
			"fingerprint", s.Fingerprint, "strikes", strikes, "sent_ms_ago", now.Sub(s.Sent).Milliseconds())
		if !was && g.table.Quarantined(s.Fingerprint) {
			put = true
			g.notePut(s.Fingerprint, "own")
		}
	}
	g.metrics.known.Set(float64(g.table.Len()))
	return put
}

// notePut is called with the lock held.
func (g *Guard) notePut(f Fingerprint, source string) {
	g.metrics.put.Inc()
	g.log.Warn("request quarantined: targets end under it", "fingerprint", f, "word_of", source)
}

// Completed notes a run whose answer came whole.
func (g *Guard) Completed(f Fingerprint) {
	if !g.noteCompleted(f) {
		return
	}
	g.onNews()
}

func (g *Guard) noteCompleted(f Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	was := g.table.Quarantined(f)
	if !g.table.Completed(f, g.now()) {
		return false
	}
	if was {
		g.noteFreed(f, "own")
	}
	return true
}

// noteFreed is called with the lock held.
func (g *Guard) noteFreed(f Fingerprint, source string) {
	g.metrics.freed.Inc()
	g.log.Info("request freed from quarantine: a run was completed", "fingerprint", f, "word_of", source)
}

// Hear takes what another node told, or what a note holds.
func (g *Guard) Hear(source string, records []Record) {
	if len(records) == 0 {
		return
	}
	if g.take(source, records) {
		g.onPut()
	}
}

func (g *Guard) take(source string, records []Record) (put bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	added, freed := g.table.Hear(records, g.now())
	for _, f := range added {
		g.notePut(f, source)
	}
	for _, f := range freed {
		g.noteFreed(f, source)
	}
	g.metrics.known.Set(float64(g.table.Len()))
	return len(added) > 0
}

// Tell returns what the other nodes should be told now.
func (g *Guard) Tell() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	told := g.table.Tell(g.now())
	g.metrics.known.Set(float64(g.table.Len()))
	return told
}

// Note returns the requests in quarantine, for nodes that begin.
func (g *Guard) Note() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Note(g.now())
}
