package main

import (
	"fmt"
	"net/http"
	"time"
)

// keysCase: a key is taken away from a connected client whose route also serves callers without a key.
func keysCase(r *run) (int, error) {
	store, err := newStore()
	if err != nil {
		return failed, err
	}
	config := func(version int, keys ...string) map[string]any {
		c := plainConfig(version, keys...)
		c["routes"].([]any)[0].(map[string]any)["allow_anonymous"] = true
		return c
	}
	if err := store.put("op/config", config(1, "k1", "k2")); err != nil {
		return failed, err
	}
	var engines []*plainEngine
	for i := range 3 {
		e, err := startPlainEngine(store, r.record, fmt.Sprintf("i-%d", i+1), false, false)
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
	time.Sleep(4 * time.Second)
	clients := []*client{newClient(), newClient()}
	sent, late, ran := 0, 0, 0
	var acked time.Time
	const applied = 2 * time.Second // config_apply_ms
	for k := range 80 {
		if k == 20 && r.trouble {
			if err := store.put("op/config", config(2, "k1")); err != nil {
				return failed, err
			}
			acked = time.Now()
			r.record.add("operator: version 2 without the key k2 is acknowledged")
		}
		id := fmt.Sprintf("q-%d", k)
		after := !acked.IsZero() && time.Since(acked) > applied
		a := clients[k%2].call(f.nodes[k%2], "POST", "/notice/n", id, "k2", 4*time.Second, []byte("x"), nil)
		runs := 0
		for _, e := range engines {
			e.mu.Lock()
			runs += e.runs[id]
			e.mu.Unlock()
		}
		sent++
		if after {
			late++
			if runs > 0 && a.status == http.StatusOK {
				ran++
			}
		}
		r.record.add("client: %s with key k2 gets %d, runs %d, later than config_apply_ms after the key was taken away: %t", id, a.status, runs, after)
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Printf("%d requests with the key, %d of them too late, %d of those ran\n", sent, late, ran)
	r.record.add("%d requests with the key, %d later than %s after it was taken away, %d of those ran", sent, late, applied, ran)
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}
