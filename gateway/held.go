package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/targets"
)

// maxHeldFailure is the largest answer of a failed target that is held while the request
// is repeated, in bytes. Each repeated request in progress holds one; a larger one is
// delivered as it comes, and the request is not repeated.
const maxHeldFailure = 64 << 10

// heldAnswer is a failure answer that was read whole.
type heldAnswer struct {
	target targets.Target
	resp   *http.Response
	body   []byte
}

// failedByTarget takes a target's own failure of a request that may be repeated. It
// returns nil if the answer is to be delivered now; its body can be read again.
func failedByTarget(t targets.Target, resp *http.Response) *attemptError {
	fail := statusError(retry.Sent, problem.TargetFailed, resp)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldFailure+1))
	if err != nil {
		return fail // cut off: there is no whole answer
	}
	if len(body) > maxHeldFailure {
		resp.Body = &prefixedBody{io.MultiReader(bytes.NewReader(body), resp.Body), resp.Body}
		return nil
	}
	fail.answer = &heldAnswer{target: t, resp: resp, body: body}
	return fail
}

// deliver writes the answer to the caller.
func (a *heldAnswer) deliver(c *call) {
	copyHeader(c.w, a.target, a.resp)
	if c.req.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.resp.StatusCode)
	_, _ = c.w.Write(a.body) // a caller that has gone needs it no more
}
