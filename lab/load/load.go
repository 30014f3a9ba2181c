// Package load is a load generator. It sends chats of several turns and calls of plain services
// (targets that serve no model) through the nodes. It checks that each caller gets the complete
// answer to its request, that no request runs more often than it may, and that a request that was
// reported as not run was not run by any target.
//
// A call of a plain service is a read, which is repeatable, or a notice, which must not run twice
// and has an idempotency key. A whole answer is a complete one that belongs to the request.
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

// systemWords is the length of each chat's system prompt in words.
const systemWords = 50

// Runner sends the load of one run.
type Runner struct {
	cfg      Config
	client   *http.Client
	ledger   *ledger
	balancer *balancer

	mu     sync.Mutex
	result Result
}

// New returns a Runner for one run of cfg.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:    cfg,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerNode}},
		ledger: newLedger(), balancer: newBalancer(cfg.Nodes),
		result: newResult(),
	}
}

// Run sends all chats and returns the result. It returns an error if the configuration is invalid,
// ctx is done before the end, or a target's run counts can't be fetched.
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

// chat sends the turns of one chat, each followed by a service call, if configured, and a random
// pause with mean Think. It ends at the first turn without a whole answer.
func (r *Runner) chat(ctx context.Context, p chatPlan) {
	id := fmt.Sprintf("chat-%d", p.number)
	messages := []engine.Message{{Role: "system", Content: strings.Repeat(id+" ", systemWords)}}
	for turn := range r.cfg.Turns {
		previous := messages
		question := engine.Message{Role: "user", Content: fmt.Sprintf("%s turn %d", id, turn)}
		messages = append(messages, question)
		reply, ok := r.turn(ctx, p, id, turn, messages, previous)
		if !ok {
			return
		}
		messages = append(messages, engine.Message{Role: "assistant", Content: reply})
		if r.cfg.Service != "" {
			r.service(ctx, p, turn)
		}
		sleep(ctx, time.Duration(p.rng.ExpFloat64()*float64(r.cfg.Think)))
		if ctx.Err() != nil {
			return
		}
	}
}

// turn requests the answer to the last message and returns it; it is false unless the answer is
// whole. previous is the part of messages that an engine may have in its prefix cache.
func (r *Runner) turn(ctx context.Context, p chatPlan, id string, turn int, messages, previous []engine.Message) (string, bool) {
	stream := turn%2 == 0
	body, _ := json.Marshal(engine.ChatRequest{
		Model: r.cfg.Model, Messages: messages, Stream: stream, MaxTokens: r.cfg.MaxTokens,
	})
	req := request{
		kind: kindChat, method: http.MethodPost, path: "/v1/chat/completions", body: body,
		apiKey: r.cfg.Keys[p.workspace], chatID: id, urgency: p.urgency, read: readUnstreamed,
	}
	if stream {
		req.read = readStream
	}
	start := time.Now()
	a, fail := r.send(ctx, p.rng, req)
	correct := a.content == strings.Join(engine.Answer(messages, r.cfg.MaxTokens), "")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.result.add(fail, correct) != outcomeWhole {
		return "", false
	}
	r.result.recordLatency(r.cfg.classesOf(p), a.firstToken, time.Since(start))
	if turn > 0 {
		reusable := engine.PromptTokens(previous)
		r.result.Reusable += reusable
		r.result.Reused += min(a.cached, reusable)
	}
	return a.content, true
}

// service sends one call of the plain service: a read, or a notice with an idempotency key. A share
// of the notices is sent twice concurrently with the same key.
func (r *Runner) service(ctx context.Context, p chatPlan, turn int) {
	req := request{
		kind: kindRead, method: http.MethodGet, apiKey: r.cfg.Keys[p.workspace], urgency: p.urgency, read: readService,
	}
	target := fmt.Sprintf("/works/%d-%d", p.number, turn)
	duplicate := false
	if p.rng.Float64() < r.cfg.Notices {
		req.kind, req.method, req.key = kindNotice, http.MethodPost, r.ledger.newKey()
		req.body = []byte(`{"kind":"household notice"}`)
		target = fmt.Sprintf("/notices/%d-%d", p.number, turn)
		duplicate = p.rng.Float64() < r.cfg.Resend
	}
	req.path = "/services/" + r.cfg.Service + target
	if !duplicate {
		r.callService(ctx, p.rng, req, target)
		return
	}
	var copies sync.WaitGroup
	for range 2 {
		rng := rand.New(rand.NewPCG(p.rng.Uint64(), p.rng.Uint64()))
		copies.Go(func() { r.callService(ctx, rng, req, target) })
	}
	copies.Wait()
}

// callService sends a service call and counts it. The answer is correct if it names the same method
// and target.
func (r *Runner) callService(ctx context.Context, rng *rand.Rand, req request, target string) {
	a, fail := r.send(ctx, rng, req)
	correct := strings.HasSuffix(a.service.Path, target) && a.service.Method == req.method
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.add(fail, correct)
}

// countRetry counts a failed try that is retried.
func (r *Runner) countRetry(f *failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Retries++
	r.result.Reasons[f.reason]++
}
