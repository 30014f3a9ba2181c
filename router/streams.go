package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/replica"
	"github.com/knapweedgw/knapweedgw/resumption"
	"github.com/knapweedgw/knapweedgw/roster"
)

// Streams keeps which version of the targets' software began each stream. Versions are the origins of
// package resumption: a stream goes on only at a target of the version that began it.
type Streams interface {
	PutTarget(id, service string, o resumption.Origin)
	RemoveTarget(id string)
	Begin(k resumption.Key, o resumption.Origin)
	Resolve(ctx context.Context, k resumption.Key, service string) resumption.Decision
	Report() (packed []byte, sharing bool)
	Receive(node string, packed []byte)
	StoredNote(raw []byte, complete bool)
	ForgetStoredNote()
	Settling(service string) []resumption.Origin
}

// originOf returns the origin of what a target writes.
func originOf(t *roster.Target) resumption.Origin { return resumption.Origin(t.Version) }

// recordVersions records the versions of changed targets.
func (r *Router) recordVersions(changed []roster.TargetChange) {
	for _, d := range changed {
		if d.Change == roster.Gone {
			r.streams.RemoveTarget(d.Target.ID)
		} else {
			r.streams.PutTarget(d.Target.ID, d.Target.Service, originOf(d.Target))
		}
	}
}

func (r *Router) readVersions(raw []byte, s replica.NoteState) {
	if s == replica.Restored {
		r.streams.ForgetStoredNote()
		return
	}
	r.streams.StoredNote(raw, s == replica.AtStart)
}

// Errors of a stream that its caller takes up and that goes on nowhere.
var (
	errVersionGone    = errors.New("no target of the version that began the stream is left")
	errVersionUnknown = errors.New("it isn't known which version began the stream, and its service has had several")
)

// unknownVersionRetryAfter is the Retry-After of a stream of which this node found no record: a node that
// didn't answer may have one.
const unknownVersionRetryAfter = 200 * time.Millisecond

// isResumption reports whether the caller takes up a stream of which it holds some events.
func (x *exchange) isResumption() bool {
	return x.route.Kind == catalog.Streaming && x.call.LastEventID != ""
}

// streamKey returns the key of the stream whose first event the request with the given ID got.
func (x *exchange) streamKey(id string) resumption.Key {
	return resumption.KeyOf(x.workspace, x.route.Name, id)
}

// resolveOrigin decides at which version a stream that the caller takes up may go on.
func (x *exchange) resolveOrigin(ctx context.Context) *failure {
	if !x.isResumption() {
		return nil
	}
	d := x.router.streams.Resolve(ctx, x.streamKey(x.call.Resumes), x.service)
	x.summary.resolved = d
	x.began = d.Origin
	if d.Origin == "" {
		return &failure{reason: problem.StreamVersionUnknown, cause: errVersionUnknown, retryAfter: unknownVersionRetryAfter}
	}
	return nil
}

// avoidedOrigins returns the versions that have just appeared, if the request begins a stream that may be
// taken up later.
func (x *exchange) avoidedOrigins() []resumption.Origin {
	if x.began != "" || x.route.Kind != catalog.Streaming || !x.route.Resumable {
		return nil
	}
	return x.router.streams.Settling(x.service)
}

// recordOrigin records, with the first events of a stream and regularly while it is in progress, the version
// that began it: under the ID of this request and under that of the one which got the first event.
func (x *exchange) recordOrigin(a assignment) {
	now := x.router.now()
	if !x.route.Resumable || !x.recordedAt.IsZero() && now.Sub(x.recordedAt) < resumption.RefreshInterval {
		return
	}
	x.recordedAt = now
	if x.began == "" {
		x.beganMu.Lock()
		x.began = originOf(a.target)
		x.beganMu.Unlock()
	}
	x.router.streams.Begin(x.streamKey(x.call.ID), x.began)
	if x.isResumption() && x.call.Resumes != "" {
		x.router.streams.Begin(x.streamKey(x.call.Resumes), x.began)
	}
}

// resumptionFields returns the log fields of a request that takes up a stream.
func (x *exchange) resumptionFields() []any {
	if x.call.LastEventID == "" {
		return nil
	}
	fields := []any{"resumes", x.call.Resumes, "after", x.call.LastEventID}
	if d := x.summary.resolved; d.Source != "" {
		fields = append(fields, "began_at", d.Origin, "learnt_from", d.Source, "learnt_ms_ago", d.Age.Milliseconds())
	}
	return fields
}
