package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Record is one request during which targets terminated, as nodes send it to each other and store
// it for nodes that start later. Times are encoded as ages in milliseconds relative to when the
// record was made, so that the nodes' clocks need not agree; a negative age means never.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	Ends    []EndRecord
	// Completed is when an attempt last completed, Trial when the last trial attempt of the
	// quarantined request was sent, and Seen when the request was last received.
	Completed, Trial, Seen int64
}

// EndRecord is one termination of a target during a request.
type EndRecord struct {
	_ struct{} `cbor:",toarray"`
	// Target is the lower half of the hash that identifies the target's process instance.
	Target uint32
	// Nth distinguishes terminations of the same Target: a target that restarts may terminate
	// again before its new instance is known.
	Nth uint8
	// Sent is when the request was sent to the target, Ended when the target was found to have
	// terminated.
	Sent, Ended int64
}

// never is the encoded age of an event that has not happened.
const never = -1

// end is one termination of a target during a request.
type end struct {
	target      uint32
	nth         uint8
	sent, ended time.Time
}

// entry is this node's state for a request during which targets terminated. Entries of several
// nodes are merged by the union of their ends and the newest of each other time, so that merging
// is independent of the order, number and route of messages.
type entry struct {
	ends                   []end // sorted by the time of termination
	completed, trial, seen time.Time
	// changed is when the entry last changed in a way that other nodes must learn of.
	changed time.Time
	// running is the number of attempts in progress on this node that Begin has counted.
	running int
	// part means that the entry is of a prompt part.
	part bool
	// strikeCount is the number of strikes. convicted means that enough of them aren't explained by other entries, and
	// convictedAt is when the target of the last one needed for that ended.
	strikeCount int
	convicted   bool
	convictedAt time.Time
}

// maxEnds bounds the ends kept for a request. It is larger than the number of strikes needed,
// since some targets terminate at the same moment and count once.
const maxEnds = 16

// sameMoment is the time within which nodes observe what ends several targets at once.
const sameMoment = 100 * time.Millisecond

// minRestartTime is shorter than any target takes to restart.
const minRestartTime = 200 * time.Millisecond

// addLocalEnd adds a termination that this node detected. If its attempt was sent more than
// minRestartTime after a known end of the same target, it is a separate end with the next number.
// Only the detecting node decides this: message delay makes times received from other nodes
// appear later than they were. It reports whether the entry changed.
func (e *entry) addLocalEnd(n end) (changed bool) {
	n.nth = 1
	for _, known := range e.ends {
		if known.target == n.target && n.sent.After(known.ended.Add(minRestartTime)) {
			n.nth = max(n.nth, known.nth+1)
		}
	}
	return e.addEnd(n)
}

// addEnd adds an end. Of two reports of the same end the earlier times are kept, since they come
// from the node that detected it first. It reports whether the end is new.
func (e *entry) addEnd(n end) bool {
	for i := range e.ends {
		known := &e.ends[i]
		if known.target != n.target || known.nth != n.nth {
			continue
		}
		if n.sent.Before(known.sent) || n.ended.Before(known.ended) {
			known.sent = earlier(known.sent, n.sent)
			known.ended = earlier(known.ended, n.ended)
			slices.SortFunc(e.ends, end.compare)
		}
		return false
	}
	at, _ := slices.BinarySearchFunc(e.ends, n, end.compare)
	e.ends = slices.Insert(e.ends, at, n)
	return !e.evictExcess(n)
}

// compare orders ends by time. Ends at the same moment are in an arbitrary order that is the same
// on all nodes.
func (a end) compare(b end) int {
	return cmp.Or(a.ended.Compare(b.ended), a.sent.Compare(b.sent), cmp.Compare(a.target, b.target), cmp.Compare(a.nth, b.nth))
}

// evictExcess removes one end if there are more than maxEnds: the newest that is not a strike, or
// else the oldest, which a complete response would clear first. It reports whether the removed
// end is n.
func (e *entry) evictExcess(n end) bool {
	if len(e.ends) <= maxEnds {
		return false
	}
	at := 0
	for i, strike := range e.strikeFlags() {
		if !strike {
			at = i
		}
	}
	evicted := e.ends[at]
	e.ends = slices.Delete(e.ends, at, at+1)
	return evicted == n
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// strikes counts the ends that are evidence against the request: attempts that were sent one
// after the other, each of whose targets terminated, while no attempt completed. Targets that
// terminate at the same moment count once, since a single cause other than the request may have
// ended them all. Attempts that were sent before another one completed don't count, since the
// request was not the cause of those terminations. Different requests share a part and may
// overlap, so that terminations at different moments count for it.
func (e *entry) strikes() int {
	n := 0
	for _, strike := range e.strikeFlags() {
		if strike {
			n++
		}
	}
	return n
}

// strikeFlags reports for each end whether it is a strike.
func (e *entry) strikeFlags() []bool {
	flags := make([]bool, len(e.ends))
	var last time.Time
	for i, end := range e.ends {
		overlaps := end.sent.Before(last) && (!e.part || end.ended.Sub(last) < sameMoment)
		if end.sent.Before(e.completed) || overlaps {
			continue
		}
		flags[i] = true
		last = end.ended
	}
	return flags
}

// lastActivity returns the latest of the time the request was last received and its last end.
func (e *entry) lastActivity() time.Time {
	t := e.seen
	if n := len(e.ends); n > 0 {
		t = later(t, e.ends[n-1].ended)
	}
	return t
}

// record returns the entry as a Record with ages relative to now.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	r := Record{
		Request: f, Completed: ageMillis(e.completed, now), Trial: ageMillis(e.trial, now), Seen: ageMillis(e.seen, now),
	}
	for _, end := range e.ends {
		r.Ends = append(r.Ends, EndRecord{
			Target: end.target, Nth: end.nth, Sent: ageMillis(end.sent, now), Ended: ageMillis(end.ended, now),
		})
	}
	return r
}

// merge adds a record of another node. A time that is only slightly newer is treated as the same
// time, made to appear later by message delay. It reports whether the entry changed.
func (e *entry) merge(r Record, now time.Time) bool {
	changed := false
	for _, n := range r.Ends {
		changed = e.addEnd(end{n.Target, n.Nth, timeFromAge(n.Sent, now), timeFromAge(n.Ended, now)}) || changed
	}
	changed = e.complete(timeFromAge(r.Completed, now)) || changed
	changed = advance(&e.trial, timeFromAge(r.Trial, now), maxMessageDelay) || changed
	return advance(&e.seen, timeFromAge(r.Seen, now), minSeenAdvance) || changed
}

// answeredSince reports whether this node knows of an answer that clears strikes of a record and that its sender doesn't
// know of.
func (e *entry) answeredSince(r Record, now time.Time) bool {
	if e.completed.Sub(timeFromAge(r.Completed, now)) < maxMessageDelay {
		return false
	}
	return slices.ContainsFunc(r.Ends, func(n EndRecord) bool { return timeFromAge(n.Sent, now).Before(e.completed) })
}

// complete records a completed attempt. It reports whether that clears at least one strike.
func (e *entry) complete(at time.Time) bool {
	e.completed = later(e.completed, at)
	return e.strikes() < e.strikeCount
}

const (
	// maxMessageDelay is longer than messages between nodes take, including those to a node that
	// waits for CPU time.
	maxMessageDelay = time.Second
	// minSeenAdvance is how much later a request must have been received before other nodes are
	// notified: a fraction of Config.Retention.
	minSeenAdvance = 30 * time.Second
)

// advance sets t to a time that is later by at least the given duration, or to any time if t is
// zero. It reports whether t changed.
func advance(t *time.Time, to time.Time, minStep time.Duration) bool {
	if to.IsZero() || !t.IsZero() && to.Sub(*t) < minStep {
		return false
	}
	*t = to
	return true
}

func ageMillis(t, now time.Time) int64 {
	if t.IsZero() {
		return never
	}
	return max(now.Sub(t).Milliseconds(), 0)
}

func timeFromAge(age int64, now time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}
