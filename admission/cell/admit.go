package cell

import (
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// maxUrgency is the numeric value of the lowest urgency (RFC 9218).
const maxUrgency = 7

// The Retry-After of a refusal lies in [retryMin, retryMin+retrySpread), twice that for the
// lowest urgency.
const (
	retryMin    = time.Second
	retrySpread = 4 * time.Second
)

// admit refuses a request for which the whole pool has no capacity. It returns Granted if the
// request may be placed.
func (c *Cell) admit(now time.Time, a AcquireRequest) Decision {
	c.checkPause(now)
	if c.recovery.recovering() {
		return Decision{Outcome: Full, Reason: ReasonRecovering, RetryAfter: retryAfter(now, a)}
	}
	hard := c.own.Capacity * c.cfg.MaxInFlight
	over := c.shares.exceedsShare(a.Workspace, a.Weight, hard)
	fill := c.utilization()
	if over && fill > utilizationLimit(c.cfg.Reserve, a.Urgency, true) {
		return Decision{Outcome: Refused, Reason: ReasonWorkspaceLimit, RetryAfter: retryAfter(now, a)}
	}
	if fill > utilizationLimit(c.cfg.Reserve, a.Urgency, false) {
		return Decision{Outcome: Refused, Reason: ReasonSaturated, RetryAfter: retryAfter(now, a)}
	}
	return Decision{Outcome: Granted}
}

// utilization is the used share of the pool's hard capacity, counting one more request.
func (c *Cell) utilization() float64 {
	own := c.Totals()
	hard := (own.Capacity + c.others.Capacity) * c.cfg.MaxInFlight
	if hard == 0 {
		return 0
	}
	return float64(own.InFlight+c.others.InFlight+1) / float64(hard)
}

// utilizationLimit is the share of the pool's hard capacity that a request may use: all of
// it at urgency 0, less in proportion to the urgency's numeric value, and less by another
// reserve for a workspace over its fair share.
func utilizationLimit(reserve float64, urgency int, over bool) float64 {
	c := 1 - reserve*float64(min(max(urgency, 0), maxUrgency))/maxUrgency
	if over {
		c -= reserve
	}
	return c
}

// retryAfter returns the Retry-After of a refusal. It is spread by a hash of the request, so
// that refused callers don't return at the same time.
func retryAfter(now time.Time, a AcquireRequest) time.Duration {
	h := routing.Rank(routing.Hash(a.Request), uint64(now.UnixNano()))
	d := retryMin + time.Duration(h%uint64(retrySpread))
	return d + d*time.Duration(min(max(a.Urgency, 0), maxUrgency))/maxUrgency
}
