// Package load sends returning chats and service calls through the nodes and
// checks that each caller gets its own answer, whole and once.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedgw/knapweedgw/lab/engine"
)

// Config says what to send.
type Config struct {
	Nodes     []string // URLs of nodes
	Engines   []string // URLs of engines, asked for their counts
	Services  []string // URLs of plain services, asked for their counts
	Keys      []string // API keys, one a workspace
	Model     string
	Service   string
	Chats     int // chats at a time
	Turns     int // turns of each chat
	MaxTokens int
	Think     time.Duration // mean pause between turns
	Seed      uint64
}

// Result is what came of it.
type Result struct {
	Requests      int
	Whole         int
	Lost          int // refused, failed or cut
	Wrong         int // another caller's answer
	Doubled       int
	PromptTokens  int // tokens of returning prompts that could be cached
	CachedTokens  int
	Skew          float64 // time-weighted load of the busiest engine over the mean
	FirstTokenP50 time.Duration
	FirstTokenP99 time.Duration
}

// Reuse is the share of returning prompt tokens that came from a cache.
func (r Result) Reuse() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return float64(r.CachedTokens) / float64(r.PromptTokens)
}

// Runner sends the load.
type Runner struct {
	cfg    Config
	client *http.Client

	mu     sync.Mutex
	result Result
	ids    map[string]bool
	firsts []time.Duration
}

// New returns a runner.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:    cfg,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		ids:    make(map[string]bool),
	}
}

// Run sends every chat to its end and returns the result.
func (r *Runner) Run(ctx context.Context) (Result, error) {
	var g errgroup.Group
	for i := range r.cfg.Chats {
		g.Go(func() error {
			r.chat(ctx, i)
			return ctx.Err()
		})
	}
	if err := g.Wait(); err != nil {
		return r.result, err
	}
	return r.settle(ctx)
}

func (r *Runner) chat(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(n)))
	key := r.cfg.Keys[n%len(r.cfg.Keys)]
	chatID := fmt.Sprintf("chat-%d", n)
	messages := []engine.Message{{Role: "system", Content: strings.Repeat(chatID+" ", 50)}}
	known := 0
	for turn := range r.cfg.Turns {
		messages = append(messages, engine.Message{Role: "user", Content: fmt.Sprintf("%s turn %d", chatID, turn)})
		node := r.cfg.Nodes[rng.IntN(len(r.cfg.Nodes))]
		a := r.ask(ctx, node, key, chatID, messages, turn%2 == 0)
		r.record(a, messages, known)
		if a.err != nil {
			return
		}
		known = a.prompt + a.completion
		messages = append(messages, engine.Message{Role: "assistant", Content: a.content})
		if r.cfg.Service != "" {
			r.call(ctx, node, key)
		}
		pause := time.Duration(rng.ExpFloat64() * float64(r.cfg.Think))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

type answer struct {
	content            string
	prompt, completion int
	cached             int
	done               bool
	first              time.Duration
	err                error
}

type chunk struct {
	Choices []struct {
		Message engine.Message `json:"message"`
		Delta   engine.Message `json:"delta"`
	} `json:"choices"`
	Usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

func (r *Runner) ask(ctx context.Context, node, key, chatID string, messages []engine.Message, stream bool) answer {
	body, _ := json.Marshal(engine.ChatRequest{
		Model: r.cfg.Model, Messages: messages, Stream: stream, MaxTokens: r.cfg.MaxTokens,
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, node+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Chat-Id", chatID)
	start := time.Now()
	resp, err := r.send(req, key)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if stream {
		return readStream(resp.Body, start)
	}
	return readWhole(resp.Body)
}

func (r *Runner) send(req *http.Request, key string) (*http.Response, error) {
	id := uuid.NewString()
	r.mu.Lock()
	r.ids[id] = true
	r.mu.Unlock()
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return nil, errors.Newf("status %d: %s", resp.StatusCode, detail)
	}
	return resp, nil
}

func readWhole(body io.Reader) answer {
	var c chunk
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return answer{err: err}
	}
	if len(c.Choices) == 0 {
		return answer{err: errors.New("answer without a choice")}
	}
	a := answer{content: c.Choices[0].Message.Content, done: true}
	a.addUsage(c)
	return a
}

func readStream(body io.Reader, start time.Time) answer {
	var a answer
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.done = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			a.err = err
			return a
		}
		if c.Error != nil {
			a.err = errors.Newf("stream error: %s", c.Error)
			return a
		}
		if a.first == 0 {
			a.first = time.Since(start)
		}
		if len(c.Choices) > 0 {
			a.content += c.Choices[0].Delta.Content
		}
		a.addUsage(c)
	}
	if !a.done {
		a.err = errors.New("stream ended early")
	}
	return a
}

func (a *answer) addUsage(c chunk) {
	a.prompt += c.Usage.Prompt
	a.completion += c.Usage.Completion
	a.cached += c.Usage.Details.Cached
}

func (r *Runner) record(a answer, messages []engine.Message, known int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	want := strings.Join(engine.Answer(messages, r.cfg.MaxTokens), "")
	switch {
	case a.err != nil:
		r.result.Lost++
	case a.content != want:
		r.result.Wrong++
	default:
		r.result.Whole++
	}
	if a.first > 0 {
		r.firsts = append(r.firsts, a.first)
	}
	if known > 0 {
		r.result.PromptTokens += min(known, a.prompt)
		r.result.CachedTokens += min(a.cached, known)
	}
}

func (r *Runner) call(ctx context.Context, node, key string) {
	url := node + "/services/" + r.cfg.Service + "/works/1"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := r.send(req, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	if err != nil {
		r.result.Lost++
		return
	}
	_ = resp.Body.Close()
	r.result.Whole++
}
