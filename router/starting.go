package router

import "time"

// A node without its first configuration refuses requests with no_settings after a wait. A caller
// retries once, so it is lost if the retry is refused too, and it doesn't wait for a Retry-After
// of more than a third of its remaining time. So a request waits longer while no other node is known
// to have a configuration: a retry elsewhere would meet the same refusal.
const (
	// configWait is how long a request waits at least: a few round trips to the store.
	configWait = 150 * time.Millisecond
	// Callers abandon an attempt that isn't read within readTime, or within readShare of their time. The
	// limits of a body are part of the configuration, so a node without one can't read it.
	// readMargin is for the refusal's way to the caller.
	readTime   = time.Second
	readShare  = 1.0 / 3
	readMargin = 50 * time.Millisecond
	// startRetryShare is the part of the remaining time within which callers retry.
	startRetryShare = 1.0 / 3
	// startRetrySpread is the range of the Retry-After, as a part of its upper end, so that the
	// callers refused in a burst don't return in one.
	startRetrySpread = 0.25
	// minStartRetry is the upper end of the Retry-After of a node that has just started, which
	// the store normally answers within milliseconds. The Retry-After reaches its maximum at
	// longStart: a store that hasn't answered for that long often stays silent for seconds.
	minStartRetry = 100 * time.Millisecond
	longStart     = 500 * time.Millisecond
	// unknownRemaining stands for the remaining time of a caller that didn't state it: the time within
	// which callers expect any request to be read.
	unknownRemaining = readTime
)

// startWait returns how long a request of a caller that waits for the remaining time, 0 if
// unknown, waits for this node's first configuration. others means that another node is known to
// have one.
func startWait(remaining time.Duration, others bool) time.Duration {
	if others {
		return configWait
	}
	return max(configWait, min(readTime, time.Duration(float64(remaining)*readShare))-readMargin)
}

// startRetryAfter returns the Retry-After of a node that has been without a configuration for
// the given time, for a caller that waits for the remaining time from now on, 0 if unknown.
// random is uniform in [0, 1).
func startRetryAfter(without, remaining time.Duration, random float64) time.Duration {
	if remaining <= 0 {
		remaining = unknownRemaining
	}
	limit := float64(remaining) * startRetryShare
	growth := min(1, float64(without)/float64(longStart))
	upper := min(limit, max(float64(minStartRetry), limit*growth))
	return time.Duration(upper * (1 - startRetrySpread*random))
}
