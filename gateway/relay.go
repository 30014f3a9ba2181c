package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

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
	events := strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream)
	switch {
	case events && f.chat:
		return g.relayStream(ctx, c, f, t, gen, resp)
	case events:
		return g.relayUnbuffered(c, t, resp, nil)
	default:
		return g.relayBuffered(c, f, t, resp)
	}
}

// relayBuffered reads the complete response before it delivers any of it, so that a response
// truncated by the target is never delivered as a complete one. Responses over
// maxBufferedResponse are streamed.
func (g *Gateway) relayBuffered(c *call, f forwardRequest, t targets.Target, resp *http.Response) *attemptError {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse+1))
	if err != nil {
		return &attemptError{progress: retry.Sent, reason: problem.TargetFailed, cause: err}
	}
	if len(body) > maxBufferedResponse {
		return g.relayUnbuffered(c, t, resp, body)
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
func (g *Gateway) relayUnbuffered(c *call, t targets.Target, resp *http.Response, head []byte) *attemptError {
	copyHeader(c.w, t, resp)
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.captured.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	c.w.WriteHeader(resp.StatusCode)
	out := io.MultiWriter(&flushWriter{c.w, http.NewResponseController(c.w)}, captureWriter{c.captured})
	_, err := out.Write(head)
	if err == nil {
		_, err = io.Copy(out, readerOnly{resp.Body})
	}
	if err != nil && c.req.Context().Err() == nil {
		g.metrics.refusals.WithLabelValues(string(problem.TargetFailed)).Inc()
		c.log().Warn("response truncated by target", "target", t.ID, "err", err)
		c.guarded.recordDisconnect()
		panic(http.ErrAbortHandler)
	}
	if err == nil {
		c.captured.end()
	}
	return nil
}

type readerOnly struct{ io.Reader }

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
