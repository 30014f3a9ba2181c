package orders

import (
	"slices"
	"time"
)

// class compares the state of an engine with the desired state.
type class int

const (
	classUnknown class = iota // state not read, or engine not reachable
	classWrong                // in another state than the desired one
	classLoading              // ordered, desired state not reached yet
	classFailed               // tried to load the desired state and failed
	classDone                 // in the desired state
)

// engineView is the input of plan about one engine.
type engineView struct {
	class      class
	serving    bool // ready with some state, and no order outstanding
	busy       bool // loads some state, or has an order outstanding
	needsLoad  bool // an order would load from the weight store
	unread     bool // neither read in this term nor found unreachable
	inProgress bool // ordered and not done yet, whether loading or waiting for a retry
	gaveUp     bool // MaxAttempts orders have failed
	nextTry    time.Time
	fence      int64 // of the order last accepted by the engine
}

// Reason is the reason why no order was issued.
type Reason string

// The reasons for which an issuer issues no order.
const (
	ReasonNone           Reason = ""
	ReasonNotIssuer      Reason = "not_issuer"      // the lease isn't held
	ReasonWaitingOut     Reason = "waiting_out"     // orders of an earlier issuer may still arrive
	ReasonUnrecorded     Reason = "unrecorded"      // the record doesn't hold the desired state yet
	ReasonSettingsBehind Reason = "settings_behind" // the record is from newer settings than this node has
	ReasonUnread         Reason = "unread"          // some engines' states haven't been read in this term
	ReasonHalted         Reason = "halted"          // the roll-out was halted after failures
	ReasonCanary         Reason = "canary"          // waiting for the canaries to reach the state
	ReasonMaxLoading     Reason = "max_loading"     // as many engines load as Limits.MaxLoading allows
	ReasonMaxOut         Reason = "max_out"         // as many are out of service as Limits.MaxOutShare allows
	ReasonRate           Reason = "load_rate"       // Limits.LoadsPerMinute is used up
	ReasonBackoff        Reason = "backoff"         // failed engines wait for their retry
	ReasonDone           Reason = "converged"       // no engine needs an order
)

// counts holds the number of engines of a pool by class and by flag.
type counts struct {
	total, unknown, wrong, loading, failed, done int
	gaveUp, out, busy, inProgress                int
}

func count(views []engineView) counts {
	c := counts{total: len(views)}
	for _, v := range views {
		switch v.class {
		case classUnknown:
			c.unknown++
		case classWrong:
			c.wrong++
		case classLoading:
			c.loading++
		case classFailed:
			c.failed++
		case classDone:
			c.done++
		}
		if v.gaveUp {
			c.gaveUp++
		}
		if v.busy {
			c.busy++
		}
		if v.inProgress {
			c.inProgress++
		}
		if !v.serving {
			c.out++
		}
	}
	return c
}

// plan returns the index of the engine to order next, or -1 and the reason why
// there is none. Engines that aren't serving come first, since ordering them takes
// no capacity out of service.
func plan(views []engineView, l Limits, hasToken bool, now time.Time) (int, Reason) {
	if slices.ContainsFunc(views, func(v engineView) bool { return v.unread }) {
		return -1, ReasonUnread
	}
	c := count(views)
	canaries := min(l.Canaries, c.total)
	best, why := -1, ReasonDone
	for i, v := range views {
		r := blockReason(v, c, canaries, l, hasToken, now)
		switch {
		case r == ReasonNone && (best < 0 || !v.serving && views[best].serving):
			best = i
		case r != ReasonNone && r != ReasonDone:
			why = r
		}
	}
	if best >= 0 {
		return best, ReasonNone
	}
	return -1, why
}

// blockReason returns why an engine may not be ordered now, ReasonNone if it may.
// ReasonDone means that it needs no order or was given up.
func blockReason(v engineView, c counts, canaries int, l Limits, hasToken bool, now time.Time) Reason {
	switch {
	case v.class != classWrong && v.class != classFailed, v.gaveUp:
		return ReasonDone
	case c.done < canaries && c.inProgress >= canaries-c.done && !v.inProgress:
		return ReasonCanary
	case c.busy >= l.MaxLoading && !v.busy:
		return ReasonMaxLoading
	case v.serving && c.out >= maxOut(c.total, l.MaxOutShare):
		return ReasonMaxOut
	case now.Before(v.nextTry):
		return ReasonBackoff
	case v.needsLoad && !hasToken:
		return ReasonRate
	}
	return ReasonNone
}

func maxOut(total int, share float64) int {
	return max(1, int(float64(total)*share))
}

// shouldHalt reports whether a roll-out must stop: all its canaries were given up,
// or too many engines after the canaries had succeeded.
func shouldHalt(c counts, l Limits) bool {
	canaries := min(l.Canaries, c.total)
	if c.gaveUp == 0 {
		return false
	}
	if c.done < canaries {
		return c.gaveUp >= canaries
	}
	return c.gaveUp >= max(canaries, maxOut(c.total, l.MaxFailedShare)+1)
}
