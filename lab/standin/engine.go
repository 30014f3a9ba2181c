package standin

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a misbehavior of an engine.
type Fault int

// The faults of an engine.
const (
	// None is normal operation.
	None Fault = iota
	// Refuse answers 503 with the Not-Executed header, without running the request.
	Refuse
	// FakeRefuse runs the request and answers 503, without the Not-Executed header and
	// unsigned.
	FakeRefuse
	// Fail runs the request and answers 500.
	Fail
	// FailThenRefuse is Fail for a request that no engine has run yet, else Refuse.
	FailThenRefuse
	// FailThenHang is Fail for a request that no engine has run yet, else Hang.
	FailThenHang
	// FailThenDrop is Fail for a request that no engine has run yet, else Drop.
	FailThenDrop
	// FailLarge answers 500 with a body of LargeFailure bytes.
	FailLarge
	// Hang runs the request and never answers.
	Hang
	// Drop runs the request and closes the connection without an answer.
	Drop
	// Cut closes the connection in the middle of the answer, for a stream within an event.
	Cut
	// WrongID answers with another request's ID in the Request-Id header.
	WrongID
	// Unsigned answers without the Engine-Signature header.
	Unsigned
	// NoLength answers whole with neither a length nor chunks: the end of the connection ends the body.
	NoLength
	// HeaderOnly sends the header of its answer and then nothing, with the connection open.
	HeaderOnly
	// Stall delays by the engine's StallFor: before the answer of a plain request, and between
	// the header and the first event of a stream.
	Stall
	// LateEnd delays by the engine's StallFor between the last event of a stream and the end
	// of its body.
	LateEnd
)

// Faults lists faults from which tests and tools choose.
var Faults = []Fault{Refuse, FakeRefuse, Fail, Hang, Drop, Cut, WrongID, Unsigned, NoLength}

// LargeFailure is a body length in bytes, larger than what a node buffers of an answer before
// it forwards it.
const LargeFailure = 3 << 19

// EndingBody is the body of a request that crashes each engine that runs it, after the time
// set by BeforeHeader.
const EndingBody = "ends its engine"

// EndingPart is the ID of a prompt part that crashes each engine that begins to write an answer on it, unless it is
// the last of its prompt. With FirstHeader the header of the answer is sent before.
const EndingPart = "dead"

// CarriesEndingPart reports whether a value of Prefix-Hash lists EndingPart before its last part.
func CarriesEndingPart(prefix string) bool {
	parts := strings.Split(prefix, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, EndingPart+":") })
}

// DefaultEvents is the number of events of a stream unless the engine sets another.
const DefaultEvents = 5

// DefaultSlots is the number of slots of an engine unless it sets another.
const DefaultSlots = 8

// Engine is a stand-in for a model engine or for the server of a plain service.
type Engine struct {
	ID, Service, Zone string
	// version is that of the engine's software.
	version string
	// Events is the number of events of a stream, Pace the time between two.
	Events int
	Pace   time.Duration
	// StallFor is the delay of the faults Stall and LateEnd.
	StallFor time.Duration
	// Slots is the number of requests that the engine runs at once according to its store entry and
	// its answers, DefaultSlots if 0.
	Slots int
	// Public is the ip:port in the engine's store entry; if empty, the one it listens on.
	Public string
	// ColdFor is how long the engine is cold after its first start. A cold engine handles up
	// to ColdPerSecond requests in any second and crashes at more; 0 for no limit.
	ColdFor       time.Duration
	ColdPerSecond int
	// OnEnd is called before a request with EndingBody or EndingPart crashes the engine; may be nil.
	OnEnd func()

	journal *Journal
	owner   Owner

	mu        sync.Mutex
	listener  net.Listener
	server    *http.Server
	addr      string
	startedAt int64 // start time in Unix milliseconds
	// entries is the number of store entries that the engine has made.
	entries    int
	fault      Fault
	faultsLeft int // number of further requests with the fault, -1 for all
	// leaving is set if this process of the engine sends the Server-Leaving header in its
	// answers.
	leaving bool
	// retryDelay is the Retry-After of the faults Refuse and FakeRefuse, none if 0.
	retryDelay time.Duration
	// brittle is set while the engine sends the Server-Brittle header with rejectionLimit. It then
	// rejects requests beyond its slots, and crashes for crashTime when it has rejected more than
	// rejectionLimit in a second.
	brittle        bool
	rejectionLimit int
	running        int
	rejections     []time.Time
	// crashes counts the crashes for that reason.
	crashes int
	// unframed is how the engine answers unframed, nil if it doesn't.
	unframed *Unframed
	// endless is how the engine sends bytes without end, 0 if it doesn't.
	endless Endless
	// coldArrivals are the times of the requests that came while the engine was cold.
	coldArrivals []time.Time
}

// Entry returns the engine's store entry with the given state.
func (e *Engine) Entry(state string) map[string]any {
	address := e.Public
	if address == "" {
		address = e.Addr()
	}
	return map[string]any{
		"service": e.Service, "address": address, "zone": e.Zone, "version": e.Version(),
		"slots": e.slots(), "state": state, "cold_remaining_ms": e.coldRemaining().Milliseconds(), "sequence": e.nextSequence(),
		"born": e.Born(),
	}
}

func (e *Engine) nextSequence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries++
	return e.entries
}

func (e *Engine) slots() int { return cmp.Or(e.Slots, DefaultSlots) }

// coldRemaining returns how much longer the engine is cold.
func (e *Engine) coldRemaining() time.Duration {
	return max(time.Until(time.UnixMilli(e.Born()).Add(e.ColdFor)), 0)
}

// admit records a request to a cold engine and reports whether it is within ColdPerSecond.
func (e *Engine) admit() bool {
	if e.ColdPerSecond == 0 || e.coldRemaining() == 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldArrivals = append(e.coldArrivals, time.Now())
	return countLastSecond(e.coldArrivals) <= e.ColdPerSecond
}

// countLastSecond returns how many of the times, which are in ascending order, are within the
// second that ends with the last one.
func countLastSecond(times []time.Time) int {
	n := 0
	for _, t := range slices.Backward(times) {
		if times[len(times)-1].Sub(t) >= time.Second {
			break
		}
		n++
	}
	return n
}

// ColdArrivals returns how many requests came while the engine was cold, and the largest
// number of them within one second.
func (e *Engine) ColdArrivals() (all, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.coldArrivals {
		most = max(most, countLastSecond(e.coldArrivals[:i+1]))
	}
	return len(e.coldArrivals), most
}

// SetFault applies f to the next n requests, or to all for n = -1.
func (e *Engine) SetFault(f Fault, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.faultsLeft = f, n
}

// SayLeaving makes this process of the engine send the Server-Leaving header in all its
// answers.
func (e *Engine) SayLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// AskForRest sets the Retry-After of the faults Refuse and FakeRefuse, 0 for none.
func (e *Engine) AskForRest(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryDelay = d
}

// crashTime is how long an engine is down after it has rejected too many requests.
const crashTime = 2 * time.Second

// SetBrittle makes the engine announce that it crashes when it rejects more than limit requests in a
// second, and do so, or ends that.
func (e *Engine) SetBrittle(brittle bool, limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brittle, e.rejectionLimit = brittle, limit
}

// Crashes returns how often the engine has crashed since it rejected too many requests.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// announceLimit sets the Server-Brittle header while the engine is brittle.
func (e *Engine) announceLimit(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.brittle {
		h.Set("Server-Brittle", strconv.Itoa(e.rejectionLimit))
	}
}

// enter takes a slot of the engine, unless it is brittle and has none left. If it has to reject too many
// requests, it crashes.
func (e *Engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.brittle || e.running < e.slots() {
		e.running++
		return true
	}
	e.rejections = append(e.rejections, time.Now())
	if countLastSecond(e.rejections) > e.rejectionLimit {
		e.crashes++
		e.rejections = nil
		go func() {
			e.Crash()
			time.Sleep(crashTime)
			e.start(e.Addr())
		}()
	}
	return false
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) retryAfter() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryDelay
}

func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

func (e *Engine) takeFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faultsLeft == 0 {
		return None
	}
	if e.faultsLeft > 0 {
		e.faultsLeft--
	}
	return e.fault
}

// resolve returns the fault that f stands for, given whether some engine has run the request
// already.
func (f Fault) resolve(ran bool) Fault {
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
		e.journal.reject()
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := e.takeFault().resolve(len(e.journal.Runs(id)) > 0)
	arrival := Arrival{Request: id, Engine: e.ID, Born: e.Born(), At: time.Now(), Leaving: leaving}
	if delay := e.retryAfter(); delay > 0 && (fault == Refuse || fault == FakeRefuse) {
		arrival.Rest = delay
		w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', -1, 64))
	}
	e.journal.recordArrival(arrival)
	if way := e.endlessWay(); way != 0 {
		e.sendEndlessly(w, way, id)
		return
	}
	e.announceLimit(w.Header())
	entered := e.enter()
	if entered {
		defer e.leave()
	}
	if fault == Refuse || !entered {
		e.journal.reject()
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Request-Id", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.admit() {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	body, _ := io.ReadAll(r.Body) // the journal shows a truncated body
	run := &Run{
		Engine: e.ID, Service: e.Service, Version: e.Version(), Began: time.Now(), Born: e.Born(),
		Method: r.Method, Path: r.RequestURI, Header: r.Header.Clone(), Body: string(body),
	}
	e.journal.recordRun(run, id)
	defer e.journal.markEnded(run)
	if run.Body == EndingBody {
		e.sleep(r, run, headerTime(r, BeforeHeader, 0))
		e.end()
	}
	e.writeAnswer(w, r, run, fault, id)
}

// end crashes the engine because of the request in progress. It doesn't return.
func (e *Engine) end() {
	if e.OnEnd != nil {
		e.OnEnd()
	}
	e.Crash()
	panic(http.ErrAbortHandler)
}

func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, run *Run, fault Fault, id string) {
	if !e.sleep(r, run, headerTime(r, BeforeHeader, 0)) {
		panic(http.ErrAbortHandler)
	}
	if CarriesEndingPart(r.Header.Get("Prefix-Hash")) && headerTime(r, FirstHeader, 0) == 0 {
		e.end()
	}
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Engine-Signature", "sig-"+e.ID)
	h.Set("Engine-Load", fmt.Sprintf("1,0,%d", e.slots()))
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
		e.journal.markCanceled(run)
		panic(http.ErrAbortHandler)
	case Drop:
		panic(http.ErrAbortHandler)
	case HeaderOnly:
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		e.journal.markCanceled(run)
		panic(http.ErrAbortHandler)
	case Stall:
		if r.Header.Get("Model") != "" {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
		}
		if !e.sleep(r, run, e.StallFor) {
			panic(http.ErrAbortHandler)
		}
	case WrongID:
		h.Set("Request-Id", "0000000000000000")
	case Unsigned:
		h.Del("Engine-Signature")
	}
	if u := e.unframedAnswer(); u != nil || fault == NoLength {
		e.writeUnframed(w, r, run, cmp.Or(u, &Unframed{Events: -1}), id)
		return
	}
	if r.Header.Get("Model") == "" {
		e.writePlain(w, r, fault, id)
		return
	}
	e.writeStream(w, r, run, fault, id)
}

func (e *Engine) writePlain(w http.ResponseWriter, r *http.Request, fault Fault, id string) {
	body := PlainBody(id)
	if n, err := strconv.Atoi(r.URL.Query().Get(AnswerBytes)); err == nil && n > len(body) {
		body += strings.Repeat(".", n-len(body))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == Cut {
		_, _ = io.WriteString(w, body[:5])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// PlainBody is the body of the answer of a plain service to a request.
func PlainBody(id string) string { return "whole answer to " + id }

// Event returns the n-th event of the stream that answers a request, counted from 0.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// event is Event, with the engine's version as its type if the request asks for that.
func (e *Engine) event(r *http.Request, id string, n int) string {
	if r.Header.Get(VersionHeader) == "" {
		return Event(id, n)
	}
	return fmt.Sprintf("event: %s\n", e.Version()) + Event(id, n)
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, run *Run, fault Fault, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	pace := headerTime(r, PaceHeader, e.Pace)
	if wait := headerTime(r, FirstHeader, 0); wait > 0 {
		w.(http.Flusher).Flush()
		if !e.sleep(r, run, wait) {
			panic(http.ErrAbortHandler)
		}
		if CarriesEndingPart(r.Header.Get("Prefix-Hash")) {
			e.end()
		}
	}
	for n := first; n < e.Events; n++ {
		event := e.event(r, id, n)
		if fault == Cut && n == first+2 {
			_, _ = io.WriteString(w, event[:8])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		w.(http.Flusher).Flush()
		if !e.sleep(r, run, pace) {
			return
		}
	}
	if fault == LateEnd {
		e.sleep(r, run, e.StallFor)
	}
}
