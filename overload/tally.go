package overload

import (
	"math"
	"time"
)

const (
	// window is the time over which requests are counted: some hundred
	// requests of a surge at a node, and short beside surges of seconds.
	window = 2 * time.Second
	// buckets is the number of parts of a window.
	buckets = 4
	// usualWeight is the weight of a bucket in a workspace's usual share: the
	// share follows in about 20 s.
	usualWeight = 1.0 / 40
	// heldWeight is the weight of the newest time in the mean time that a
	// request takes its place.
	heldWeight = 1.0 / 32
)

// tally counts the requests of the last window.
type tally struct {
	slot int64 // number of the newest bucket
	in   [buckets]int
	out  [buckets]int
}

// roll forgets what is older than the window.
func (t *tally) roll(now time.Time) {
	slot := now.UnixNano() / int64(window/buckets)
	if slot-t.slot >= buckets {
		*t = tally{slot: slot}
		return
	}
	for t.slot < slot {
		t.slot++
		at := t.slot % buckets
		t.in[at], t.out[at] = 0, 0
	}
}

// count adds a request that was admitted or turned away.
func (t *tally) count(admitted bool) {
	at := t.slot % buckets
	if admitted {
		t.in[at]++
		return
	}
	t.out[at]++
}

func (t *tally) admitted() int { return sum(t.in) }

func (t *tally) offered() int { return sum(t.in) + sum(t.out) }

// share is the part of the requests that was admitted, 1 if there was none.
func (t *tally) share() float64 {
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

// class is a kind of request's tally with the longest time that its callers
// give. Who has been turned away comes back with less.
type class struct {
	tally
	longest time.Duration
}

// isLate says whether the caller has waited for over part of the target latency.
func (c *class) isLate(r Request, part float64) bool {
	c.longest = max(c.longest, r.Remaining)
	if r.Remaining <= 0 {
		return false
	}
	return float64(c.longest-r.Remaining) > part*float64(r.TargetLatency)
}

// usage is a workspace's tally with the share of the requests that it usually
// sends.
type usage struct {
	tally
	usual   float64
	samples int
}

// roll brings the tally up to date. all must be so already. Each new bucket
// brings the usual share nearer to the present one, unless the service is short
// of places: a surge is not to become usual while it harms others.
func (u *usage) roll(now time.Time, all *tally, full bool) {
	before := u.slot
	u.tally.roll(now)
	offered := all.offered()
	if u.slot == before || offered == 0 || full {
		return
	}
	u.samples++
	u.usual += max(usualWeight, 1/float64(u.samples)) * (float64(u.offered())/float64(offered) - u.usual)
}

// average is an exponentially weighted mean.
type average struct {
	mean    float64
	samples int
}

func (a *average) observe(v float64) {
	a.samples++
	if a.samples == 1 {
		a.mean = v
		return
	}
	a.mean += max(heldWeight, 1/float64(a.samples)) * (v - a.mean)
}

// rateSpan is the time over which a rate is taken: some requests of a node of a
// small service, and short beside the start of a surge.
const rateSpan = 500 * time.Millisecond

// rate is a number of events a second; each counts less the older it is.
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
	return r.sum * math.Exp(-now.Sub(r.last).Seconds()/rateSpan.Seconds())
}

func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateSpan.Seconds() }
