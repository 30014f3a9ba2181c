// Package engine is a stand-in for a model engine: continuous batching with a
// step time, a bounded prefix cache, priorities, resumable and cancelable
// streams, and switches that make it fail. It counts what it ran.
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

// Config sets an engine's size and speed.
type Config struct {
	ID          string
	Step        time.Duration // time to generate one token for the whole batch
	Batch       int           // most sequences generated at a time
	CacheTokens int           // size of the prefix cache
	PrefillRate int           // uncached prompt tokens a second
	Hold        time.Duration // how long a finished generation can be resumed
	Incarnation int64         // as in the VM list
}

// Faults are the engine's fault switches; the zero value is a healthy one.
type Faults struct {
	// CutAfter cuts each stream after that many tokens, once a request.
	CutAfter int `json:"cut_after"`
	// Overload refuses each n-th request with 503 before it runs.
	Overload int `json:"overload"`
	// HiddenOverload answers each n-th request with 200 and an overload
	// error inside the stream, after harmless opening events.
	HiddenOverload int `json:"hidden_overload"`
	// Leaving announces on every answer that the engine is leaving.
	Leaving bool `json:"leaving"`
	// ReportLagMS is how old the reported load is.
	ReportLagMS int `json:"report_lag_ms"`
}

// Engine runs generations.
type Engine struct {
	cfg    Config
	orders *Orders

	mu      sync.Mutex
	cache   *prefixCache
	waiting []*sequence
	running []*sequence
	held    map[string]*sequence
	runs    map[string]int
	faults  Faults
	seen    int
	// canceled counts generations canceled before their end.
	canceled int
	reports  []report

	load loadIntegral
}

type report struct {
	at       time.Time
	inFlight int
}

// sequence is one generation. Its tokens are known from the start and become
// visible one a step.
type sequence struct {
	id       string
	urgency  int
	answer   []string
	cached   int
	prompt   int
	hashes   []uint64
	tokens   []int
	readyAt  time.Time
	visible  int
	canceled bool
	readers  int           // streams attached
	progress chan struct{} // closed and replaced at each step
}

// New returns an engine; Run must be called for it to generate.
func New(cfg Config) *Engine {
	return &Engine{
		cfg:    cfg,
		orders: NewOrders(cfg.Incarnation),
		cache:  newPrefixCache(cfg.CacheTokens),
		held:   make(map[string]*sequence),
		runs:   make(map[string]int),
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

func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
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

func (e *Engine) admit() {
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

func (e *Engine) finished(s *sequence) bool {
	if s.canceled {
		return true
	}
	if s.visible < len(s.answer) {
		return false
	}
	e.cache.insert(s.hashes, s.tokens)
	time.AfterFunc(e.cfg.Hold, func() { e.forget(s) })
	return true
}

// start begins a generation and counts the run.
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
	e.held[id] = s
	return s
}

// requestID returns the caller's request ID, to which the gateway adds a
// suffix for each generation.
func requestID(generation string) string {
	if i := strings.LastIndexByte(generation, '~'); i >= 0 {
		return generation[:i]
	}
	return generation
}

func (e *Engine) forget(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[s.id] == s {
		delete(e.held, s.id)
	}
}

func (e *Engine) resume(id string) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.held[id]
	if ok {
		s.readers++
	}
	return s, ok
}

// detach notes that a reader went away; the generation is canceled unless
// another reader comes within hold.
func (e *Engine) detach(s *sequence, hold time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if hold <= 0 {
		e.cancelIfUnread(s)
		return
	}
	time.AfterFunc(hold, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.cancelIfUnread(s)
	})
}

func (e *Engine) cancelIfUnread(s *sequence) {
	if s.readers == 0 && s.visible < len(s.answer) {
		e.cancelLocked(s)
	}
}

func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.held[id]
	if ok {
		e.cancelLocked(s)
	}
	return ok
}

func (e *Engine) cancelLocked(s *sequence) {
	if !s.canceled && s.visible < len(s.answer) {
		e.canceled++
	}
	s.canceled = true
	if e.held[s.id] == s {
		delete(e.held, s.id)
	}
}

// state returns how many tokens are visible and a channel that is closed when
// there are more.
func (e *Engine) state(s *sequence) (int, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.visible, s.progress
}

// reported returns the load as the engine reports it, with its lag.
func (e *Engine) reported() int {
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

// SetFaults puts the fault switches in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// admission counts a request and says which faults it meets.
func (e *Engine) admission() (f Faults, refuse, hidden bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen++
	f = e.faults
	refuse = f.Overload > 0 && e.seen%f.Overload == 0
	hidden = f.HiddenOverload > 0 && e.seen%f.HiddenOverload == 0
	return f, refuse, hidden
}

// Answer returns the tokens that the stand-in generates for a chat, so that a
// caller can check that an answer is whole and its own.
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
