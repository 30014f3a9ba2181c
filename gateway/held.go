package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/knapweedgw/knapweedgw/completion"
	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/targets"
)

// maxHeldFailure is the largest failure response, in bytes, that is held in memory while the
// request is retried. Each retried request in progress holds at most one. A larger response is
// streamed to the caller, and the request isn't retried.
const maxHeldFailure = 64 << 10

// heldResponse is a failure response that was read completely.
type heldResponse struct {
	target targets.Target
	resp   *http.Response
	body   []byte
}

// holdFailure handles a failure response to a repeatable request. It returns an attempt error
// that holds the response, or nil if the response is too large to hold and must be delivered
// now; its body can then be read again.
func (g *Gateway) holdFailure(ctx context.Context, c *call, t targets.Target, resp *http.Response) *attemptError {
	fail := statusError(retry.Sent, problem.TargetFailed, resp)
	var received completion.Body
	received.Start(resp, false)
	body, whole, err := intake.Of(c.w, c.req).ReadAnswer(&received, maxHeldFailure)
	if err == nil && !whole {
		resp.Body = &prefixedBody{io.MultiReader(bytes.NewReader(body), resp.Body), resp.Body}
		return nil
	}
	if g.endResponse(ctx, c, t, &received) != nil {
		return fail // truncated: there is no complete response to hold
	}
	fail.response = &heldResponse{target: t, resp: resp, body: body}
	return fail
}

// deliver writes the response to the caller.
func (a *heldResponse) deliver(c *call) {
	copyHeader(c.w, a.target, a.resp)
	if c.req.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.resp.StatusCode)
	_, _ = c.w.Write(a.body) // an error means that the caller disconnected
}
