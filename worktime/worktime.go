// Package worktime measures how long work takes, and decides from that how long a request may wait for its turn. It
// is pure: durations and the time that callers have are passed in.
package worktime

import (
	"math"
	"time"
)

// boundDeviations is the number of mean deviations above the mean that make the Bound (RFC 6298).
const boundDeviations = 4

// Estimate is the mean and the mean deviation of a duration, as of RFC 6298: newer values weigh more. It isn't safe
// for concurrent use.
type Estimate struct {
	window          int
	mean, deviation float64 // in seconds
	samples         int
}

// RFC6298 is the window with the weights of RFC 6298, 1/8 and 1/4.
const RFC6298 = 8

// NewEstimate returns an estimate in which the newest value has the weight 1/window, and more while there are fewer
// values than that.
func NewEstimate(window int) Estimate { return Estimate{window: window} }

// Observe adds a value.
func (e *Estimate) Observe(d time.Duration) {
	s := d.Seconds()
	e.samples = min(e.samples+1, e.window)
	if e.samples <= 1 {
		e.samples, e.mean, e.deviation = 1, s, s/2
		return
	}
	weight := 1 / float64(e.samples)
	e.deviation += max(weight, min(2/float64(e.window), 1)) * (math.Abs(s-e.mean) - e.deviation)
	e.mean += weight * (s - e.mean)
}

// Known reports whether any value was observed.
func (e *Estimate) Known() bool { return e.samples > 0 }

// Samples returns the number of values observed, at most the window.
func (e *Estimate) Samples() int { return e.samples }

// Mean returns the mean, 0 if unknown.
func (e *Estimate) Mean() time.Duration { return seconds(e.mean) }

// Bound returns a duration that few values exceed: the mean and four mean deviations, as the retransmission timeout
// of RFC 6298. It is 0 if unknown.
func (e *Estimate) Bound() time.Duration { return seconds(e.mean + boundDeviations*e.deviation) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// NoLimit is the longest wait of a caller that sets no limit. It only has to be longer than any caller waits.
const NoLimit = time.Hour

// Queue is what is known of the places for which requests wait.
type Queue struct {
	// Places is the number of requests worked on at a time, and Work the time that few of them exceed
	// (Estimate.Bound).
	Places int
	Work   time.Duration
	// Deviations is the number of standard deviations of a Poisson number by which the requests that arrive or end
	// while one is worked on may differ without a place that stays empty.
	Deviations float64
	// Lag is the age of what is known: others may have come, and places may have become free, in it.
	Lag time.Duration
	// Busy is the time for which requests have waited without a break; NoLimit where no burst is to be waited out.
	Busy time.Duration
}

// MaxWait returns how long a request may wait whose caller has the given time left, 0 for no limit, and whose work
// takes the given time. Its answer must be ready before the caller gives up.
//
// If requests have waited for as long as the caller has, this is no burst that the queue lets pass, but a lasting
// shortage: however long the queue is, as many requests are served, and each waits for longer. Then the wait is only
// as long as needed to keep the places busy. (Maurer, "Fail at Scale", ACM Queue 2015, bounds waits likewise once a
// queue hasn't been empty for some time.)
func (q Queue) MaxWait(remaining, work time.Duration) time.Duration {
	wait := NoLimit
	if remaining == 0 {
		remaining = NoLimit
	} else {
		wait = min(wait, remaining-work)
	}
	if q.Busy >= remaining {
		wait = min(wait, q.ToKeepBusy())
	}
	return wait
}

// ToKeepBusy returns the wait in a queue that is just long enough to leave no place without a request by chance, or
// since it isn't known yet to be free.
func (q Queue) ToKeepBusy() time.Duration {
	if q.Places <= 0 || q.Work <= 0 {
		return NoLimit // nothing is known yet
	}
	return q.Lag + seconds(q.Deviations*q.Work.Seconds()/math.Sqrt(float64(q.Places)))
}
