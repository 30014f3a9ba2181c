package engine_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/knapweedgw/knapweedgw/lab/bench"
	"github.com/knapweedgw/knapweedgw/lab/engine"
	"github.com/knapweedgw/knapweedgw/problem"
)

// fleet is a set of engines behind one node, called through the OpenAI client library.
type fleet struct {
	engines []*engine.Engine
	client  openai.Client
}

// newFleet starts one engine for each of faults and one node that routes to them.
func newFleet(t *testing.T, faults ...engine.Faults) *fleet {
	t.Helper()
	f := &fleet{}
	var addrs []string
	for i, fault := range faults {
		e := engine.New(engine.Config{
			ID: strconv.Itoa(i), Step: time.Millisecond, Batch: 8,
			CacheTokens: 10_000, PrefillRate: 1_000_000, Hold: time.Minute,
		})
		e.SetFaults(fault)
		ctx, cancel := context.WithCancel(context.Background())
		go e.Run(ctx)
		addr, stop, err := bench.Serve(e.Handler())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cancel(); stop() })
		f.engines = append(f.engines, e)
		addrs = append(addrs, addr)
	}
	n, err := bench.NewNode(addrs, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Stop(context.Background()) })
	f.client = openai.NewClient(option.WithBaseURL(n.URL()+"/v1"), option.WithAPIKey(bench.APIKey))
	return f
}

// runs returns the number of generations that the engines started.
func (f *fleet) runs() int {
	n := 0
	for _, e := range f.engines {
		n += e.Runs()
	}
	return n
}

const prompt = "which pipe is lead?"

func params() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     bench.Model,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// want returns the answer to params.
func want() string {
	return strings.Join(engine.Answer([]engine.Message{{Role: "user", Content: prompt}}, 12), "")
}

// stream sends a streaming request and returns the content of all events.
func (f *fleet) stream(p openai.ChatCompletionNewParams) (string, error) {
	s := f.client.Chat.Completions.NewStreaming(context.Background(), p)
	defer func() { _ = s.Close() }()
	var got strings.Builder
	for s.Next() {
		for _, choice := range s.Current().Choices {
			got.WriteString(choice.Delta.Content)
		}
	}
	return got.String(), s.Err()
}

// TestClientUnstreamed checks a chat completion without streaming and the list of models.
func TestClientUnstreamed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, engine.Faults{})
	got, err := f.client.Chat.Completions.New(context.Background(), params())
	is.NoErr(err)
	is.Equal(got.Choices[0].Message.Content, want())
	is.Equal(got.Usage.CompletionTokens, int64(12))
	models, err := f.client.Models.List(context.Background())
	is.NoErr(err)
	is.Equal(models.Data[0].ID, bench.Model)
}

// TestClientStreamed checks that the client gets the complete answer from one generation when a
// stream is cut or one of two engines is overloaded.
func TestClientStreamed(t *testing.T) {
	tests := []struct {
		name   string
		faults []engine.Faults
		runs   int
	}{
		{"healthy", []engine.Faults{{}}, 1},
		{"each stream cut", []engine.Faults{{CutAfter: 5}}, 1},
		{"overloaded", []engine.Faults{{Overload: 1}, {}}, 1},
		{"overload hidden in a stream", []engine.Faults{{HiddenOverload: 1}, {}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, tt.faults...)
			got, err := f.stream(params())
			is.NoErr(err)
			is.Equal(got, want())
			is.Equal(f.runs(), tt.runs)
		})
	}
}

// slackTimeout bounds the wait, in steps of slackPoll, for a node that has just started to have slack in its retry
// budget. No test result depends on its length.
const (
	slackTimeout = time.Minute
	slackPoll    = 100 * time.Millisecond
)

// TestClientErrors checks that the client library decodes refusals into its error type, with
// status, code and message.
func TestClientErrors(t *testing.T) {
	tests := []struct {
		name   string
		params func(*openai.ChatCompletionNewParams)
		opts   []option.RequestOption
		status int
		code   string
	}{
		{"unknown model", func(p *openai.ChatCompletionNewParams) { p.Model = "x" }, nil, 404, "unknown_model"},
		{"no messages", func(p *openai.ChatCompletionNewParams) { p.Messages = nil }, nil, 400, "bad_request"},
		{"unknown key", nil, []option.RequestOption{option.WithAPIKey("x")}, 401, "unauthenticated"},
		{"every engine overloaded", nil, []option.RequestOption{option.WithMaxRetries(0)}, 503, "no_target"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, engine.Faults{Overload: 1})
			p := params()
			if tt.params != nil {
				tt.params(&p)
			}
			var api *openai.Error
			// A node that has just started has no slack in its retry budget for a while.
			for begun := time.Now(); time.Since(begun) < slackTimeout; time.Sleep(slackPoll) {
				_, err := f.client.Chat.Completions.New(context.Background(), p, tt.opts...)
				is.True(errors.As(err, &api))
				if api.Code != string(problem.RetryBudgetExhausted) {
					break
				}
			}
			is.Equal(api.StatusCode, tt.status)
			is.Equal(api.Code, tt.code)
			is.True(strings.Contains(api.Message, "remedy"))
			is.Equal(f.runs(), 0)
		})
	}
}

// TestClientDoesNotRetryUnknownOutcome checks that the client library, which retries by default,
// doesn't repeat a request that the engine may have run: the engine closes the connection without
// a response.
func TestClientDoesNotRetryUnknownOutcome(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	addr, stop, err := bench.Serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	}))
	is.NoErr(err)
	defer stop()
	n, err := bench.NewNode([]string{addr}, nil)
	is.NoErr(err)
	defer func() { _ = n.Stop(context.Background()) }()
	client := openai.NewClient(option.WithBaseURL(n.URL()+"/v1"), option.WithAPIKey(bench.APIKey))
	_, err = client.Chat.Completions.New(context.Background(), params())
	var api *openai.Error
	is.True(errors.As(err, &api))
	is.Equal(requests.Load(), int32(1))
}
