package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/completion"
	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/targets"
)

// maxBufferedResponse is how much of an unstreamed response is read before any of it is
// delivered, in bytes.
const maxBufferedResponse = 1 << 20

// relay copies a target's response to the caller.
func (g *Gateway) relay(
	ctx context.Context, c *call, f forwardRequest, t targets.Target, gen generation, resp *http.Response,
) *attemptError {
	events := completion.IsEventStream(resp, false)
	if events && f.chat {
		return g.relayStream(ctx, c, f, t, gen, resp)
	}
	var body completion.Body
	body.Start(resp, events)
	if events {
		return g.relayUnbuffered(ctx, c, t, resp, &body, nil)
	}
	return g.relayBuffered(ctx, c, f, t, resp, &body)
}

// relayBuffered reads the complete response before it delivers any of it, so that a response
// truncated by the target is never delivered as a complete one. Responses over
// maxBufferedResponse, and those for which there is no room, are streamed.
func (g *Gateway) relayBuffered(
	ctx context.Context, c *call, f forwardRequest, t targets.Target, resp *http.Response, received *completion.Body,
) *attemptError {
	body, whole, err := intake.Of(c.w, c.req).ReadAnswer(received, maxBufferedResponse)
	if err == nil && !whole {
		if len(body) <= maxBufferedResponse {
			// The response holds its place until the caller has read it, for want of memory.
			c.w.timeout = min(c.w.timeout, intake.ReadStillTime)
		}
		return g.relayUnbuffered(ctx, c, t, resp, received, body)
	}
	if fail := g.endResponse(ctx, c, t, received); fail != nil {
		return fail
	}
	if f.chat && resp.StatusCode == http.StatusOK && !json.Valid(body) {
		return &attemptError{progress: retry.Sent, reason: problem.TargetFailed, cause: errors.New("the answer is not JSON")}
	}
	copyHeader(c.w, t, resp)
	if c.req.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.captured.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	c.captured.add(body)
	c.captured.end()
	c.w.WriteHeader(resp.StatusCode)
	_, _ = c.w.Write(body)
	return nil
}

// relayUnbuffered delivers head and then streams the rest of the response. If the target
// truncates it, the caller's connection is closed so that the caller doesn't take the response
// for a complete one.
func (g *Gateway) relayUnbuffered(
	ctx context.Context, c *call, t targets.Target, resp *http.Response, received *completion.Body, head []byte,
) *attemptError {
	copyHeader(c.w, t, resp)
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.captured.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	c.w.WriteHeader(resp.StatusCode)
	out := io.MultiWriter(&flushWriter{c.w, http.NewResponseController(c.w)}, captureWriter{c.captured})
	_, err := out.Write(head)
	if err == nil {
		_, err = io.Copy(out, received)
	}
	var fail *attemptError
	if err == nil || received.Ending().Failed {
		fail = g.endResponse(ctx, c, t, received)
	}
	switch {
	case err == nil && fail == nil:
		c.captured.end()
	case c.req.Context().Err() != nil:
	case fail != nil:
		g.abortTruncated(c, t, fail)
	default:
		g.abortTruncated(c, t, &attemptError{cause: err})
	}
	return nil
}

type captureWriter struct{ *capture }

func (w captureWriter) Write(p []byte) (int, error) {
	w.add(p)
	return len(p), nil
}

// flushWriter flushes after each write.
type flushWriter struct {
	io.Writer
	rc *http.ResponseController
}

func (w *flushWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err == nil {
		_ = w.rc.Flush()
	}
	return n, err
}

var responseHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Language", "Content-Range",
	"Content-Type", "ETag", "Last-Modified", "Location", "Retry-After",
}

// copyHeader copies the response headers that are meant for callers and adds the target's ID.
func copyHeader(w http.ResponseWriter, t targets.Target, resp *http.Response) {
	for _, name := range responseHeaders {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.Header().Set(HeaderTarget, t.ID)
}

// loadReport is the part of an ORCA load report that the node reads.
type loadReport struct {
	NamedMetrics struct {
		InFlight *float64 `json:"in_flight"`
	} `json:"named_metrics"`
}

// reportedLoad parses the JSON form of a load report and returns the target's requests in
// flight. It returns false if there is no such value.
func reportedLoad(h string) (int, bool) {
	raw, ok := strings.CutPrefix(h, "JSON ")
	if !ok {
		return 0, false
	}
	var r loadReport
	if json.Unmarshal([]byte(raw), &r) != nil || r.NamedMetrics.InFlight == nil {
		return 0, false
	}
	return int(*r.NamedMetrics.InFlight), true
}
