package gateway

import (
	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/targets"
)

// The gateway looks these up by name and does without what it can't use: a
// changed signature would go unnoticed.
var (
	_ LoadObserver    = (*admission.Service)(nil)
	_ LeavingObserver = (*targets.Registry)(nil)
	_ TargetSource    = (*targets.Registry)(nil)
	_ claims.Claimer  = (*claims.Service)(nil)
)
