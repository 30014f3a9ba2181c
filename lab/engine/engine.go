// Package engine is a stand-in for a model engine in tests and measurements. It has continuous
// batching with a fixed step time, a bounded prefix cache, priorities, resumable and cancelable
// streams, and switches that inject faults. It counts the generations that it started.
package engine

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Config is an engine's size and speed.
type Config struct {
	ID          string
	Step        time.Duration // time to generate one token for the whole batch
	Batch       int           // most generations that run at a time
	CacheTokens int           // size of the prefix cache
	PrefillRate int           // uncached prompt tokens processed per second
	Hold        time.Duration // how long a finished generation stays resumable
	Incarnation int64         // the engine's incarnation in the VM list
}

// Faults are the engine's fault switches; the zero value injects none.
type Faults struct {
	// CutAfter closes the connection of each new stream after that many tokens; a resumed stream
	// isn't cut again.
	CutAfter int `json:"cut_after"`
	// Overload refuses every n-th request with status 503 before it runs.
	Overload int `json:"overload"`
	// HiddenOverload answers every n-th request with status 200, events without content and then an
	// overload error inside the stream, or with status 503 if the request isn't for a stream.
	HiddenOverload int `json:"hidden_overload"`
	// Leaving sets the response header that announces that the engine is shutting down.
	Leaving bool `json:"leaving"`
	// ReportLagMS is the age of the reported load in milliseconds.
	ReportLagMS int `json:"report_lag_ms"`
}

// Engine runs generations and serves them over HTTP.
type Engine struct {
	cfg    Config
	orders *OrderServer

	mu      sync.Mutex
	cache   *prefixCache
	waiting []*sequence
	running []*sequence
	// resumable holds, by generation ID, those that can still be read or canceled.
	resumable map[string]*sequence
	runs      map[string]int // generations started, by the caller's request ID
	faults    Faults
	requests  int // requests received, for the switches that affect every n-th
	// canceled counts generations canceled before their end.
	canceled int
	reports  []report // load after each step, oldest first

	load loadIntegral
}

// report is the load at a time.
type report struct {
	at       time.Time
	inFlight int
}

// sequence is one generation. Its tokens are computed at the start; each step makes one more
// visible.
type sequence struct {
	id       string
	urgency  int       // 0 runs first
	answer   []string  // tokens
	cached   int       // prompt tokens found in the prefix cache
	prompt   int       // prompt tokens
	hashes   []uint64  // prefix hashes of the chat with the answer
	tokens   []int     // tokens of each message of the chat with the answer
	readyAt  time.Time // end of prefill
	visible  int       // tokens generated so far
	canceled bool
	readers  int           // connections that read the answer
	progress chan struct{} // closed and replaced at each step
}

// New returns an engine. It generates no tokens until Run is called.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:       cfg,
		orders:    NewOrderServer(cfg.Incarnation),
		cache:     newPrefixCache(cfg.CacheTokens),
		resumable: make(map[string]*sequence),
		runs:      make(map[string]int),
	}
}

// Run generates tokens until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	tick := time.NewTicker(e.cfg.Step)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.step(now)
		}
	}
}

// step starts waiting generations, generates one token for each running one and records the load.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startWaiting()
	for _, s := range e.running {
		if now.Before(s.readyAt) {
			continue
		}
		s.visible++
		close(s.progress)
		s.progress = make(chan struct{})
	}
	e.running = slices.DeleteFunc(e.running, e.finished)
	e.load.observe(now, len(e.running)+len(e.waiting))
	e.reports = append(e.reports, report{now, len(e.running) + len(e.waiting)})
	const keep = 4096
	e.reports = e.reports[max(0, len(e.reports)-keep):]
}

// startWaiting moves waiting generations into the batch by urgency, up to its size.
func (e *Engine) startWaiting() {
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool { return s.canceled })
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return a.urgency - b.urgency })
	n := min(e.cfg.Batch-len(e.running), len(e.waiting))
	for _, s := range e.waiting[:n] {
		s.cached, s.prompt = e.cache.match(s.hashes, s.tokens)
		prefill := time.Duration(s.prompt-s.cached) * time.Second / time.Duration(e.cfg.PrefillRate)
		s.readyAt = time.Now().Add(prefill)
		e.running = append(e.running, s)
	}
	e.waiting = slices.Clone(e.waiting[n:])
}

// finished reports whether a generation leaves the batch. The prefixes of a complete one enter the
// cache.
func (e *Engine) finished(s *sequence) bool {
	if s.canceled {
		return true
	}
	if s.visible < len(s.answer) {
		return false
	}
	e.cache.insert(s.hashes, s.tokens)
	time.AfterFunc(e.cfg.Hold, func() { e.expire(s) })
	return true
}

// start queues a generation and counts it as a run of its request.
func (e *Engine) start(id string, urgency int, messages []Message, maxTokens int) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[requestID(id)]++
	answer := Answer(messages, maxTokens)
	full := append(slices.Clone(messages), Message{Role: "assistant", Content: join(answer)})
	hashes, tokens := prefixes(full)
	s := &sequence{
		id: id, urgency: urgency, answer: answer,
		hashes: hashes, tokens: tokens, readers: 1, progress: make(chan struct{}),
	}
	e.waiting = append(e.waiting, s)
	e.resumable[id] = s
	return s
}

// requestID returns the caller's request ID of a generation ID, which is the request ID and a
// suffix that the gateway appends for each generation.
func requestID(generation string) string {
	if i := strings.LastIndexByte(generation, '~'); i >= 0 {
		return generation[:i]
	}
	return generation
}

// expire makes a generation no longer resumable.
func (e *Engine) expire(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumable[s.id] == s {
		delete(e.resumable, s.id)
	}
}

// resume adds a reader to a generation. It returns false if there is no resumable one with this ID.
func (e *Engine) resume(id string) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.resumable[id]
	if ok {
		s.readers++
	}
	return s, ok
}

// detach removes a reader. A generation without readers is canceled after hold, unless another
// reader resumes it before.
func (e *Engine) detach(s *sequence, hold time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if hold <= 0 {
		e.cancelIfNoReaders(s)
		return
	}
	time.AfterFunc(hold, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.cancelIfNoReaders(s)
	})
}

// cancelIfNoReaders cancels an incomplete generation without readers. The caller holds e.mu.
func (e *Engine) cancelIfNoReaders(s *sequence) {
	if s.readers == 0 && s.visible < len(s.answer) {
		e.cancelLocked(s)
	}
}

// cancel cancels the generation; it returns false if there is none with this ID.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.resumable[id]
	if ok {
		e.cancelLocked(s)
	}
	return ok
}

// cancelLocked cancels a generation. The caller holds e.mu.
func (e *Engine) cancelLocked(s *sequence) {
	if !s.canceled && s.visible < len(s.answer) {
		e.canceled++
	}
	s.canceled = true
	if e.resumable[s.id] == s {
		delete(e.resumable, s.id)
	}
}

// state returns the number of visible tokens and a channel that is closed when there are more.
func (e *Engine) state(s *sequence) (int, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.visible, s.progress
}

// reportedLoad returns the load that the engine reports, which is as old as Faults.ReportLagMS
// says, or 0 if there is no record that old.
func (e *Engine) reportedLoad() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-time.Duration(e.faults.ReportLagMS) * time.Millisecond)
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].at.After(cutoff) {
			return e.reports[i].inFlight
		}
	}
	return 0
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// countRequest counts a request and returns the fault switches and whether they refuse the request
// or hide an overload in its stream.
func (e *Engine) countRequest() (f Faults, refuse, hidden bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	f = e.faults
	refuse = f.Overload > 0 && e.requests%f.Overload == 0
	hidden = f.HiddenOverload > 0 && e.requests%f.HiddenOverload == 0
	return f, refuse, hidden
}

// Answer returns the tokens that the stand-in generates for a chat. They depend on the messages
// only, so that a caller can check that an answer is complete and belongs to its own chat.
func Answer(messages []Message, maxTokens int) []string {
	d := xxhash.New()
	for _, m := range messages {
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	seed := d.Sum64()
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%08x-%d ", uint32(seed), i)
	}
	return tokens
}

func join(tokens []string) string {
	var out []byte
	for _, t := range tokens {
		out = append(out, t...)
	}
	return string(out)
}
