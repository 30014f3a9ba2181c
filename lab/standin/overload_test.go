package standin_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// When all slots of a service are taken and as many requests wait, further requests are
// refused at once, without being run, with a Retry-After. When slots are free again, the next
// request is served.
func TestFullServiceRefusesAtOnce(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	capacity := 0
	for _, e := range s.Plain {
		e.SetFault(Hang, -1)
		capacity += 2 * e.Entry("ready")["slots"].(int)
	}
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	var hanging sync.WaitGroup
	sent := 0
	var refused Answer
	for refused.Status == 0 && sent <= capacity {
		id := NewID()
		answers := make(chan Answer, 1)
		hanging.Go(func() { answers <- s.Nodes[0].DoContext(ctx, Request{Path: UnsafePath, ID: id}) })
		s.Eventually("request is run or refused", func() bool {
			select {
			case refused = <-answers:
				return true
			default:
				return len(s.Journal.Runs(id)) > 0
			}
		})
		sent++
	}
	t.Logf("%d requests accepted, of %d at most", sent-1, capacity)
	is.True(sent-1 > capacity/2 && sent-1 <= capacity)
	is.Equal(refused.Status, http.StatusServiceUnavailable)
	is.Equal(len(s.Journal.Runs(refused.ID)), 0)
	after, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= 1) // a third of the request's deadline of 3 s

	disconnect()
	hanging.Wait()
	for _, e := range s.Plain {
		e.SetFault(None, 0)
	}
	s.Eventually("request is served", func() bool {
		return s.Nodes[0].Do(Request{Path: UnsafePath}).Status == http.StatusOK
	})
}
