package holds

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// Owner is the record of one cell at the node that owns it.
type Owner struct {
	cell    *cell.Cell
	holders map[cell.Holder]*holder
	// queued is set if the cell has a queue. settled has the replies that Settle will return.
	queued      bool
	settled     []Settled
	suspensions []cell.Suspension
}

// holder is the record of one run of a node that holds places.
type holder struct {
	lastMessage time.Time
	// maxSeq is the largest sequence number of an ask from this holder. resetSeq is the value of
	// maxSeq when its places were last dropped because nothing arrived from it. An ask at or
	// below resetSeq is stale.
	maxSeq, resetSeq uint64
	// resyncSeq is the sequence number of the newest resync. An ask at or below it is stale
	// unless that resync listed it as pending.
	resyncSeq uint64
	pending   map[uint64]struct{}
	// ended are the asks whose release has arrived. A late ask or an older resync must not add
	// their places again.
	ended   map[uint64]struct{}
	holds   map[uint64]cell.Place
	waiting map[uint64]Place // asks in the cell's queue
}

// TargetLoad is the number of requests in flight on a target.
type TargetLoad struct {
	ID       string
	InFlight int
}

// NewOwner returns a record without places.
func NewOwner(cfg cell.Config) *Owner {
	return &Owner{cell: cell.New(cfg), holders: make(map[cell.Holder]*holder), queued: cfg.Queue != nil}
}

// Configure changes the pool's settings.
func (o *Owner) Configure(cfg cell.Config) {
	o.cell.Configure(cfg)
	o.queued = cfg.Queue != nil
}

// SetTargets replaces the cell's targets.
func (o *Owner) SetTargets(targets []cell.Target) { o.cell.SetTargets(targets) }

// SetOthers sets the load of the pool's other cells.
func (o *Owner) SetOthers(t cell.Totals) { o.cell.SetOthers(t) }

// Totals returns the load of the cell.
func (o *Owner) Totals() cell.Totals { return o.cell.Totals() }

// Places returns the number of recorded places.
func (o *Owner) Places() int {
	n := 0
	for _, h := range o.holders {
		n += len(h.holds)
	}
	return n
}

// Takeover begins to wait for the places of the given holders. Until the wait ends, the cell
// grants nothing or counts estimates with a safety margin; see cell.Cell. The wait ends when
// all holders have reported or with EndTakeover.
func (o *Owner) Takeover(holders []cell.Holder) { o.cell.Takeover(holders) }

// Recovering reports whether too few holders have reported for the cell to grant places.
func (o *Owner) Recovering() bool { return o.cell.Recovering() }

// MergeRecent adds the targets on which a node's chats last ran to the cell's LastTargets.
func (o *Owner) MergeRecent(now time.Time, recent []cell.RecentChat) {
	o.cell.LastTargets().Merge(now, recent)
}

// EndWait ends the wait for a holder whose node has answered, if the answer came from
// another run of the node.
func (o *Owner) EndWait(h cell.Holder) {
	if _, known := o.holders[h]; !known && slices.Contains(o.cell.Waiting(), h) {
		o.cell.DropHolder(h)
	}
}

// EndTakeover stops waiting.
func (o *Owner) EndTakeover() { o.cell.EndTakeover() }

// Waiting returns the holders that haven't reported since the takeover.
func (o *Owner) Waiting() []cell.Holder { return o.cell.Waiting() }

// Tick records that the owner's process is running. After too long a pause the cell begins a
// takeover by itself.
func (o *Owner) Tick(now time.Time) { o.cell.Tick(now) }

// Acquire decides an ask, after it has ended the places of this cell that the message lists. An ask
// that must wait gets the code Waiting, and its reply is returned by Settle later; until then its
// repetitions get Waiting, too. A repetition after a refusal is decided anew, since a place may be
// free by then.
func (o *Owner) Acquire(now time.Time, m Acquire) Reply {
	h := o.holderFor(now, m.Holder())
	if h == nil {
		return Reply{Code: Stale}
	}
	o.releaseEnded(now, m)
	if h.isStale(m.Seq) {
		return Reply{Code: Stale}
	}
	h.maxSeq = max(h.maxSeq, m.Seq)
	v := o.cell.Acquire(now, cell.AcquireRequest{
		Holder: m.Holder(), Request: requestID(m.Seq), Chat: m.Chat,
		Workspace: m.Workspace, Weight: m.Weight, Urgency: m.Urgency,
		Exclude: m.Exclude, Returning: m.Returning, Last: m.Last,
		Remaining: milliseconds(m.RemainingMS), Domain: m.Domain,
	})
	place := Place{Seq: m.Seq, Target: v.Target, Workspace: m.Workspace, Chat: m.Chat}
	switch {
	case v.Outcome == cell.Granted:
		h.holds[m.Seq] = holdOf(place)
	case o.queued: // the cell has released a place on an excluded target
		delete(h.holds, m.Seq)
	}
	if v.Outcome == cell.Waiting {
		h.waiting[m.Seq] = place
	}
	o.collectSettled(now)
	return replyOf(v)
}

// Targets returns the number of recorded requests on each target, sorted by target ID.
func (o *Owner) Targets() []TargetLoad {
	known := make(map[string]int)
	for _, h := range o.holders {
		for _, hold := range h.holds {
			known[hold.Target]++
		}
	}
	out := make([]TargetLoad, 0, len(known))
	for id, n := range known {
		out = append(out, TargetLoad{ID: id, InFlight: n})
	}
	slices.SortFunc(out, func(a, b TargetLoad) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// ReleaseWithResults ends places with their results and returns the suspensions of targets
// that the failures caused.
func (o *Owner) ReleaseWithResults(now time.Time, from cell.Holder, e EndedPlaces) []cell.Suspension {
	var out []cell.Suspension
	for _, q := range e.Seqs {
		if s, ok := o.cell.Report(now, from, requestID(q), e.result(q)); ok {
			out = append(out, s)
		}
	}
	o.Release(now, from, e.Seqs)
	return out
}

// SuspendedTargets returns the number of suspended targets.
func (o *Owner) SuspendedTargets() int { return o.cell.SuspendedTargets() }

// Release ends places and cancels waiting asks. A place that isn't recorded is marked as ended.
func (o *Owner) Release(now time.Time, from cell.Holder, seqs Seqs) {
	h := o.holderFor(now, from)
	if h == nil {
		return
	}
	for _, q := range seqs {
		if _, ok := h.holds[q]; ok {
			o.drop(from, h, q)
		}
		o.cancel(from, h, q)
		h.ended[q] = struct{}{}
	}
}

// Resync makes the record of a holder equal to its list, except for places that were granted
// or released after the list was built. A resync older than the newest one is ignored.
func (o *Owner) Resync(now time.Time, m Resync) ResyncReply {
	h := o.holderFor(now, m.Holder())
	if h == nil || m.At <= h.resyncSeq {
		return ResyncReply{}
	}
	listed := setOf(m.Held)
	for _, d := range m.Details {
		listed[d.Seq] = struct{}{}
	}
	h.resyncSeq, h.pending = m.At, setOf(m.Pending)
	o.dropUnlisted(m.Holder(), h, listed)
	o.cancelUnlisted(m.Holder(), h)
	h.pruneEnded(listed)
	o.addDetails(m.Holder(), h, m.Details)
	return ResyncReply{Missing: h.missing(m.Held)}
}

// Expire removes the dead holders, and drops the places of holders from which nothing has
// arrived since the given time.
func (o *Owner) Expire(before time.Time, dead func(cell.Holder) bool) {
	for _, id := range o.cell.Waiting() {
		if dead(id) {
			o.dropHolder(id)
		}
	}
	for id, h := range o.holders {
		switch {
		case dead(id):
			o.dropHolder(id)
		case h.lastMessage.Before(before):
			o.cell.DropHolder(id)
			h.reset()
		}
	}
}

func (o *Owner) dropHolder(id cell.Holder) {
	o.cell.DropHolder(id)
	delete(o.holders, id)
}

// holderFor returns the record of a holder and sets the time of its last message. It returns
// nil if a newer run of the holder's node is recorded, and removes older runs.
func (o *Owner) holderFor(now time.Time, id cell.Holder) *holder {
	h, ok := o.holders[id]
	if ok {
		h.lastMessage = now
		return h
	}
	for other := range o.holders {
		if other.Node != id.Node {
			continue
		}
		if other.Incarnation > id.Incarnation {
			return nil
		}
		o.dropHolder(other)
	}
	h = &holder{lastMessage: now}
	h.reset()
	o.holders[id] = h
	return h
}

// reset drops all places. An earlier ask may have been answered already, so a late copy of
// it must not take a place again.
func (h *holder) reset() {
	h.resetSeq = h.maxSeq
	h.pending = nil
	h.ended = make(map[uint64]struct{})
	h.holds = make(map[uint64]cell.Place)
	h.waiting = make(map[uint64]Place)
}

func (o *Owner) drop(id cell.Holder, h *holder, q uint64) {
	delete(h.holds, q)
	o.cell.Release(id, requestID(q))
}

func (o *Owner) dropUnlisted(id cell.Holder, h *holder, listed map[uint64]struct{}) {
	for q := range h.holds {
		_, isPending := h.pending[q]
		_, isListed := listed[q]
		if q <= h.resyncSeq && !isPending && !isListed {
			o.drop(id, h, q)
		}
	}
}

func (o *Owner) addDetails(id cell.Holder, h *holder, details []Place) {
	added := false
	for _, d := range details {
		_, known := h.holds[d.Seq]
		_, ended := h.ended[d.Seq]
		if !known && !ended {
			o.cancel(id, h, d.Seq)
			h.holds[d.Seq] = holdOf(d)
			added = true
		}
	}
	if !added && len(o.cell.Waiting()) == 0 {
		return
	}
	all := make([]cell.Place, 0, len(h.holds))
	for _, hold := range h.holds {
		all = append(all, hold)
	}
	o.cell.Resync(id, all)
}

// isStale reports whether an ask must not be granted, because its place has ended or the
// holder has canceled it.
func (h *holder) isStale(q uint64) bool {
	if _, ok := h.ended[q]; ok {
		return true
	}
	if _, ok := h.holds[q]; ok {
		return false
	}
	_, pending := h.pending[q]
	return q <= h.resetSeq || q <= h.resyncSeq && !pending
}

// pruneEnded removes the ended asks that the newest resync no longer lists.
func (h *holder) pruneEnded(listed map[uint64]struct{}) {
	for q := range h.ended {
		_, isPending := h.pending[q]
		_, isListed := listed[q]
		if q <= h.resyncSeq && !isPending && !isListed {
			delete(h.ended, q)
		}
	}
}

func (h *holder) missing(held Seqs) Seqs {
	var out Seqs
	for _, q := range held {
		_, known := h.holds[q]
		_, ended := h.ended[q]
		if !known && !ended {
			out = append(out, q)
		}
	}
	return out
}

func setOf(seqs Seqs) map[uint64]struct{} {
	set := make(map[uint64]struct{}, len(seqs))
	for _, q := range seqs {
		set[q] = struct{}{}
	}
	return set
}

const requestBase = 36

func requestID(q uint64) string { return strconv.FormatUint(q, requestBase) }

func holdOf(d Place) cell.Place {
	return cell.Place{Request: requestID(d.Seq), Target: d.Target, Workspace: d.Workspace, Chat: d.Chat}
}

func replyOf(v cell.Decision) Reply {
	r := Reply{Reason: v.Reason, RetryAfterMS: v.RetryAfter.Milliseconds()}
	switch v.Outcome {
	case cell.Granted:
		r.Target = v.Target
	case cell.Full:
		r.Code = Full
	case cell.Waiting:
		r.Code = Waiting
	default:
		r.Code = Refused
	}
	return r
}
