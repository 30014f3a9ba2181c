package overload

import (
	"math"
	"time"

	"github.com/knapweedgw/knapweedgw/worktime"
)

const (
	// window is the time over which requests are counted: some hundred requests of a surge at a
	// node, and short compared with surges of seconds.
	window = 2 * time.Second
	// buckets is the number of buckets of a window.
	buckets = 4
	// usualShareWeight is the weight of a bucket in a workspace's usual share, which adapts in
	// about 20 s.
	usualShareWeight = 1.0 / 40
	// occupancyWeight is the weight of the newest value in a mean duration.
	occupancyWeight = 1.0 / 32
	// serviceTimeWindow is the number of requests over which the time of a service's requests, and that
	// which callers have, are learnt.
	serviceTimeWindow = 32
	// holdWeight is that of the mean duration of a class. It is larger, since in a shortage requests
	// take longer within seconds and a node has a few of a class a second.
	holdWeight = 1.0 / 8
)

// tally counts the requests of the last window.
type tally struct {
	bucket         int64 // number of the newest bucket
	admittedCounts [buckets]int
	rejectedCounts [buckets]int
}

// roll drops the buckets that are older than the window.
func (t *tally) roll(now time.Time) {
	slot := now.UnixNano() / int64(window/buckets)
	if slot-t.bucket >= buckets {
		*t = tally{bucket: slot}
		return
	}
	for t.bucket < slot {
		t.bucket++
		at := t.bucket % buckets
		t.admittedCounts[at], t.rejectedCounts[at] = 0, 0
	}
}

// count adds a request that was admitted or rejected.
func (t *tally) count(admitted bool) {
	at := t.bucket % buckets
	if admitted {
		t.admittedCounts[at]++
		return
	}
	t.rejectedCounts[at]++
}

func (t *tally) admitted() int { return sum(t.admittedCounts) }

func (t *tally) offered() int { return sum(t.admittedCounts) + sum(t.rejectedCounts) }

// admittedFraction returns the fraction of the requests that were admitted, 1 if there were
// none.
func (t *tally) admittedFraction() float64 {
	offered := t.offered()
	if offered == 0 {
		return 1
	}
	return float64(t.admitted()) / float64(offered)
}

func sum(b [buckets]int) int {
	n := 0
	for _, v := range b {
		n += v
	}
	return n
}

// class is the tally of a class of requests.
type class struct {
	tally
	priority int
	// remaining is the time that callers have, work that of a request which found a free slot.
	remaining, work worktime.Estimate
	// hold is the mean time that a request of the class is in progress.
	hold average
}

func newClass() *class {
	return &class{remaining: worktime.NewEstimate(serviceTimeWindow), work: worktime.NewEstimate(worktime.RFC6298)}
}

// usage is the tally of a workspace, with its usual share of the requests.
type usage struct {
	tally
	usualShare float64
	samples    int
	// work is the decaying sum of the slot seconds demanded by rank, as of workAt, for admission by
	// shares.
	work   [ranks]float64
	workAt time.Time
}

// roll updates the tally; all must be up to date already. Each new bucket moves the usual share
// towards the current one, unless the service is short of capacity: a surge must not become
// usual while it affects others.
func (u *usage) roll(now time.Time, all *tally, inShortage bool) {
	before := u.bucket
	u.tally.roll(now)
	offered := all.offered()
	if u.bucket == before || offered == 0 || inShortage {
		return
	}
	u.samples++
	u.usualShare += max(usualShareWeight, 1/float64(u.samples)) * (float64(u.offered())/float64(offered) - u.usualShare)
}

// average is an exponentially weighted mean.
type average struct {
	mean    float64
	samples int
}

func (a *average) observe(v float64) { a.observeWith(v, occupancyWeight) }

// observeWith is observe with the given weight of the newest value.
func (a *average) observeWith(v, weight float64) {
	a.samples++
	if a.samples == 1 {
		a.mean = v
		return
	}
	a.mean += max(weight, 1/float64(a.samples)) * (v - a.mean)
}

// rateDecay is the time constant of a rate: a node of a small service sees a few requests in
// that time, and it is short compared with the start of a surge.
const rateDecay = 500 * time.Millisecond

// rate is an exponentially decaying number of events per second.
type rate struct {
	sum  float64
	last time.Time
}

func (r *rate) add(now time.Time) {
	r.sum = r.decayed(now) + 1
	r.last = now
}

func (r *rate) decayed(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.last).Seconds()/rateDecay.Seconds())
}

func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateDecay.Seconds() }
