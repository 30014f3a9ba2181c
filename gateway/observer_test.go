package gateway

import (
	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/targets"
)

// The gateway looks up these optional interfaces at run time and treats a service that doesn't
// implement one as missing. These assertions make a changed signature a compile error.
var (
	_ LoadObserver    = (*admission.Service)(nil)
	_ LeavingObserver = (*targets.Registry)(nil)
	_ TargetSource    = (*targets.Registry)(nil)
	_ claims.Claimer  = (*claims.Service)(nil)
)
