package claims

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/peer"
)

// Peers makes and serves calls between nodes.
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

// claimParams is the request to an owner for a claim; the result is a core.Reply.
type claimParams struct {
	Ask core.ClaimRequest `json:"ask"`
	// WaitMillis is the time within which the owner has to reply, in milliseconds.
	WaitMillis int64 `json:"wait_ms"`
}

func (p claimParams) wait() time.Duration { return time.Duration(p.WaitMillis) * time.Millisecond }

// endParams is the request to an owner to record outcomes of attempts of one shard.
type endParams struct {
	Shard int                  `json:"shard"`
	Ends  []core.OutcomeRecord `json:"ends"`
}

// endResult is the result of an endParams request. Recorded is true if all outcomes are
// recorded.
type endResult struct {
	Recorded bool `json:"recorded"`
}

// answerParams is the request for a kept answer, sent to a node that ran the request or
// may have inherited the answer.
type answerParams struct {
	Key         core.KeyID  `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
}

// answerResult is the result of an answerParams request. Answer is nil if the node doesn't
// keep it.
type answerResult struct {
	Answer *Answer `json:"answer,omitempty"`
	// Incarnation is the incarnation of the replying node.
	Incarnation int64 `json:"incarnation"`
}

// handedOverAnswer is an answer that a node hands over to a successor when it stops.
type handedOverAnswer struct {
	Key         core.KeyID  `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Answer      *Answer     `json:"answer"`
	// KeepMillis is the time until the answer expires, in milliseconds.
	KeepMillis int64 `json:"keep_ms"`
}

func newHandedOverAnswer(now core.Instant, h heldAnswer) handedOverAnswer {
	return handedOverAnswer{h.key, h.fingerprint, h.answer, (h.expiresAt - now).Milliseconds()}
}

func (h handedOverAnswer) keep() time.Duration { return time.Duration(h.KeepMillis) * time.Millisecond }

// inheritParams is the request of a stopping node to a successor to keep its answers.
type inheritParams struct {
	Answers []handedOverAnswer `json:"answers"`
}

// inheritResult is the result of an inheritParams request. Kept is false if the successor
// is stopping, too, and keeps none of the answers.
type inheritResult struct {
	Kept bool `json:"kept"`
}
