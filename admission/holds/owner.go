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
}

// holder is what the owner knows of one run of a node.
type holder struct {
	heard time.Time
	// top is the largest sequence number asked with; base is what it was when
	// places were last dropped unheard. An ask at or below base is over.
	top, base uint64
	// floor is the sequence number of the newest resync. An ask at or below
	// it is over unless that resync listed it as pending.
	floor   uint64
	pending map[uint64]struct{}
	// ended are asks whose release was heard and that a late ask or an older
	// resync must not bring back.
	ended map[uint64]struct{}
	holds map[uint64]cell.Hold
}

// TargetLoad is the number of requests in flight on a target.
type TargetLoad struct {
	ID       string
	InFlight int
}

// NewOwner returns a record without places.
func NewOwner(cfg cell.Config) *Owner {
	return &Owner{cell: cell.New(cfg), holders: make(map[cell.Holder]*holder)}
}

// Configure changes the pool's settings.
func (o *Owner) Configure(cfg cell.Config) { o.cell.Configure(cfg) }

// SetTargets replaces the cell's targets.
func (o *Owner) SetTargets(targets []cell.Target) { o.cell.SetTargets(targets) }

// SetOthers sets the load of the pool's other cells.
func (o *Owner) SetOthers(t cell.Totals) { o.cell.SetOthers(t) }

// Totals returns the load of the cell.
func (o *Owner) Totals() cell.Totals { return o.cell.Totals() }

// Places returns the number of places known.
func (o *Owner) Places() int {
	n := 0
	for _, h := range o.holders {
		n += len(h.holds)
	}
	return n
}

// Takeover begins a wait for the places of the given holders; until it ends
// the cell is careful. It ends when all were heard or with EndTakeover.
func (o *Owner) Takeover(holders []cell.Holder) { o.cell.Takeover(holders) }

// Recovering says that too few holders were heard to count.
func (o *Owner) Recovering() bool { return o.cell.Recovering() }

// Remember adds where a node's chats last ran to the cell's memory.
func (o *Owner) Remember(now time.Time, recent []cell.Recent) { o.cell.Memory().Merge(now, recent) }

// Heard ends the wait for a holder that answered under another incarnation.
func (o *Owner) Heard(h cell.Holder) {
	if _, known := o.holders[h]; !known && slices.Contains(o.cell.Waiting(), h) {
		o.cell.Forget(h)
	}
}

// EndTakeover stops waiting.
func (o *Owner) EndTakeover() { o.cell.EndTakeover() }

// Waiting returns the holders that haven't been heard since the takeover.
func (o *Owner) Waiting() []cell.Holder { return o.cell.Waiting() }

// Tick tells the cell that its process runs. After a pause the cell begins a
// takeover by itself.
func (o *Owner) Tick(now time.Time) { o.cell.Tick(now) }

// Acquire decides an ask.
func (o *Owner) Acquire(now time.Time, m Acquire) Reply {
	h := o.hear(now, m.Holder())
	if h == nil || h.over(m.Seq) {
		return Reply{Code: Stale}
	}
	h.top = max(h.top, m.Seq)
	v := o.cell.Acquire(now, cell.Ask{
		Holder: m.Holder(), Request: requestName(m.Seq), Chat: m.Chat,
		Workspace: m.Workspace, Weight: m.Weight, Urgency: m.Urgency,
		Exclude: m.Exclude, Returning: m.Returning, Last: m.Last,
	})
	if v.Outcome == cell.Granted {
		h.holds[m.Seq] = holdOf(Detail{Seq: m.Seq, Target: v.Target, Workspace: m.Workspace, Chat: m.Chat})
	}
	return replyOf(v)
}

// Targets returns the number of requests known on each target, in the order
// of the target IDs.
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

// Ended ends places with their results and returns the suspensions of targets
// that the failures led to.
func (o *Owner) Ended(now time.Time, from cell.Holder, e Released) []cell.Suspension {
	var out []cell.Suspension
	for _, q := range e.Seqs {
		if s, ok := o.cell.Report(now, from, requestName(q), e.result(q)); ok {
			out = append(out, s)
		}
	}
	o.Release(now, from, e.Seqs)
	return out
}

// SuspendedTargets returns the number of targets that are suspended.
func (o *Owner) SuspendedTargets() int { return o.cell.SuspendedTargets() }

// Release ends places. A place that isn't known is remembered as ended.
func (o *Owner) Release(now time.Time, from cell.Holder, seqs Seqs) {
	h := o.hear(now, from)
	if h == nil {
		return
	}
	for _, q := range seqs {
		if _, ok := h.holds[q]; ok {
			o.drop(from, h, q)
		}
		h.ended[q] = struct{}{}
	}
}

// Resync makes the record of a holder equal to what it says, except for what
// has changed since it said so. An older resync than the newest is ignored.
func (o *Owner) Resync(now time.Time, m Resync) ResyncReply {
	h := o.hear(now, m.Holder())
	if h == nil || m.At <= h.floor {
		return ResyncReply{}
	}
	listed := setOf(m.Held)
	for _, d := range m.Details {
		listed[d.Seq] = struct{}{}
	}
	h.floor, h.pending = m.At, setOf(m.Pending)
	o.dropUnlisted(m.Holder(), h, listed)
	h.forgetEnded(listed)
	o.addDetails(m.Holder(), h, m.Details)
	return ResyncReply{Missing: h.missing(m.Held)}
}

// Expire forgets the dead holders, and the places of those last heard before
// the given time.
func (o *Owner) Expire(before time.Time, dead func(cell.Holder) bool) {
	for _, id := range o.cell.Waiting() {
		if dead(id) {
			o.forget(id)
		}
	}
	for id, h := range o.holders {
		switch {
		case dead(id):
			o.forget(id)
		case h.heard.Before(before):
			o.cell.Forget(id)
			h.reset()
		}
	}
}

func (o *Owner) forget(id cell.Holder) {
	o.cell.Forget(id)
	delete(o.holders, id)
}

// hear returns the record of a holder, or nil if a newer run of its node is
// known. It forgets older runs.
func (o *Owner) hear(now time.Time, id cell.Holder) *holder {
	h, ok := o.holders[id]
	if ok {
		h.heard = now
		return h
	}
	for other := range o.holders {
		if other.Node != id.Node {
			continue
		}
		if other.Incarnation > id.Incarnation {
			return nil
		}
		o.forget(other)
	}
	h = &holder{heard: now}
	h.reset()
	o.holders[id] = h
	return h
}

// reset drops all places. An ask sent before then may have been answered, so
// that a late copy of it must not take a place again.
func (h *holder) reset() {
	h.base = h.top
	h.pending = nil
	h.ended = make(map[uint64]struct{})
	h.holds = make(map[uint64]cell.Hold)
}

func (o *Owner) drop(id cell.Holder, h *holder, q uint64) {
	delete(h.holds, q)
	o.cell.Release(id, requestName(q))
}

func (o *Owner) dropUnlisted(id cell.Holder, h *holder, listed map[uint64]struct{}) {
	for q := range h.holds {
		_, isPending := h.pending[q]
		_, isListed := listed[q]
		if q <= h.floor && !isPending && !isListed {
			o.drop(id, h, q)
		}
	}
}

func (o *Owner) addDetails(id cell.Holder, h *holder, details []Detail) {
	added := false
	for _, d := range details {
		_, known := h.holds[d.Seq]
		_, ended := h.ended[d.Seq]
		if !known && !ended {
			h.holds[d.Seq] = holdOf(d)
			added = true
		}
	}
	if !added && len(o.cell.Waiting()) == 0 {
		return
	}
	all := make([]cell.Hold, 0, len(h.holds))
	for _, hold := range h.holds {
		all = append(all, hold)
	}
	o.cell.Resync(id, all)
}

// over says whether the holder has given an ask up.
func (h *holder) over(q uint64) bool {
	if _, ok := h.ended[q]; ok {
		return true
	}
	if _, ok := h.holds[q]; ok {
		return false
	}
	_, pending := h.pending[q]
	return q <= h.base || q <= h.floor && !pending
}

// forgetEnded drops the ended asks that the newest resync already leaves out.
func (h *holder) forgetEnded(listed map[uint64]struct{}) {
	for q := range h.ended {
		_, isPending := h.pending[q]
		_, isListed := listed[q]
		if q <= h.floor && !isPending && !isListed {
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

func requestName(q uint64) string { return strconv.FormatUint(q, 36) }

func holdOf(d Detail) cell.Hold {
	return cell.Hold{Request: requestName(d.Seq), Target: d.Target, Workspace: d.Workspace, Chat: d.Chat}
}

func replyOf(v cell.Verdict) Reply {
	r := Reply{Reason: v.Reason, RetryAfterMS: v.RetryAfter.Milliseconds()}
	switch v.Outcome {
	case cell.Granted:
		r.Target = v.Target
	case cell.Full:
		r.Code = Full
	default:
		r.Code = Refused
	}
	return r
}
