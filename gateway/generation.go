package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/resumption"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

const (
	maxEventID    = 512
	cancelTimeout = 2 * time.Second
)

var errNotHeld = errors.New("the engine doesn't hold the stream")

// generation identifies one run of a chat completion at an engine. Its ID is the caller's
// request ID with a digest of the workspace and a random nonce. So the IDs of different
// workspaces or attempts never collide at an engine, and a workspace can't address another's
// generation.
type generation struct {
	id     string // X-Request-Id sent to the engine
	target string
	// nonce is a random string, a dot and the origin of the target. Releases without origins take all of it
	// for the random part.
	nonce string
}

func newGeneration(c *call, t targets.Target) generation {
	return generationOf(c, t.ID, strings.ReplaceAll(uuid.NewString(), "-", "")+originSeparator+string(originOf(t)))
}

const originSeparator = "."

// originOf returns the origin of what a target writes: its run, empty if the VM list doesn't tell it.
func originOf(t targets.Target) resumption.Origin {
	if t.Incarnation == 0 {
		return ""
	}
	return resumption.Origin(strconv.FormatInt(t.Incarnation, 10))
}

// origin returns the origin of the target that began the generation, empty if that isn't known: an earlier
// release began it.
func (gen generation) origin() resumption.Origin {
	_, o, _ := strings.Cut(gen.nonce, originSeparator)
	return resumption.Origin(o)
}

func generationOf(c *call, target, nonce string) generation {
	return generation{id: c.id + "~" + workspaceDigest(c.workspace, nonce), target: target, nonce: nonce}
}

func workspaceDigest(ws settings.WorkspaceRef, nonce string) string {
	const bytes = 16
	sum := sha256.Sum256([]byte(ws.Team + "\x00" + ws.Name + "\x00" + nonce))
	return hex.EncodeToString(sum[:bytes])
}

// eventPrefix returns the prefix of the event IDs sent to callers; the engine's own event ID
// follows it. It encodes the nonce and the target, from which any node can find the generation.
func (gen generation) eventPrefix() string {
	return base64.RawURLEncoding.EncodeToString([]byte(gen.nonce+"/"+gen.target)) + "."
}

// parseEventID splits an event ID into the generation and the engine's event ID. The generation
// only matches an engine's if c has the request ID and the workspace of the original request. It
// returns false if the ID is malformed.
func parseEventID(c *call, id string) (generation, int, bool) {
	prefix, last, ok := strings.Cut(id, ".")
	offset, err := strconv.Atoi(last)
	if !ok || err != nil || offset < 0 {
		return generation{}, 0, false
	}
	raw, err := base64.RawURLEncoding.DecodeString(prefix)
	if err != nil {
		return generation{}, 0, false
	}
	nonce, target, ok := strings.Cut(string(raw), "/")
	if !ok {
		return generation{}, 0, false
	}
	return generationOf(c, target, nonce), offset, true
}

// reconnect relays the rest of a stream, also if another node relayed its beginning. It starts
// no generation: if the engine no longer holds this one, the caller gets a refusal.
func (g *Gateway) reconnect(c *call, f forwardRequest) error {
	notResumable := problem.New(problem.StreamNotResumable, problem.MayHaveRun, "")
	gen, offset, ok := parseEventID(c, c.req.Header.Get(HeaderLastEventID))
	if !ok || !f.stream {
		return problem.New(problem.BadRequest, problem.NotRun, HeaderLastEventID+" is not an event ID of a stream")
	}
	t, ok := g.findTarget(f.admission.Pool.Pool, gen.target)
	if !ok {
		return notResumable
	}
	ctx, cancel := c.workContext(true)
	defer cancel()
	c.sent.Store(true)
	resp, err := g.resume(ctx, c, f, t, gen, offset)
	if err != nil {
		return g.refuse(ctx, c, notResumable)
	}
	g.metrics.resumes.WithLabelValues(resumedByCaller).Inc()
	s := g.newStream(c, f, t, gen)
	s.last = offset
	if fail := s.run(ctx, resp); fail != nil {
		return g.refuse(ctx, c, notResumable)
	}
	return nil
}

func (g *Gateway) findTarget(pool, id string) (targets.Target, bool) {
	if g.targets == nil {
		return targets.Target{}, false
	}
	for _, t := range g.targets.Snapshot().Pool(pool) {
		if t.ID == id {
			return t, true
		}
	}
	return targets.Target{}, false
}

// resume requests the events of a generation after the one with ID last. It returns errNotHeld
// if the engine no longer holds the stream, or a later run of it serves, which may have other software.
func (g *Gateway) resume(
	ctx context.Context, c *call, f forwardRequest, t targets.Target, gen generation, last int,
) (*http.Response, error) {
	if now, ok := g.findTarget(f.admission.Pool.Pool, t.ID); ok && !gen.origin().Allows(originOf(now)) {
		c.log().Info("stream not resumed: a later run of its target serves", "target", t.ID,
			"began_at", gen.origin(), "present", originOf(now))
		return nil, errors.Wrap(errNotHeld, "by the run that began the stream")
	}
	req, err := g.targetRequest(ctx, c, f, t, gen)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderLastEventID, strconv.Itoa(last))
	resp, _, err := g.clients.pooled.Do(req, nil)
	if err != nil {
		return nil, err
	}
	g.processNotices(c, t, resp)
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream) {
		return resp, nil
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	return nil, errors.Wrapf(errNotHeld, "status %d", resp.StatusCode)
}

// resumeHold returns how long an engine is asked to hold a stream after its reader disconnected:
// the caller's X-Resume-Hold, at most --resume-hold, or --resume-hold if the caller sent none.
func (g *Gateway) resumeHold(c *call) time.Duration {
	if requested, ok := callerHold(c); ok {
		return min(requested, g.cfg.ResumeHold)
	}
	return g.cfg.ResumeHold
}

func callerHold(c *call) (time.Duration, bool) {
	seconds, err := strconv.Atoi(c.req.Header.Get(HeaderResumeHold))
	if err != nil || seconds <= 0 {
		return 0, false
	}
	return time.Duration(min(seconds, int(maxRequestTimeout/time.Second))) * time.Second, true
}

// cancelIfGone cancels the generation of a stream whose caller disconnected or whose deadline
// passed, unless the caller asked for a hold. An explicit cancellation is needed because an
// engine that was asked to hold a stream doesn't treat a closed connection as one.
func (g *Gateway) cancelIfGone(
	ctx context.Context, c *call, f forwardRequest, t targets.Target, gen generation, p retry.Progress,
) {
	_, held := callerHold(c)
	if ctx.Err() == nil || p < retry.Sent || !f.stream || !f.repeatable || held {
		return
	}
	g.cancelGeneration(c, t, gen)
}

func (g *Gateway) cancelGeneration(c *call, t targets.Target, gen generation) {
	g.metrics.cancels.Inc()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.req.Context()), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.Addr+chatPath+"/"+url.PathEscape(gen.id), nil)
	if err != nil {
		return
	}
	resp, _, err := g.clients.pooled.Do(req, nil)
	if err != nil {
		c.log().Warn("generation cancellation failed", "target", t.ID, "err", err)
		return
	}
	_ = resp.Body.Close()
}
