package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	restful "github.com/emicklei/go-restful/v3"
)

const (
	defaultMaxTokens = 16
	doneEvent        = "data: [DONE]\n\n"
)

// ChatRequest is the part of an OpenAI chat completion request that the stand-in uses.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// Stats are the engine's counts. Requests is the number of distinct request IDs, LoadSeconds the
// integral of the requests in flight over time in request-seconds, and Canceled the number of
// generations canceled before their end.
type Stats struct {
	ID              string  `json:"id"`
	Requests        int     `json:"requests"`
	LoadSeconds     float64 `json:"load_seconds"`
	PeakInFlight    int     `json:"peak_in_flight"`
	CurrentInFlight int     `json:"current_in_flight"`
	Canceled        int     `json:"canceled"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Handler returns the engine's routes: the OpenAI paths, /load (load report for probes), the order
// interface and /lab/* (fault switches and counts).
func (e *Engine) Handler() http.Handler {
	c := restful.NewContainer()
	ws := new(restful.WebService).Produces("*/*")
	ws.Route(ws.POST("/v1/chat/completions").To(e.serveChat))
	ws.Route(ws.DELETE("/v1/chat/completions/{id}").To(e.serveCancel))
	ws.Route(ws.GET("/load").To(e.serveLoad))
	ws.Route(ws.GET("/lab/runs").To(e.serveRuns))
	ws.Route(ws.GET("/lab/stats").To(e.serveStats))
	ws.Route(ws.PUT("/lab/faults").To(e.putFaults))
	e.orders.Routes(ws)
	c.Add(ws)
	return c
}

func (e *Engine) serveChat(r *restful.Request, w *restful.Response) {
	var req ChatRequest
	if err := json.NewDecoder(r.Request.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	faults, refuse, hidden := e.countRequest()
	e.reportHeaders(w, faults)
	id := r.Request.Header.Get("X-Request-Id")
	last := r.Request.Header.Get("Last-Event-ID")
	if last != "" {
		e.serveResume(r, w, req, id, last)
		return
	}
	if refuse || hidden && !req.Stream {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	if hidden {
		e.serveHiddenOverload(w)
		return
	}
	s := e.start(id, urgency(r.Request.Header.Get("Priority")), req.Messages, req.MaxTokens)
	if req.Stream {
		e.stream(r, w, s, req.Model, 0, faults.CutAfter)
		return
	}
	e.serveUnstreamed(r, w, s, req.Model)
}

func (e *Engine) serveCancel(r *restful.Request, w *restful.Response) {
	if !e.cancel(r.PathParameter("id")) {
		http.Error(w, "generation not held", http.StatusNotFound)
	}
}

// serveResume sends the rest of a generation after the event whose ID is last.
func (e *Engine) serveResume(r *restful.Request, w *restful.Response, req ChatRequest, id, last string) {
	offset, err := strconv.Atoi(last)
	if err != nil {
		http.Error(w, "Last-Event-ID is not a number", http.StatusBadRequest)
		return
	}
	s, ok := e.resume(id)
	if !ok {
		http.Error(w, "generation not held", http.StatusGone)
		return
	}
	e.stream(r, w, s, req.Model, offset, 0)
}

// serveUnstreamed waits for the end of the generation and sends it as one JSON document.
func (e *Engine) serveUnstreamed(r *restful.Request, w *restful.Response, s *sequence, model string) {
	for {
		n, more := e.state(s)
		if n >= len(s.answer) {
			break
		}
		select {
		case <-more:
		case <-r.Request.Context().Done():
			e.detach(s, 0)
			return
		}
	}
	stop := "stop"
	msg := &Message{Role: "assistant", Content: join(s.answer)}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w.ResponseWriter).Encode(completion{
		ID: s.id, Object: "chat.completion", Model: model, Usage: e.usage(s),
		Choices: []choice{{Message: msg, FinishReason: &stop}},
	})
}

// stream sends the tokens from offset on as events; an event's ID is the number of tokens sent so
// far. A positive cutAfter closes the connection after that many tokens.
func (e *Engine) stream(r *restful.Request, w *restful.Response, s *sequence, model string, offset, cutAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w.ResponseWriter)
	hold := resumeHold(r.Request)
	sent := offset
	for sent < len(s.answer) {
		n, more := e.state(s)
		for ; sent < min(n, len(s.answer)); sent++ {
			if cutAfter > 0 && sent >= cutAfter {
				_ = rc.Flush()
				e.detach(s, hold)
				panic(http.ErrAbortHandler)
			}
			delta := &Message{Role: "assistant", Content: s.answer[sent]}
			writeEvent(w, sent+1, completion{
				ID: s.id, Object: "chat.completion.chunk", Model: model,
				Choices: []choice{{Delta: delta}},
			})
		}
		_ = rc.Flush()
		if sent >= len(s.answer) {
			break
		}
		select {
		case <-more:
		case <-r.Request.Context().Done():
			e.detach(s, hold)
			return
		}
	}
	if sent > len(s.answer) {
		_, _ = fmt.Fprint(w, doneEvent)
		return
	}
	stop := "stop"
	writeEvent(w, sent+1, completion{
		ID: s.id, Object: "chat.completion.chunk", Model: model, Usage: e.usage(s),
		Choices: []choice{{Delta: &Message{}, FinishReason: &stop}},
	})
	_, _ = fmt.Fprint(w, doneEvent)
}

// resumeHold returns how long the engine keeps a generation after its connection closes, from the
// header X-Resume-Hold; 0 if it isn't a number.
func resumeHold(r *http.Request) time.Duration {
	seconds, err := strconv.Atoi(r.Header.Get("X-Resume-Hold"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// serveHiddenOverload sends status 200, events without content and an overload error.
func (e *Engine) serveHiddenOverload(w *restful.Response) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(w, ": keepalive\n\n")
	writeEvent(w, 1, completion{Object: "chat.completion.chunk", Choices: []choice{{Delta: &Message{Role: "assistant"}}}})
	_, _ = fmt.Fprint(w, `data: {"error":{"type":"service_unavailable_error","code":"server_is_overloaded","message":"overloaded"}}`+"\n\n")
}

func writeEvent(w *restful.Response, id int, c completion) {
	raw, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, raw)
}

func (e *Engine) usage(s *sequence) *usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &usage{
		PromptTokens: s.prompt, CompletionTokens: len(s.answer),
		TotalTokens: s.prompt + len(s.answer), Details: usageDetails{s.cached},
	}
}

// reportHeaders sets the headers of the load report (ORCA's JSON format) and of the engine's state.
func (e *Engine) reportHeaders(w *restful.Response, f Faults) {
	w.Header().Set("Endpoint-Load-Metrics", e.loadReport())
	if f.Leaving {
		w.Header().Set("X-Endpoint-State", "leaving")
	}
}

func (e *Engine) loadReport() string {
	return fmt.Sprintf(`JSON {"named_metrics":{"in_flight":%d}}`, e.reportedLoad())
}

func (e *Engine) serveLoad(_ *restful.Request, w *restful.Response) {
	faults, _, _ := e.countRequest()
	e.reportHeaders(w, faults)
}

func (e *Engine) serveRuns(_ *restful.Request, w *restful.Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w.ResponseWriter).Encode(e.runs)
}

func (e *Engine) serveStats(_ *restful.Request, w *restful.Response) {
	_ = json.NewEncoder(w.ResponseWriter).Encode(e.Stats())
}

// Stats returns the engine's counts since its start.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{
		ID: e.cfg.ID, Requests: len(e.runs),
		LoadSeconds: e.load.sum, PeakInFlight: e.load.peak, CurrentInFlight: e.load.value,
		Canceled: e.canceled,
	}
}

func (e *Engine) putFaults(r *restful.Request, w *restful.Response) {
	var f Faults
	if err := json.NewDecoder(r.Request.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// urgency returns the urgency parameter of a Priority header (RFC 9218), 0 (first) to 7, or the
// default 3 if the header doesn't start with it.
func urgency(h string) int {
	const defaultUrgency = 3
	if len(h) >= 3 && h[:2] == "u=" {
		return int(h[2] - '0')
	}
	return defaultUrgency
}

// Runs returns the number of generations started.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, runs := range e.runs {
		n += runs
	}
	return n
}
