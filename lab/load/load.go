// Package load sends returning chats and service calls through the nodes and
// checks that each caller gets its own answer, whole and once, and that what
// it was told is what the targets ran.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/knapweedgw/knapweedgw/lab/engine"
)

// systemWords is the length of each chat's system prompt.
const systemWords = 50

// Runner sends the load.
type Runner struct {
	cfg      Config
	client   *http.Client
	ledger   *ledger
	balancer *balancer

	mu     sync.Mutex
	result Result
}

// New returns a runner.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:    cfg,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerNode}},
		ledger: newLedger(), balancer: newBalancer(cfg.Nodes),
		result: newResult(),
	}
}

// Run sends every chat to its end and returns the result.
func (r *Runner) Run(ctx context.Context) (Result, error) {
	if err := r.cfg.Validate(); err != nil {
		return r.result, err
	}
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	sampled := make(chan skewMeter, 1)
	go func() { sampled <- r.sampleSkew(sampling) }()
	go r.balancer.run(sampling)
	var g errgroup.Group
	for n := range r.cfg.Chats {
		g.Go(func() error {
			r.chat(ctx, r.cfg.plan(n))
			return ctx.Err()
		})
	}
	err := g.Wait()
	stop()
	meter := <-sampled
	if err != nil {
		return r.result, err
	}
	r.result.skew = meter
	return r.settle(ctx)
}

// chat plays one chat: its turns, each followed by a service call and a pause.
func (r *Runner) chat(ctx context.Context, p chatPlan) {
	id := fmt.Sprintf("chat-%d", p.number)
	messages := []engine.Message{{Role: "system", Content: strings.Repeat(id+" ", systemWords)}}
	for turn := range r.cfg.Turns {
		known := messages
		question := engine.Message{Role: "user", Content: fmt.Sprintf("%s turn %d", id, turn)}
		messages = append(messages, question)
		reply, ok := r.turn(ctx, p, id, turn, messages, known)
		if !ok {
			return
		}
		messages = append(messages, engine.Message{Role: "assistant", Content: reply})
		if r.cfg.Service != "" {
			r.service(ctx, p, turn)
		}
		pause(ctx, time.Duration(p.rng.ExpFloat64()*float64(r.cfg.Think)))
		if ctx.Err() != nil {
			return
		}
	}
}

// turn asks for the next answer; known is the part of the messages that an
// engine may hold.
func (r *Runner) turn(ctx context.Context, p chatPlan, id string, turn int, messages, known []engine.Message) (string, bool) {
	stream := turn%2 == 0
	body, _ := json.Marshal(engine.ChatRequest{
		Model: r.cfg.Model, Messages: messages, Stream: stream, MaxTokens: r.cfg.MaxTokens,
	})
	req := request{
		kind: kindChat, method: http.MethodPost, path: "/v1/chat/completions", body: body,
		apiKey: r.cfg.Keys[p.workspace], chatID: id, urgency: p.urgency, read: readWhole,
	}
	if stream {
		req.read = readStream
	}
	start := time.Now()
	a, fail := r.send(ctx, p.rng, req)
	own := a.content == strings.Join(engine.Answer(messages, r.cfg.MaxTokens), "")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result.add(fail, own) != outcomeWhole {
		return "", false
	}
	r.result.latency(r.cfg.classesOf(p), a.first, time.Since(start))
	if turn > 0 {
		could := engine.PromptTokens(known)
		r.result.CouldReuse += could
		r.result.Reused += min(a.cached, could)
	}
	return a.content, true
}

// service calls the plain service: a read, or a notice that may not be
// repeated, sent with an idempotency key.
func (r *Runner) service(ctx context.Context, p chatPlan, turn int) {
	req := request{
		kind: kindRead, method: http.MethodGet, apiKey: r.cfg.Keys[p.workspace], urgency: p.urgency, read: readService,
	}
	target := fmt.Sprintf("/works/%d-%d", p.number, turn)
	resend := false
	if p.rng.Float64() < r.cfg.Notices {
		req.kind, req.method, req.key = kindNotice, http.MethodPost, r.ledger.key()
		req.body = []byte(`{"kind":"household notice"}`)
		target = fmt.Sprintf("/notices/%d-%d", p.number, turn)
		resend = p.rng.Float64() < r.cfg.Resend
	}
	req.path = "/services/" + r.cfg.Service + target
	if !resend {
		r.callService(ctx, p.rng, req, target)
		return
	}
	var twice sync.WaitGroup
	for range 2 {
		rng := rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64()))
		twice.Go(func() { r.callService(ctx, rng, req, target) })
	}
	twice.Wait()
}

func (r *Runner) callService(ctx context.Context, rng *rand.Rand, req request, target string) {
	a, fail := r.send(ctx, rng, req)
	own := strings.HasSuffix(a.service.Path, target) && a.service.Method == req.method
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.add(fail, own)
}

func (r *Runner) countRetry(f *failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Retries++
	r.result.Reasons[f.reason]++
}
