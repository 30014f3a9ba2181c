package standin_test

import (
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// Guards against requests that wait for the end of bytes that have none, though the engine has said that nothing
// ran, or sends no answer: an idempotent request is answered by another engine.
func TestEndlessBytesAreNotWaitedFor(t *testing.T) {
	for _, way := range EndlessWays {
		t.Run(fmt.Sprint(way), func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			s.AwaitRetrySlack()
			s.Plain[0].SendEndlessly(way)
			if way == EndlessRefusal { // which isn't an attempt
				s.Plain[1].SendEndlessly(way)
			}
			for range 6 {
				a := s.Nodes[0].Do(Request{Path: SafePath})
				is.NoErr(a.Err)
				is.Equal(a.Status, http.StatusOK)
			}
		})
	}
}

// Guards against a refusal that is known to have run nothing, and becomes a timeout that promises nothing, since
// its body never ends.
func TestEndlessRefusalKeepsThePromise(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	for _, e := range s.Plain {
		e.SendEndlessly(EndlessRefusal)
	}
	began := time.Now()
	a := s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"})
	is.NoErr(a.Err)
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < 2*time.Second) // the route's timeout is 4 s
}

// Guards against heads without end that fill a node's memory: many at once take a small part of the 64 MB that
// control has.
func TestEndlessHeadsTakeLittleMemory(t *testing.T) {
	for _, way := range []Endless{EndlessHead, EndlessLine, EndlessInterim} {
		t.Run(fmt.Sprint(way), func(t *testing.T) {
			const requests, maxHeap = 24, 32 << 20
			is, s := is.New(t), start(t, 1)
			for _, e := range s.Plain {
				e.SendEndlessly(way)
			}
			before, most := heap(), uint64(0)
			var work sync.WaitGroup
			done := make(chan struct{})
			for range requests {
				work.Go(func() { s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"}) })
			}
			go func() {
				work.Wait()
				close(done)
			}()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(5 * time.Millisecond):
					most = max(most, heap())
				}
			}
			t.Logf("heap +%d kB", (max(most, before)-before)>>10)
			is.True(max(most, before)-before < maxHeap)
		})
	}
}

// heap returns the bytes of the heap that are in use.
func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a body without end that reaches the caller as a complete answer.
func TestEndlessBodyIsNeverComplete(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	for _, e := range s.Plain {
		e.SendEndlessly(EndlessBody)
	}
	a := s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"})
	is.True(a.Err != nil || a.Status == http.StatusGatewayTimeout)
}
