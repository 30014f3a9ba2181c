package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/targets"
)

var doneEvent = []byte("data: [DONE]")

// relay copies a target's answer to the caller.
func (g *Gateway) relay(c *call, t targets.Target, resp *http.Response) *attemptError {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return g.relayStream(c, t, resp)
	}
	return g.relayWhole(c, t, resp)
}

// relayWhole reads the whole answer before it delivers any of it, so that an
// answer cut short by the target is never taken for a whole one.
func (g *Gateway) relayWhole(c *call, t targets.Target, resp *http.Response) *attemptError {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return &attemptError{retry.Sent, problem.TargetFailed, err}
	}
	copyHeader(c.w, t, resp)
	c.w.WriteHeader(resp.StatusCode)
	_, _ = c.w.Write(body)
	return nil
}

// relayStream copies server-sent events as they come. A stream that ends
// before its last event is closed with an explicit error event.
func (g *Gateway) relayStream(c *call, t targets.Target, resp *http.Response) *attemptError {
	copyHeader(c.w, t, resp)
	c.w.WriteHeader(resp.StatusCode)
	rc := http.NewResponseController(c.w)
	r := bufio.NewReader(resp.Body)
	done := false
	for {
		event, err := readEvent(r)
		if len(event) > 0 && err == nil {
			_, _ = c.w.Write(event)
			_ = rc.Flush()
			done = done || bytes.Contains(event, doneEvent)
			continue
		}
		if !done {
			g.cutStream(c, t, err)
		}
		return nil
	}
}

func (g *Gateway) cutStream(c *call, t targets.Target, cause error) {
	c.log.Warn("stream cut by target", "target", t.ID, "err", cause)
	g.metrics.refusals.WithLabelValues(string(problem.TargetFailed)).Inc()
	_, _ = io.WriteString(c.w, "event: error\ndata: {\"error\":{\"type\":\"target_failed\",\"message\":\"the target ended the stream early\",\"ran\":\"unknown\"}}\n\n")
}

// readEvent returns the next event with its closing blank line.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

func copyHeader(w http.ResponseWriter, t targets.Target, resp *http.Response) {
	for _, name := range []string{"Content-Type", "Cache-Control", "Retry-After", "Endpoint-Load-Metrics"} {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.Header().Set(HeaderTarget, t.ID)
}
