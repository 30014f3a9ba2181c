package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Record is what nodes tell each other, and note for their next start, of a request
// under which targets ended. Times are told as ages in milliseconds when the record
// was made, so that the nodes' clocks need not agree; a negative age means never.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	Ends    []EndRecord
	// Completed is when a run was last completed, Trial when a quarantined request was
	// last run to see whether it is still harmful, Seen when it last came.
	Completed, Trial, Seen int64
}

// EndRecord is one target that ended under a request.
type EndRecord struct {
	_ struct{} `cbor:",toarray"`
	// Target is the lower half of the hash of the target's run.
	Target uint32
	// Nth tells ends of the same target: one that starts again may end again before its
	// new start is known.
	Nth uint8
	// Sent is when the request was sent there, Ended when the target was found to have
	// ended.
	Sent, Ended int64
}

// never is the age of what has not happened.
const never = -1

// end is a target that ended under a request.
type end struct {
	target      uint32
	nth         uint8
	sent, ended time.Time
}

// entry is what this node knows of a request under which targets ended. Entries of
// several nodes are merged by the union of their ends and the newest of their other
// times, so that it doesn't matter in which order, how often and by which way news
// come.
type entry struct {
	ends                   []end // by the time of the end
	completed, trial, seen time.Time
	// changed is when the entry last changed in what other nodes should know.
	changed time.Time
	// running is the number of runs in progress on this node's account.
	running int
}

// maxEnds is the most ends that are kept of a request: more than speak against it, since
// some end at the same moment.
const maxEnds = 16

// restartTime is less than any target takes to start again.
const restartTime = 200 * time.Millisecond

// observe adds an end that this node saw. One whose run was sent well after a known end of
// the target is another. Only the node that saw it decides that: times that come from
// other nodes are younger by the way of their messages.
func (e *entry) observe(n end) (news bool) {
	n.nth = 1
	for _, known := range e.ends {
		if known.target == n.target && n.sent.After(known.ended.Add(restartTime)) {
			n.nth = max(n.nth, known.nth+1)
		}
	}
	return e.addEnd(n)
}

// addEnd adds a target's end. Of two words on the same end the older one holds: it comes
// from the node that saw it first. It returns whether the end is news.
func (e *entry) addEnd(n end) bool {
	for i := range e.ends {
		known := &e.ends[i]
		if known.target == n.target && known.nth == n.nth {
			known.sent = earlier(known.sent, n.sent)
			known.ended = earlier(known.ended, n.ended)
			slices.SortFunc(e.ends, end.compare)
			return false
		}
	}
	at, _ := slices.BinarySearchFunc(e.ends, n, end.compare)
	e.ends = slices.Insert(e.ends, at, n)
	return !e.drop(n)
}

// compare orders ends by time; of those at the same moment the order is any, but the same
// on all nodes.
func (a end) compare(b end) int {
	return cmp.Or(a.ended.Compare(b.ended), a.sent.Compare(b.sent), cmp.Compare(a.target, b.target), cmp.Compare(a.nth, b.nth))
}

// drop drops an end if there are too many: the newest that is no strike, else the oldest,
// which a whole answer clears first. It returns whether that is n.
func (e *entry) drop(n end) bool {
	if len(e.ends) <= maxEnds {
		return false
	}
	at := 0
	for i, strike := range e.counting() {
		if !strike {
			at = i
		}
	}
	dropped := e.ends[at]
	e.ends = slices.Delete(e.ends, at, at+1)
	return dropped == n
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

// strikes counts the ends that speak against the request: one run after the other
// ended its target, and none was completed. Targets that end at the same moment count
// once, since one cause beside the request may have ended them all. Runs that began
// before another was completed don't count: what ended them was not the request.
func (e *entry) strikes() int {
	n := 0
	for _, counts := range e.counting() {
		if counts {
			n++
		}
	}
	return n
}

// counting says of each end whether it is a strike.
func (e *entry) counting() []bool {
	counts := make([]bool, len(e.ends))
	var last time.Time
	for i, end := range e.ends {
		if end.sent.Before(e.completed) || end.sent.Before(last) {
			continue
		}
		counts[i] = true
		last = end.ended
	}
	return counts
}

// newest returns when anything was last known to happen with the request.
func (e *entry) newest() time.Time {
	t := e.seen
	if n := len(e.ends); n > 0 {
		t = later(t, e.ends[n-1].ended)
	}
	return t
}

// record returns the entry as it is told at now.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	r := Record{
		Request: f, Completed: ageOf(e.completed, now), Trial: ageOf(e.trial, now), Seen: ageOf(e.seen, now),
	}
	for _, end := range e.ends {
		r.Ends = append(r.Ends, EndRecord{
			Target: end.target, Nth: end.nth, Sent: ageOf(end.sent, now), Ended: ageOf(end.ended, now),
		})
	}
	return r
}

// merge adds what another node told. A time that seems only a little newer is no news:
// it is the same time, which a slow message has made younger. It returns whether there
// was news.
func (e *entry) merge(r Record, now time.Time) bool {
	news := false
	for _, n := range r.Ends {
		news = e.addEnd(end{n.Target, n.Nth, timeOf(n.Sent, now), timeOf(n.Ended, now)}) || news
	}
	news = e.complete(timeOf(r.Completed, now)) || news
	news = advance(&e.trial, timeOf(r.Trial, now), messageDelay) || news
	return advance(&e.seen, timeOf(r.Seen, now), seenStep) || news
}

// complete notes a run that was completed, if that clears the request of any strike.
// It returns whether it does.
func (e *entry) complete(at time.Time) bool {
	before, strikes := e.completed, e.strikes()
	e.completed = later(e.completed, at)
	if e.strikes() < strikes {
		return true
	}
	e.completed = before
	return false
}

const (
	// messageDelay is more than messages between nodes take, also to one that waits
	// for its processor.
	messageDelay = time.Second
	// seenStep is how much later a request must have come to be worth telling: a
	// fraction of the time for which it is kept in quarantine.
	seenStep = 30 * time.Second
)

// advance moves t to a time that is later by least or more. It returns whether it did.
func advance(t *time.Time, to time.Time, least time.Duration) bool {
	if to.IsZero() || !t.IsZero() && to.Sub(*t) < least {
		return false
	}
	*t = to
	return true
}

func ageOf(t, now time.Time) int64 {
	if t.IsZero() {
		return never
	}
	return max(now.Sub(t).Milliseconds(), 0)
}

func timeOf(age int64, now time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// byWeight orders records for a message with little room: those with the most ends
// first, then the newest.
func byWeight(a, b Record) int {
	if c := cmp.Compare(len(b.Ends), len(a.Ends)); c != 0 {
		return c
	}
	return cmp.Compare(a.Seen, b.Seen)
}
