package standin

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Run is one execution of a request, as recorded by the engine.
type Run struct {
	Engine, Service string
	// Version is that of the engine's software.
	Version string
	// Began is the time at which the engine started the run.
	Began time.Time
	// Born is the start time of that engine process, in Unix milliseconds.
	Born   int64
	Method string
	Path   string
	Header http.Header
	Body   string
	// Ended is the time at which the run ended, zero if it has not.
	Ended time.Time
	// Whole reports whether an unframed answer was sent to its end.
	Whole bool
	// Canceled reports whether the caller's connection ended before the run did.
	Canceled bool
}

// Journal records the runs of all engines by request ID, and the requests that reached them.
type Journal struct {
	mu   sync.Mutex
	runs map[string][]*Run
	// rejected counts requests that engines rejected without running them.
	rejected int
	arrivals []Arrival
}

// Arrival is a request that reached the engine it was addressed to.
type Arrival struct {
	Request, Engine string
	// Born is the start time of that engine process, in Unix milliseconds.
	Born int64
	At   time.Time
	// Leaving reports whether the answer has the Server-Leaving header. Rest is the
	// Retry-After of the answer, 0 for none.
	Leaving bool
	Rest    time.Duration
}

// Arrivals returns the requests that reached engines, in order of arrival.
func (j *Journal) Arrivals() []Arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.arrivals)
}

// ArrivalsAt returns how many requests reached an engine.
func (j *Journal) ArrivalsAt(engine string) int {
	n := 0
	for _, a := range j.Arrivals() {
		if a.Engine == engine {
			n++
		}
	}
	return n
}

func (j *Journal) recordArrival(a Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, a)
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{runs: make(map[string][]*Run)} }

// Runs returns the runs of a request.
func (j *Journal) Runs(id string) []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Run
	for _, r := range j.runs[id] {
		out = append(out, *r)
	}
	return out
}

// IDs returns the IDs of all requests that ran.
func (j *Journal) IDs() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for id := range j.runs {
		out = append(out, id)
	}
	return out
}

// Rejected returns the number of requests that engines rejected without running them.
func (j *Journal) Rejected() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rejected
}

func (j *Journal) reject() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rejected++
}

// Ended returns the number of engine processes that requests with EndingBody or EndingPart have crashed,
// counted by engine and start time.
func (j *Journal) Ended() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	starts := make(map[string]bool)
	for _, runs := range j.runs {
		for _, r := range runs {
			if r.Body == EndingBody || CarriesEndingPart(r.Header.Get("Prefix-Hash")) {
				starts[fmt.Sprint(r.Engine, r.Born)] = true
			}
		}
	}
	return len(starts)
}

func (j *Journal) recordRun(r *Run, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], r)
}

func (j *Journal) markCanceled(r *Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Canceled = true
}

func (j *Journal) markWhole(r *Run, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Whole = whole
}

func (j *Journal) markEnded(r *Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Ended = time.Now()
}
