package standin_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// Guards against engines that announce a rejection limit ending one after the other in a surge: nodes
// sent to those that had free slots by old counts, and retried each rejection at the next one. At most 2
// and a tenth of the engines may end.
func TestSurgeEndsFewBrittleEngines(t *testing.T) {
	const (
		limit  = 4
		surge  = 4 * time.Second
		work   = "400" // milliseconds
		factor = 1.5   // of the capacity
	)
	is, s := is.New(t), start(t, 3)
	send := func(d time.Duration, interval time.Duration) (served, refused int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for k := range int(d / interval) {
			wg.Go(func() {
				time.Sleep(time.Duration(k) * interval)
				a := s.Nodes[k%len(s.Nodes)].Do(Request{Path: StreamPath, Body: "x", Header: http.Header{BeforeHeader: {work}}})
				mu.Lock()
				defer mu.Unlock()
				switch a.Status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					refused++
					if len(s.Journal.Runs(a.ID)) > 0 {
						t.Errorf("%s was refused and ran", a.ID)
					}
				}
			})
		}
		wg.Wait()
		return served, refused
	}
	for _, e := range s.Model {
		e.SetBrittle(true, limit)
	}
	send(time.Second, 50*time.Millisecond) // they announce it
	slots := len(s.Model) * DefaultSlots
	interval := time.Duration(400/factor/float64(slots)*1000) * time.Microsecond
	served, refused := send(surge, interval)
	crashes := 0
	for _, e := range s.Model {
		crashes += e.Crashes()
	}
	t.Logf("%d served, %d refused, %d engines ended", served, refused, crashes)
	is.True(crashes <= 2+len(s.Model)/10)
	is.True(served > int(surge/interval)/3)
	for _, e := range s.Model {
		e.SetBrittle(false, 0)
	}
	s.Eventually("the quotas end with the announcements", func() bool {
		served, _ := send(300*time.Millisecond, 300*time.Millisecond/30)
		return served == 30
	})
}
