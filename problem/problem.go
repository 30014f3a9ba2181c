// Package problem defines the refusals that a caller can receive. Each is an RFC 9457 problem
// document with extension members, among them "reason", a stable code, and "ran", which states
// whether a target ran the request.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem document (RFC 9457).
const ContentType = "application/problem+json"

// Execution states whether a target ran a refused request.
type Execution string

// The values of Execution. NotRun is a guarantee. MayHaveRun means that a target may have run
// the request.
const (
	NotRun     Execution = "no"
	MayHaveRun Execution = "unknown"
	WasRun     Execution = "yes"
)

// Reason is the stable code of a refusal. It is also the value of the metric label.
type Reason string

// The refusal reasons. The table below holds the status, title and remedy of each.
const (
	BadRequest           Reason = "bad_request"
	HeadersTooLarge      Reason = "headers_too_large"
	MethodNotAllowed     Reason = "method_not_allowed"
	CallerGone           Reason = "caller_gone"
	BodyTooLarge         Reason = "body_too_large"
	BodyTimeout          Reason = "body_timeout"
	Unauthenticated      Reason = "unauthenticated"
	UnknownModel         Reason = "unknown_model"
	UnknownService       Reason = "unknown_service"
	NotFound             Reason = "not_found"
	NoSettings           Reason = "no_settings"
	NoTarget             Reason = "no_target"
	NoPath               Reason = "no_path"
	Saturated            Reason = "saturated"
	WorkspaceLimit       Reason = "workspace_limit"
	DeadlineExceeded     Reason = "deadline_exceeded"
	TargetFailed         Reason = "target_failed"
	TargetRefused        Reason = "target_refused"
	RetryBudgetExhausted Reason = "retry_budget"
	ClaimConflict        Reason = "idempotency_conflict"
	ClaimInProgress      Reason = "idempotency_in_progress"
	ClaimUnknown         Reason = "idempotency_unknown"
	ClaimAnswerExpired   Reason = "idempotency_done"
	ClaimsUnavailable    Reason = "claims_unavailable"
	StreamNotResumable   Reason = "stream_not_resumable"
	StreamVersionGone    Reason = "stream_version_gone"
	StreamVersionUnknown Reason = "stream_version_unknown"
	Quarantined          Reason = "quarantined"
	SuspectInProgress    Reason = "suspect_busy"
	NodeFull             Reason = "node_full"
	NodeStopping         Reason = "stopping"
	Internal             Reason = "internal"
)

// statusCallerGone is the conventional, non-standard status for a caller that closed its
// connection. It appears only in logs.
const statusCallerGone = 499

// reasonInfo is the part of a problem document that depends on the reason alone.
type reasonInfo struct {
	status int
	title  string
	remedy string
}

var reasonInfos = map[Reason]reasonInfo{
	BadRequest:           {http.StatusBadRequest, "The request is malformed", "Mend the named part of the request and send it again."},
	HeadersTooLarge:      {http.StatusRequestHeaderFieldsTooLarge, "The header is over the limit", "Send fewer or shorter header fields."},
	MethodNotAllowed:     {http.StatusMethodNotAllowed, "The resource has no such method", "Use a method listed in Allow."},
	CallerGone:           {statusCallerGone, "The caller went away", "None: nobody is waiting for the answer."},
	BodyTooLarge:         {http.StatusRequestEntityTooLarge, "The body is over the limit", "Send a smaller body, or ask the operator to raise --max-body-bytes."},
	BodyTimeout:          {http.StatusRequestTimeout, "The body arrived too slowly", "Send the whole body within the node's read timeout."},
	Unauthenticated:      {http.StatusUnauthorized, "The API key belongs to no workspace", "Send an API key listed in your workspace's settings as a bearer token."},
	UnknownModel:         {http.StatusNotFound, "Your workspace has no such model", "Use a model listed by GET /v1/models."},
	UnknownService:       {http.StatusNotFound, "Your workspace has no such service", "Use a service named in your team's settings."},
	NotFound:             {http.StatusNotFound, "There is no such resource", "See the README for the paths served."},
	NoSettings:           {http.StatusServiceUnavailable, "This node has no settings yet", "Send the request again after Retry-After."},
	NoTarget:             {http.StatusServiceUnavailable, "No live target serves this pool", "Send the request again after Retry-After; operators: check the VM list."},
	NoPath:               {http.StatusServiceUnavailable, "This node has lost its network path to the targets", "Send the request again on a new connection; operators: check the node's network."},
	Saturated:            {http.StatusServiceUnavailable, "Every target of this pool is full", "Send the request again after Retry-After."},
	WorkspaceLimit:       {http.StatusTooManyRequests, "Your workspace uses its whole share", "Send the request again after Retry-After, or ask for a larger weight."},
	DeadlineExceeded:     {http.StatusGatewayTimeout, "The deadline passed", "Send the request again with a later deadline."},
	TargetFailed:         {http.StatusBadGateway, "The target failed", "Check what the target did before sending the request again unless ran is \"no\"."},
	TargetRefused:        {http.StatusServiceUnavailable, "The targets refused the request", "Send the request again after Retry-After."},
	RetryBudgetExhausted: {http.StatusServiceUnavailable, "Too many requests are being retried", "Send the request again after Retry-After."},
	ClaimConflict:        {http.StatusUnprocessableEntity, "The Idempotency-Key was used for another request", "Use a new key for a new request."},
	ClaimInProgress:      {http.StatusConflict, "A request with this Idempotency-Key is in progress", "Ask again with the same key after Retry-After."},
	ClaimUnknown:         {http.StatusConflict, "The outcome of an earlier attempt is unknown", "Ask the service what it ran; use a new key only if it ran nothing."},
	ClaimAnswerExpired:   {http.StatusConflict, "The request was run and its answer is no longer held", "Ask the service for the result; use a new key only for a new request."},
	ClaimsUnavailable:    {http.StatusServiceUnavailable, "Idempotency keys can't be recorded now", "Send the request again with the same key after Retry-After."},
	StreamNotResumable:   {http.StatusGone, "The stream is no longer held", "Send the whole request again without Last-Event-ID."},
	StreamVersionGone:    {http.StatusServiceUnavailable, "No target of the version that began the stream is left", "Send the whole request again without Last-Event-Id."},
	StreamVersionUnknown: {http.StatusServiceUnavailable, "It isn't known which version began the stream", "Send the request again after Retry-After, or the whole request without Last-Event-Id."},
	Quarantined:          {http.StatusServiceUnavailable, "Targets end when they run this request", "Don't send this request again as it is: change it, or ask the operator why targets end under its fingerprint."},
	SuspectInProgress:    {http.StatusServiceUnavailable, "A copy of this request is being run with care", "Send the request again after Retry-After."},
	NodeFull:             {http.StatusServiceUnavailable, "This node holds as many bytes for its callers as it may", "Send the request again after Retry-After."},
	NodeStopping:         {http.StatusServiceUnavailable, "This node is stopping", "Send the request again on a new connection."},
	Internal:             {http.StatusInternalServerError, "The node failed", "Report the request ID to the operator."},
}

// Reasons returns every refusal reason, in no particular order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(reasonInfos))
	for r := range reasonInfos {
		all = append(all, r)
	}
	return all
}

// Problem is a refusal, encoded as an RFC 9457 problem document. It implements error.
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Reason     Reason        `json:"reason"`
	Execution  Execution     `json:"ran"`
	Remedy     string        `json:"remedy"`
	RequestID  string        `json:"request_id,omitempty"`
	RetryAfter time.Duration `json:"-"`
}

// apiError is the "error" member, which clients of the OpenAI interface read.
type apiError struct {
	Type      Reason    `json:"type"`
	Code      Reason    `json:"code"`
	Message   string    `json:"message"`
	Ran       Execution `json:"ran"`
	RequestID string    `json:"request_id,omitempty"`
}

// document is the JSON form of a refusal that is the complete response.
type document struct {
	*Problem
	Error apiError `json:"error"`
}

// eventData is the data of the "error" event of a stream.
type eventData struct {
	Error apiError `json:"error"`
}

// New returns the refusal for a reason. The detail states what is wrong with this particular
// request. An unlisted reason gets the status, title and remedy of Internal.
func New(r Reason, ran Execution, detail string) *Problem {
	info, ok := reasonInfos[r]
	if !ok {
		info = reasonInfos[Internal]
	}
	return &Problem{
		Type:      "urn:knapweedgw:problem:" + string(r),
		Title:     info.title,
		Status:    info.status,
		Detail:    detail,
		Reason:    r,
		Execution: ran,
		Remedy:    info.remedy,
	}
}

// WithRetryAfter sets the delay before the caller may repeat the request, sent as Retry-After, and
// returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error implements error.
func (p *Problem) Error() string {
	msg := string(p.Reason) + ": " + p.Title
	if p.Detail != "" {
		msg += ": " + p.Detail
	}
	return msg + " (remedy: " + p.Remedy + ")"
}

// Write sends the problem as the complete response. Retry-After is rounded up to whole seconds.
// X-Should-Retry: false keeps clients of the OpenAI interface from automatically repeating a
// request that a target may have run, unless the problem has a Retry-After.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("X-Content-Type-Options", "nosniff")
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if p.Execution != NotRun && p.RetryAfter == 0 {
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(document{p, p.apiError()})
}

// SSEEvent returns the problem as a server-sent event named "error". It terminates a stream whose
// response has already begun.
func (p *Problem) SSEEvent() []byte {
	raw, _ := json.Marshal(eventData{p.apiError()})
	return append(append([]byte("event: error\ndata: "), raw...), "\n\n"...)
}

func (p *Problem) apiError() apiError {
	return apiError{Type: p.Reason, Code: p.Reason, Message: p.Error(), Ran: p.Execution, RequestID: p.RequestID}
}
