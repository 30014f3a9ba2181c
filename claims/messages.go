package claims

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/peer"
)

// Peers carries calls between nodes.
type Peers interface {
	Handle(method string, f peer.Handler)
	Call(ctx context.Context, addr, method string, params, result any) error
}

// The methods served to other nodes.
const (
	methodClaim   = "claims.claim"
	methodEnd     = "claims.end"
	methodAnswer  = "claims.answer"
	methodInherit = "claims.inherit"
)

// claimParams asks an owner for a claim; the result is a core.Reply.
type claimParams struct {
	Ask core.Ask `json:"ask"`
	// WaitMillis is how long the reply is waited for.
	WaitMillis int64 `json:"wait_ms"`
}

func (p claimParams) wait() time.Duration { return time.Duration(p.WaitMillis) * time.Millisecond }

// endParams tells an owner the outcomes of attempts of one shard.
type endParams struct {
	Shard int        `json:"shard"`
	Ends  []core.End `json:"ends"`
}

// endResult says whether all outcomes are recorded.
type endResult struct {
	Recorded bool `json:"recorded"`
}

// answerParams asks a node that ran a request, or may have inherited its
// answer, for it.
type answerParams struct {
	Key         core.KeyID  `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
}

// answerResult carries the answer, nil if it is no longer held.
type answerResult struct {
	Answer *Answer `json:"answer,omitempty"`
	// Incarnation is that of the node asked.
	Incarnation int64 `json:"incarnation"`
}

// handedAnswer is an answer that a node hands over when it stops.
type handedAnswer struct {
	Key         core.KeyID  `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Answer      *Answer     `json:"answer"`
	// KeepMillis is for how long it is still to be kept.
	KeepMillis int64 `json:"keep_ms"`
}

func newHandedAnswer(now core.Instant, h heldAnswer) handedAnswer {
	return handedAnswer{h.key, h.fingerprint, h.answer, (h.until - now).Milliseconds()}
}

func (h handedAnswer) keep() time.Duration { return time.Duration(h.KeepMillis) * time.Millisecond }

// inheritParams asks a node to keep answers of one that stops.
type inheritParams struct {
	Answers []handedAnswer `json:"answers"`
}

// inheritResult says whether the node took them; false means that it stops too.
type inheritResult struct {
	Kept bool `json:"kept"`
}
