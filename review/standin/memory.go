package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is the memory of a machine in MB, as the sheets of tcr-plomo and mcrc-addr have it.
	memoryLimit = 284
	// maxBody is the most that the configuration's limits allow a client to send.
	maxBody = 4 << 20
	// usualClients is how many clients of the tenant use a node at a time, hotTenant how many times as
	// many do while the tenant is hot.
	usualClients = 12
	hotTenant    = 7.5
	// prefill is the time of an engine until a stream's first event, eventGap that between two.
	prefill, eventGap = 1500 * time.Millisecond, 300 * time.Millisecond
	events            = 20
	restartAfter      = 500 * time.Millisecond
)

// chatConfig is a configuration with one route to model engines.
func chatConfig(version int) map[string]any {
	c := plainConfig(version, "k1")
	c["routes"] = []any{map[string]any{
		"name": "draft", "host": "a.example", "prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000,
		"target_latency_ms": 600, "priority": 0, "service": "lm", "max_attempts": 1, "allow_anonymous": false,
		"sticky": true, "stream_resume": false, "gap_aim_ms": 400,
	}}
	c["services"] = []any{map[string]any{
		"name": "lm", "health_path": "/healthz", "max_connections": 300, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_capacity_tokens": 712882, "kv_bytes": 35136, "models": []any{map[string]any{"name": "m"}}},
	}}
	return c
}

// guardMemory ends a node that exceeds its memory and starts it again, as the platform does. It counts only
// the memory that the process itself has allocated, not what waits in its sockets.
func (n *node) guardMemory(done <-chan struct{}, ends *atomic.Int64) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := n.allocatedMB()
		if mb <= n.fleet.memoryMB {
			continue
		}
		n.fleet.record.add("platform: %s has %d MB of %d and is killed", n.name(), mb, n.fleet.memoryMB)
		ends.Add(1)
		n.kill()
		time.Sleep(restartAfter)
		if err := n.start(); err != nil {
			n.fleet.record.add("platform: %v", err)
			return
		}
	}
}

// memoryCase: a tenant sends more of its long prompts than usual. The nodes must not exceed their memory.
func memoryCase(r *run) (int, error) {
	store, err := newStore()
	if err != nil {
		return failed, err
	}
	if err := store.put("op/config", chatConfig(1)); err != nil {
		return failed, err
	}
	var engines []*engine
	for i := range 6 {
		e, err := startEngine(store, r.record, fmt.Sprintf("i-%d", i+1), "lm", 48, generate)
		if err != nil {
			return failed, err
		}
		engines = append(engines, e)
	}
	f, err := newFleet(r.dir, r.root, store, 2, memoryLimit, r.record)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return failed, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)

	factor := 1.0
	if r.trouble {
		factor = hotTenant
	}
	clients := int(usualClients * factor)
	r.record.add("%d clients of one tenant on each node, prompts of %d bytes", clients, maxBody)
	done := make(chan struct{})
	ends := make([]atomic.Int64, len(f.nodes))
	peaks := make([]atomic.Int64, len(f.nodes))
	var watch, wg sync.WaitGroup
	for i, n := range f.nodes {
		watch.Go(func() { n.guardMemory(done, &ends[i]) })
		watch.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
					peaks[i].Store(max(peaks[i].Load(), int64(n.allocatedMB())))
				}
			}
		})
	}
	t := &tally{record: r.record, engines: engines}
	end := time.Now().Add(35 * time.Second)
	for i, n := range f.nodes {
		for c := range clients {
			wg.Go(func() { t.draft(n, fmt.Sprintf("%d-%d", i, c), time.Duration(c)*80*time.Millisecond, end) })
		}
	}
	wg.Wait()
	close(done)
	watch.Wait()
	total := int64(0)
	for i, n := range f.nodes {
		r.record.add("%s: ended %d times over its memory, at most %d MB of %d", n.name(), ends[i].Load(), peaks[i].Load(), memoryLimit)
		total += ends[i].Load()
		fmt.Printf("%s: ended %d times, at most %d MB of %d\n", n.name(), ends[i].Load(), peaks[i].Load(), memoryLimit)
	}
	r.record.add("requests: %d whole, %d refused, %d cut in the answer, LOST: %d passed on from a kept connection and closed without an answer",
		t.whole.Load(), t.refused.Load(), t.cut.Load(), t.lost.Load())
	fmt.Printf("%d whole, %d refused, %d cut in the answer, %d lost without an answer\n", t.whole.Load(), t.refused.Load(), t.cut.Load(), t.lost.Load())
	if t.lost.Load() > 3 {
		return broken, nil
	}
	return held, nil
}

// generate answers as a model engine: the first event after the prefill, the others one by one.
func generate(e *engine, w http.ResponseWriter, r *http.Request, length int64) {
	if length < maxBody { // a short prompt, with a short answer
		stream(1, 10*time.Millisecond)(e, w, r, length)
		return
	}
	select {
	case <-time.After(prefill):
		stream(events, eventGap)(e, w, r, length)
	case <-r.Context().Done():
	}
}

// tally counts what the clients see.
type tally struct {
	record                    *record
	engines                   []*engine
	whole, refused, cut, lost atomic.Int64
}

func (t *tally) reached(id string) bool {
	for _, e := range t.engines {
		if e.ran(id) > 0 {
			return true
		}
	}
	return false
}

var longPrompt = bytes.Repeat([]byte("p"), maxBody)

// draft sends drafts one after the other on a kept connection. After a lost one it opens a new connection,
// with a short prompt first.
func (t *tally) draft(n *node, name string, after time.Duration, end time.Time) {
	time.Sleep(after)
	cl, kept := newClient(), false
	for k := 0; time.Now().Before(end); k++ {
		id := fmt.Sprintf("d-%s-%d", name, k)
		b := longPrompt
		if !kept {
			b = []byte("hello")
		}
		a := cl.call(n, "POST", "/draft/d", id, "k1", 12*time.Second, b, map[string]string{
			"Model": "m", "Token-Usage": "1300,140", "Prefix-Hash": fmt.Sprintf("5c1e07a2:800,%x:410", k),
		})
		switch {
		case a.status == http.StatusOK && a.err == nil:
			t.whole.Add(1)
		case a.status == http.StatusOK:
			t.cut.Add(1)
			t.record.add("client %s: %s is cut in its answer: %v", name, id, a.err)
		case a.status != 0:
			t.refused.Add(1)
			t.record.add("client %s: %s gets %d", name, id, a.status)
		case kept && t.reached(id):
			t.lost.Add(1)
			t.record.add("client %s: %s was passed on to an engine and gets no answer: %v", name, id, a.err)
		default:
			t.record.add("client %s: %s gets no connection: %v", name, id, a.err)
		}
		kept = a.status != 0 && a.err == nil
		if !kept {
			time.Sleep(300*time.Millisecond + rand.N(time.Second))
		}
	}
}
