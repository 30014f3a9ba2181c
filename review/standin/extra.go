package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

const (
	// shedShare is the share of requests that an engine rejects, extraShare the share of answers to
	// which a faulty engine hands out an extra one.
	shedShare  = 0.1
	extraShare = 0.03
	// plainWork is how long an engine works on a request.
	plainWork = 60 * time.Millisecond
)

// plainEngine is an engine of a plain service that answers on its connections byte by byte, so that it can
// hand out an extra answer late.
type plainEngine struct {
	id     string
	sheds  bool // rejects shedShare of its requests, as when it is full
	garble bool // hands out extra answers, late
	record *record

	mu     sync.Mutex
	rng    *rand.Rand
	runs   map[string]int
	extras int
}

func startPlainEngine(store *kvStore, rec *record, id string, sheds, garble bool) (*plainEngine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &plainEngine{
		id: id, sheds: sheds, garble: garble, record: rec, runs: make(map[string]int), rng: rand.New(rand.NewPCG(1, uint64(len(id)))),
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, store.put("servers/"+id, map[string]any{
		"service": "app", "address": ln.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1,
	})
}

func (e *plainEngine) draw(share float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < share
}

// serve serves one connection, one request at a time.
func (e *plainEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	var late []byte // an extra answer that is still to come
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if late != nil {
			e.record.add("engine %s: its extra answer comes now, as request %s waits for its own: %q", e.id, id, late)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		out := e.answer(req, id)
		if _, err := conn.Write(out); err != nil {
			return
		}
		if e.garble && e.draw(extraShare) {
			late = out
			e.mu.Lock()
			e.extras++
			e.mu.Unlock()
		}
	}
}

// answer runs a request, or rejects it as "fleetbench wire" shows: with Not-Executed alone.
func (e *plainEngine) answer(req *http.Request, id string) []byte {
	if want := req.Header.Get("Expect-Instance"); want != "" && want != e.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + e.id + "\r\nContent-Length: 0\r\n\r\n")
	}
	if e.sheds && e.draw(shedShare) {
		return []byte("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.record.add("engine %s runs %s", e.id, id)
	time.Sleep(plainWork)
	body := "done " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nEngine-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
		id, e.id, id, len(body), body)
}

// plainConfig is a configuration with one route that may not be repeated.
func plainConfig(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "notice", "host": "a.example", "prefix": "/notice/", "kind": "non_idempotent", "timeout_ms": 4000,
			"target_latency_ms": 300, "priority": 0, "service": "app", "max_attempts": 1, "allow_anonymous": false,
			"sticky": false, "stream_resume": false,
		}},
		"services": []any{map[string]any{
			"name": "app", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": keys}},
	}
}

// extraCase: an engine hands out an extra answer, late. A request that may not be repeated must not run twice.
func extraCase(r *run) (int, error) {
	store, err := newStore()
	if err != nil {
		return failed, err
	}
	if err := store.put("op/config", plainConfig(1, "k1")); err != nil {
		return failed, err
	}
	var engines []*plainEngine
	for i := range 5 {
		e, err := startPlainEngine(store, r.record, fmt.Sprintf("i-%d", i+1), true, r.trouble && i < 3)
		if err != nil {
			return failed, err
		}
		engines = append(engines, e)
	}
	f, err := newFleet(r.dir, r.root, store, 2, 284, r.record)
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

	const clients, lasts = 16, 40 * time.Second
	answers := make(map[string]answer)
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(lasts)
	for c := range clients {
		wg.Go(func() {
			cl := newClient()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("q-%d-%d", c, k)
				a := cl.call(f.nodes[c%2], "POST", "/notice/n", id, "k1", 4*time.Second, []byte("notice "+id), nil)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				if a.status != http.StatusOK {
					r.record.add("client %d: %s gets status %d, err %v", c, id, a.status, a.err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return judgeRuns(r, engines, answers), nil
}

// judgeRuns judges TWICE and REFUSED by what the engines ran and the clients were told.
func judgeRuns(r *run, engines []*plainEngine, answers map[string]answer) int {
	runs := make(map[string]int)
	extras := 0
	for _, e := range engines {
		e.mu.Lock()
		for id, n := range e.runs {
			runs[id] += n
		}
		extras += e.extras
		e.mu.Unlock()
	}
	var twice, refused []string
	ok := 0
	for id, a := range answers {
		if runs[id] > 1 {
			twice = append(twice, id)
		}
		if runs[id] > 0 && slices.Contains([]int{408, 421, 429, 503}, a.status) {
			refused = append(refused, id)
		}
		if a.status == http.StatusOK {
			ok++
		}
	}
	slices.Sort(twice)
	slices.Sort(refused)
	r.record.add("%d requests, %d answered 200, %d extra answers; TWICE: %d ran more than once %v; REFUSED: %d ran and were told they had not %v",
		len(answers), ok, extras, len(twice), twice, len(refused), refused)
	fmt.Printf("%d requests, %d answered 200, %d extra answers, %d ran more than once, %d ran and were refused\n",
		len(answers), ok, extras, len(twice), len(refused))
	if len(twice) > 0 {
		return broken
	}
	return held
}
