package bench

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const chatPath = "/v1/chat/completions"

// caller sends streamed chats to one URL and reads them to the end.
type caller struct {
	url    string
	client *http.Client
}

func newCaller(url string) *caller {
	const idle = 512
	return &caller{url: url, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}}
}

// result is what came of one chat.
type result struct {
	first  time.Duration // to the first token
	tokens int
	err    error
}

var (
	errNotWhole = errors.New("the stream is not whole")
	tokenMark   = []byte(`"content":"`)
	noToken     = []byte(`"content":""`)
	doneMark    = []byte("[DONE]")
)

func (c *caller) chat(ctx context.Context, n, maxTokens int) result {
	body := `{"model":"` + Model + `","stream":true,"max_tokens":` + strconv.Itoa(maxTokens) +
		`,"messages":[{"role":"user","content":"chat ` + strconv.Itoa(n) + `"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+chatPath, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+APIKey)
	req.Header.Set("Content-Type", "application/json")
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return result{err: errors.Newf("status %d", resp.StatusCode)}
	}
	return readStream(resp.Body, start)
}

func readStream(body io.Reader, start time.Time) result {
	r := result{err: errNotWhole}
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		line := sc.Bytes()
		switch {
		case bytes.Contains(line, doneMark):
			r.err = nil
		case bytes.Contains(line, tokenMark) && !bytes.Contains(line, noToken):
			if r.tokens == 0 {
				r.first = time.Since(start)
			}
			r.tokens++
		}
	}
	return r
}

// source is a target that streams tokens at a fixed pace, the first at once.
// It does as little as possible, so that the node's own cost shows.
type source struct {
	tokens int
	pace   time.Duration
}

// ServeHTTP implements http.Handler.
func (s source) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.start(w, r)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// start sends the tokens without the end of the stream.
func (s source) start(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	var buf []byte
	for i := 1; i <= s.tokens; i++ {
		if i > 1 && s.pace > 0 {
			time.Sleep(s.pace)
		}
		buf = append(buf[:0], "id: "...)
		buf = strconv.AppendInt(buf, int64(i), 10)
		buf = append(buf, "\ndata: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"model\":\"bench-lm\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"},\"finish_reason\":null}]}\n\n"...)
		_, _ = w.Write(buf)
		_ = rc.Flush()
	}
}
