package retry

import (
	"sync/atomic"
	"time"
)

// Reservation holds the retry that a request has reserved when it was decided on and not sent yet. It is safe for
// concurrent use.
type Reservation struct {
	window *Window
	charge atomic.Pointer[Charge] // nil for none
}

// NewReservation returns a reservation that holds nothing.
func (w *Window) NewReservation() *Reservation { return &Reservation{window: w} }

// Held reports whether a retry is reserved.
func (r *Reservation) Held() bool { return r.charge.Load() != nil }

// Reserve reserves a retry. If there is one already when the decision is made, the new one is taken back.
func (r *Reservation) Reserve(now time.Time, nodes int) BudgetDecision {
	c, d := r.window.Take(now, nodes)
	if d.Allowed && !r.charge.CompareAndSwap(nil, &c) {
		r.window.Cancel(c)
	}
	return d
}

// Send charges a retry at the time at which it is sent: the reserved one, or a new one if none is reserved.
func (r *Reservation) Send(now time.Time, nodes int) BudgetDecision {
	if c := r.charge.Swap(nil); c != nil {
		return r.window.Renew(*c, now, nodes)
	}
	_, d := r.window.Take(now, nodes)
	return d
}

// Cancel takes back the reserved retry, if there is one.
func (r *Reservation) Cancel() {
	if c := r.charge.Swap(nil); c != nil {
		r.window.Cancel(*c)
	}
}
