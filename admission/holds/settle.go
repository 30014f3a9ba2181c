package holds

import (
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// Settle returns the replies to asks that were waiting, in the order in which they were decided. Call
// it after each other method that may free a place, and at NextDeadline.
func (o *Owner) Settle(now time.Time) []Settled {
	o.collectSettled(now)
	out := o.settled
	o.settled = nil
	return out
}

// NextDeadline returns the next time at which Settle must be called even if no place is freed before;
// ok is false if no ask waits.
func (o *Owner) NextDeadline() (at time.Time, ok bool) { return o.cell.NextDeadline() }

// SetShare sets the fraction of each target's places that may be granted; see cell.Cell.
func (o *Owner) SetShare(fraction float64) { o.cell.SetShare(fraction) }

// QueueLength returns the number of waiting asks.
func (o *Owner) QueueLength() int { return o.cell.QueueLength() }

// Suspensions returns the suspensions of targets since the last call that were caused by the ended
// places of Acquire.
func (o *Owner) Suspensions() []cell.Suspension {
	out := o.suspensions
	o.suspensions = nil
	return out
}

func (o *Owner) releaseEnded(now time.Time, m Acquire) {
	for _, e := range m.Ended {
		if e.Pool == m.Pool && e.Cell == m.Cell && e.Of == m.Of {
			o.suspensions = append(o.suspensions, o.ReleaseWithResults(now, m.Holder(), e)...)
		}
	}
}

// collectSettled records the cell's decisions on waiting asks.
func (o *Owner) collectSettled(now time.Time) {
	for _, d := range o.cell.Settle(now) {
		q, err := strconv.ParseUint(d.Request, requestBase, 64)
		h := o.holders[d.Holder]
		if err != nil || h == nil {
			continue // unreachable: a holder's asks are canceled with it
		}
		reply := replyOf(d.Decision)
		reply.WaitedMS = d.Waited.Milliseconds()
		place := h.waiting[q]
		delete(h.waiting, q)
		if d.Decision.Outcome == cell.Granted {
			place.Target = d.Decision.Target
			h.holds[q] = holdOf(place)
		}
		o.settled = append(o.settled, Settled{Holder: d.Holder, Seq: q, Reply: reply})
	}
}

// cancel removes an ask that waits.
func (o *Owner) cancel(id cell.Holder, h *holder, q uint64) {
	if _, waits := h.waiting[q]; waits {
		o.cell.Cancel(id, requestID(q))
		delete(h.waiting, q)
	}
}

// cancelUnlisted removes the asks that the newest resync should have listed as pending.
func (o *Owner) cancelUnlisted(id cell.Holder, h *holder) {
	for q := range h.waiting {
		if _, isPending := h.pending[q]; q <= h.resyncSeq && !isPending {
			o.cancel(id, h, q)
		}
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
