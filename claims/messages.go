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
	methodClaim  = "claims.claim"
	methodEnd    = "claims.end"
	methodAnswer = "claims.answer"
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

// answerParams asks the node that ran a request for its answer.
type answerParams struct {
	Key         core.KeyID  `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
}

// answerResult carries the answer, nil if it is no longer held.
type answerResult struct {
	Answer *Answer `json:"answer,omitempty"`
}
