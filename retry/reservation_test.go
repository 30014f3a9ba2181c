package retry

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a retry that is charged twice or never taken back: a request reserves one both when an attempt
// fails and when its timer finds that attempt overdue.
func TestReservationIsChargedOnce(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	now := start.Add(2 * fleetBound.Window)
	w := NewWindow(fleetBound, start)
	whole := int(fleetBound.Slack * (1 - fleetBound.Reserve))
	r := w.NewReservation()
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { r.Reserve(now, 1) })
	}
	wg.Wait()
	is.True(r.Held())
	r.Cancel()
	r.Cancel()
	is.True(!r.Held())
	is.True(r.Reserve(now, 1).Allowed)
	is.True(r.Send(now, 1).Allowed) // the reserved one
	is.True(!r.Held())
	is.True(r.Send(now, 1).Allowed) // one that wasn't reserved
	r.Cancel()
	is.Equal(grants(w, now, 1), whole-2)
	is.True(!r.Reserve(now, 1).Allowed)
	is.True(!r.Send(now, 1).Allowed)
}
