package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/problem"
)

// Limits of header values, in bytes unless they are durations.
const (
	maxRequestID      = 128
	maxIdempotencyKey = 255
	maxChatID         = 256
	maxRequestTimeout = 24 * time.Hour
)

// checkHeader refuses a header that is too large or has an invalid value, and sets c.timeout.
func (g *Gateway) checkHeader(c *call) error {
	h := c.req.Header
	if headerBytes(h)+len(c.req.RequestURI) > maxHeaderBytes {
		c.w.Header().Set("Connection", "close")
		return problem.New(problem.HeadersTooLarge, problem.NotRun, "limit "+strconv.Itoa(maxHeaderBytes)+" bytes")
	}
	limits := []struct {
		name string
		max  int
	}{
		{HeaderRequestID, maxRequestID},
		{HeaderIdempotencyKey, maxIdempotencyKey},
		{HeaderChatID, maxChatID},
		{HeaderLastEventID, maxEventID},
	}
	for _, l := range limits {
		if v, ok := h[http.CanonicalHeaderKey(l.name)]; ok && !validToken(v[0], l.max) {
			return problem.New(problem.BadRequest, problem.NotRun,
				l.name+" is not 1 to "+strconv.Itoa(l.max)+" printable ASCII characters")
		}
	}
	var err error
	c.timeout, err = requestTimeout(h.Get(HeaderRequestTimeout))
	return err
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

func validToken(s string, limit int) bool {
	if len(s) == 0 || len(s) > limit {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func requestTimeout(h string) (time.Duration, error) {
	if h == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(h, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0, problem.New(problem.BadRequest, problem.NotRun, HeaderRequestTimeout+" is not a positive number of seconds")
	}
	seconds = min(seconds, maxRequestTimeout.Seconds())
	return time.Duration(seconds * float64(time.Second)), nil
}

// readBody reads the complete body within the limits of --max-body-bytes and --body-timeout.
func (g *Gateway) readBody(c *call) ([]byte, error) {
	limits := intake.BodyLimits{Bytes: g.cfg.MaxBodyBytes, Total: g.cfg.BodyTimeout}
	workspace := func() (string, error) { return c.workspace.Team + "/" + c.workspace.Name, nil }
	body, err := intake.Of(c.w, c.req).ReadBody(limits, workspace)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, intake.ErrTooLarge):
		return nil, problem.New(problem.BodyTooLarge, problem.NotRun, "limit "+strconv.FormatInt(g.cfg.MaxBodyBytes, 10)+" bytes")
	case errors.Is(err, intake.ErrTooSlow):
		return nil, problem.New(problem.BodyTimeout, problem.NotRun, "")
	case errors.Is(err, intake.ErrNoRoom):
		return nil, nodeFull()
	}
	return nil, problem.New(problem.BadRequest, problem.NotRun, "body: "+err.Error())
}

// nodeFull returns the refusal of a request for which there is no memory.
func nodeFull() error {
	return problem.New(problem.NodeFull, problem.NotRun, "").WithRetryAfter(intake.RetryAfter())
}

func bearerToken(r *http.Request) (string, bool) {
	const scheme = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) < len(scheme) || !strings.EqualFold(h[:len(scheme)], scheme) {
		return "", false
	}
	return h[len(scheme):], true
}

func idempotencyKey(r *http.Request) (string, bool) {
	key := r.Header.Get(HeaderIdempotencyKey)
	return key, key != ""
}

// priority returns the urgency of a Priority header, 0 (most urgent) to 7. As RFC 9218 requires,
// an invalid value counts as the default, 3.
func priority(h string) int {
	const defaultUrgency = 3
	for member := range strings.SplitSeq(h, ",") {
		u, ok := strings.CutPrefix(strings.TrimSpace(member), "u=")
		if ok && len(u) == 1 && u[0] >= '0' && u[0] <= '7' {
			return int(u[0] - '0')
		}
	}
	return defaultUrgency
}
