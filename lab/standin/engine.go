package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault is what an engine does wrong.
type Fault int

// The faults of an engine.
const (
	// None works.
	None Fault = iota
	// Refuse answers 503 and says that it ran nothing.
	Refuse
	// FakeRefuse runs the request and answers 503 without that word.
	FakeRefuse
	// Fail runs the request and answers 500.
	Fail
	// FailThenRefuse is Fail for a request that no engine has run, else Refuse.
	FailThenRefuse
	// FailThenHang is Fail for a request that no engine has run, else Hang.
	FailThenHang
	// FailThenDrop is Fail for a request that no engine has run, else Drop.
	FailThenDrop
	// FailLarge answers 500 with a body of LargeFailure bytes.
	FailLarge
	// Hang runs the request and never answers.
	Hang
	// Drop runs the request and closes the connection without an answer.
	Drop
	// Cut breaks off in the middle of the answer, within an event of a stream.
	Cut
	// WrongID answers with the ID of another request.
	WrongID
	// Unsigned answers without a signature.
	Unsigned
	// Unframed ends its answer with the connection.
	Unframed
	// HeaderOnly sends the header of its answer and nothing more.
	HeaderOnly
	// Stall waits for the engine's StallFor: before the answer of a plain request,
	// and between the header and the first event of a stream.
	Stall
	// LateEnd waits for the engine's StallFor between the last event of a stream and
	// its end.
	LateEnd
)

// Faults are all that an engine may do wrong.
var Faults = []Fault{Refuse, FakeRefuse, Fail, Hang, Drop, Cut, WrongID, Unsigned, Unframed}

// LargeFailure is larger than what a node reads of an answer before it passes it on.
const LargeFailure = 3 << 19

// EndingBody is the body of a request that ends each engine that runs it, after the
// time that BeforeHeader sets.
const EndingBody = "ends its engine"

// DefaultEvents is the number of events of a stream.
const DefaultEvents = 5

// Run is one run of a request, as an engine saw it.
type Run struct {
	Engine, Service string
	// Began is when the engine began the run.
	Began time.Time
	// Born is the start of that engine, in Unix milliseconds.
	Born   int64
	Method string
	Path   string
	Header http.Header
	Body   string
	// Canceled says that the caller's connection ended before the run did.
	Canceled bool
}

// Journal holds the runs of all engines by request ID.
type Journal struct {
	mu   sync.Mutex
	runs map[string][]*Run
	// Turned counts requests that were turned away without a run.
	turned   int
	arrivals []Arrival
}

// Arrival is a request that reached an engine which was meant.
type Arrival struct {
	Request, Engine string
	// Born is the start of that engine, in Unix milliseconds.
	Born int64
	At   time.Time
	// Leaving says that the engine says in the answer that it leaves, Rest what rest the
	// answer asks for.
	Leaving bool
	Rest    time.Duration
}

// Arrivals returns the requests that reached engines, in their order.
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

func (j *Journal) arrive(a Arrival) {
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

// Turned returns the number of requests turned away without a run.
func (j *Journal) Turned() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.turned
}

func (j *Journal) turn() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.turned++
}

// Ended returns the number of engines that a request with EndingBody has ended, by
// their starts.
func (j *Journal) Ended() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	starts := make(map[string]bool)
	for _, runs := range j.runs {
		for _, r := range runs {
			if r.Body == EndingBody {
				starts[fmt.Sprint(r.Engine, r.Born)] = true
			}
		}
	}
	return len(starts)
}

func (j *Journal) begin(r *Run, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], r)
}

func (j *Journal) cancel(r *Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Canceled = true
}

// Engine is a stand-in for a model engine or a plain service's server.
type Engine struct {
	ID, Service, Zone string
	// Events is the number of events of a stream, Pace the pause between two.
	Events int
	Pace   time.Duration
	// StallFor is how long the fault Stall lasts.
	StallFor time.Duration
	// Public is the address in the engine's entry; its own one if empty.
	Public string
	// ColdFor is how long the engine is cold after its first start. A cold engine bears
	// ColdPerSecond requests in any second, and ends at more; 0 for any number.
	ColdFor       time.Duration
	ColdPerSecond int
	// OnEnd is called before a request with EndingBody ends the engine; nil for nothing.
	OnEnd func()

	journal *Journal
	owner   Owner

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	addr     string
	born     int64 // Unix milliseconds
	fault    Fault
	left     int // requests for which the fault holds, -1 for all
	// leaving says that this run of the engine says in its answers that it leaves.
	leaving bool
	// rest is the Retry-After of the faults Refuse and FakeRefuse, none if 0.
	rest time.Duration
	// arrived are the times of the requests that came while the engine was cold.
	arrived []time.Time
}

// Entry is what the engine writes to the store.
func (e *Engine) Entry(state string) map[string]any {
	address := e.Public
	if address == "" {
		address = e.Addr()
	}
	return map[string]any{
		"service": e.Service, "address": address, "zone": e.Zone, "version": "v1",
		"slots": 8, "state": state, "cold_remaining_ms": e.coldLeft().Milliseconds(), "sequence": 1,
		"born": e.Born(),
	}
}

// coldLeft is how much longer the engine is cold.
func (e *Engine) coldLeft() time.Duration {
	return max(time.Until(time.UnixMilli(e.Born()).Add(e.ColdFor)), 0)
}

// arrive notes a request. It says whether a cold engine bears it.
func (e *Engine) arrive() bool {
	if e.ColdPerSecond == 0 || e.coldLeft() == 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrived = append(e.arrived, time.Now())
	return inSecond(e.arrived) <= e.ColdPerSecond
}

// inSecond returns how many of the times, in their order, are in the second that ends
// with the last.
func inSecond(times []time.Time) int {
	n := 0
	for _, t := range slices.Backward(times) {
		if times[len(times)-1].Sub(t) >= time.Second {
			break
		}
		n++
	}
	return n
}

// ColdArrivals returns how many requests came while the engine was cold, and the most
// in a second.
func (e *Engine) ColdArrivals() (all, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.arrived {
		most = max(most, inSecond(e.arrived[:i+1]))
	}
	return len(e.arrived), most
}

// SetFault makes the next n requests suffer f, all for n = -1.
func (e *Engine) SetFault(f Fault, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.left = f, n
}

// SayLeaving makes this run of the engine say in all its answers that it leaves.
func (e *Engine) SayLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// AskForRest makes the faults Refuse and FakeRefuse ask for a rest, none if 0.
func (e *Engine) AskForRest(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rest = d
}

func (e *Engine) restAsked() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rest
}

func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

func (e *Engine) takeFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left == 0 {
		return None
	}
	if e.left > 0 {
		e.left--
	}
	return e.fault
}

// of returns what a fault means for a request that some engine has run, or none has.
func (f Fault) of(ran bool) Fault {
	then, ok := map[Fault]Fault{FailThenRefuse: Refuse, FailThenHang: Hang, FailThenDrop: Drop}[f]
	switch {
	case !ok:
		return f
	case ran:
		return then
	}
	return Fail
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	leaving := e.isLeaving()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.ID {
		e.journal.turn()
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := e.takeFault().of(len(e.journal.Runs(id)) > 0)
	arrival := Arrival{Request: id, Engine: e.ID, Born: e.Born(), At: time.Now(), Leaving: leaving}
	if rest := e.restAsked(); rest > 0 && (fault == Refuse || fault == FakeRefuse) {
		arrival.Rest = rest
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
	}
	e.journal.arrive(arrival)
	if fault == Refuse {
		e.journal.turn()
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Request-Id", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.arrive() {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	body, _ := io.ReadAll(r.Body) // a short body shows in the journal
	run := &Run{
		Engine: e.ID, Service: e.Service, Began: time.Now(), Born: e.Born(),
		Method: r.Method, Path: r.RequestURI, Header: r.Header.Clone(), Body: string(body),
	}
	e.journal.begin(run, id)
	if run.Body == EndingBody {
		e.work(r, run, headerTime(r, BeforeHeader, 0))
		if e.OnEnd != nil {
			e.OnEnd()
		}
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	e.answer(w, r, run, fault, id)
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, run *Run, fault Fault, id string) {
	if !e.work(r, run, headerTime(r, BeforeHeader, 0)) {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Engine-Signature", "sig-"+e.ID)
	h.Set("Engine-Load", "1,0,8")
	switch fault {
	case FakeRefuse:
		h.Del("Engine-Signature")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed on "+e.ID)
		return
	case FailLarge:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, LargeFailure))
		return
	case Hang:
		<-r.Context().Done()
		e.journal.cancel(run)
		panic(http.ErrAbortHandler)
	case Drop:
		panic(http.ErrAbortHandler)
	case HeaderOnly:
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		e.journal.cancel(run)
		panic(http.ErrAbortHandler)
	case Stall:
		if r.Header.Get("Model") != "" {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
		}
		if !e.work(r, run, e.StallFor) {
			panic(http.ErrAbortHandler)
		}
	case WrongID:
		h.Set("Request-Id", "0000000000000000")
	case Unsigned:
		h.Del("Engine-Signature")
	}
	if r.Header.Get("Model") == "" {
		e.plain(w, fault, id)
		return
	}
	e.stream(w, r, run, fault, id)
}

func (e *Engine) plain(w http.ResponseWriter, fault Fault, id string) {
	body := "whole answer to " + id
	if fault == Unframed {
		unframed(w, id, "sig-"+e.ID, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == Cut {
		_, _ = io.WriteString(w, body[:5])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// unframed writes an answer without a length.
func unframed(w http.ResponseWriter, id, signature, body string) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nEngine-Signature: %s\r\n\r\n%s", id, signature, body)
	_ = buf.Flush()
	_ = conn.Close()
}

// Event is the n-th event of the stream that answers a request.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, run *Run, fault Fault, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	pace := headerTime(r, PaceHeader, e.Pace)
	if wait := headerTime(r, FirstHeader, 0); wait > 0 {
		w.(http.Flusher).Flush()
		if !e.work(r, run, wait) {
			panic(http.ErrAbortHandler)
		}
	}
	for n := first; n < e.Events; n++ {
		event := Event(id, n)
		if fault == Cut && n == first+2 {
			_, _ = io.WriteString(w, event[:8])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		w.(http.Flusher).Flush()
		if !e.work(r, run, pace) {
			return
		}
	}
	if fault == LateEnd {
		e.work(r, run, e.StallFor)
	}
}
