package orders

import (
	"slices"
	"time"
)

// class is where an engine stands towards the desired state.
type class int

const (
	classUnknown class = iota // not read, or not reachable
	classWrong                // another state than the desired one
	classLoading              // ordered, not there yet
	classFailed               // tried and failed
	classDone                 // there
)

// view is what the plan knows of one engine.
type view struct {
	class   class
	serving bool // ready with some state, and no order outstanding
	busy    bool // loads something, or was ordered to
	weights bool // an order would load from the weight store
	unread  bool // not read in this term, nor found unreachable
	tried   bool // ordered and not there yet, whether loading or waiting to retry
	gaveUp  bool
	nextTry time.Time
	fence   int64 // the greatest that the engine has accepted
}

// Reason says why no order was issued.
type Reason string

// The reasons for which an issuer issues no order.
const (
	ReasonNone       Reason = ""
	ReasonNotIssuer  Reason = "not_issuer"      // the lease isn't held
	ReasonWaitingOut Reason = "waiting_out"     // an old issuer's orders may still arrive
	ReasonUnrecorded Reason = "unrecorded"      // the desired state isn't on record yet
	ReasonBehind     Reason = "settings_behind" // the record has newer settings than this node
	ReasonUnread     Reason = "unread"          // some engines haven't been read in this term
	ReasonHalted     Reason = "halted"          // the roll-out stopped after failures
	ReasonCanary     Reason = "canary"          // waiting for the first engines
	ReasonLoading    Reason = "max_loading"     // enough engines load
	ReasonOut        Reason = "max_out"         // enough engines are out of service
	ReasonRate       Reason = "load_rate"       // the weight store's share is used up
	ReasonBackoff    Reason = "backoff"         // failed engines wait for their next try
	ReasonDone       Reason = "converged"       // nothing to order
)

// counts are the engines of a pool by class.
type counts struct {
	total, unknown, wrong, loading, failed, done int
	gaveUp, out, busy, tried                     int
}

func count(views []view) counts {
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
		if v.tried {
			c.tried++
		}
		if !v.serving {
			c.out++
		}
	}
	return c
}

// plan returns the index of the engine to order next, or -1 and why there is
// none. Engines that serve nothing come first: ordering them costs nothing.
func plan(views []view, l Limits, hasToken bool, now time.Time) (int, Reason) {
	if slices.ContainsFunc(views, func(v view) bool { return v.unread }) {
		return -1, ReasonUnread
	}
	c := count(views)
	canaries := min(l.Canaries, c.total)
	best, why := -1, ReasonDone
	for i, v := range views {
		r := admit(v, c, canaries, l, hasToken, now)
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

// admit says whether one engine may be ordered now.
func admit(v view, c counts, canaries int, l Limits, hasToken bool, now time.Time) Reason {
	switch {
	case v.class != classWrong && v.class != classFailed, v.gaveUp:
		return ReasonDone
	case c.done < canaries && c.tried >= canaries-c.done && !v.tried:
		return ReasonCanary
	case c.busy >= l.MaxLoading && !v.busy:
		return ReasonLoading
	case v.serving && c.out >= maxOut(c.total, l.MaxOutShare):
		return ReasonOut
	case now.Before(v.nextTry):
		return ReasonBackoff
	case v.weights && !hasToken:
		return ReasonRate
	}
	return ReasonNone
}

func maxOut(total int, share float64) int {
	return max(1, int(float64(total)*share))
}

// halts says whether a roll-out must stop: its canaries were given up, or too
// many engines after them.
func halts(c counts, l Limits) bool {
	canaries := min(l.Canaries, c.total)
	if c.gaveUp == 0 {
		return false
	}
	if c.done < canaries {
		return c.gaveUp >= canaries
	}
	return c.gaveUp >= max(canaries, maxOut(c.total, l.MaxFailedShare)+1)
}
