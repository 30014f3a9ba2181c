package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	// evacuateFor is how long an evacuation lasts, evacuateBound how long after it began
	// nothing may reach the domain any more, if no harm came to the store or the sending
	// node in the evacuateContact before.
	evacuateFor     = 8 * time.Second
	evacuateBound   = 5 * time.Second
	evacuateContact = 4 * time.Second
	// A target that comes back is cold for coldFor. It bears coldPerSecond requests a
	// second by the configuration and ends at more than coldBound in any second.
	coldFor       = 3 * time.Second
	coldPerSecond = 4
	coldBound     = coldPerSecond*3/2 + 5
)

// limitCold is a change of the configuration by which cold targets bear coldPerSecond.
func limitCold(cfg map[string]any) {
	for _, s := range cfg["services"].([]any) {
		service := s.(map[string]any)
		service["cold_per_s"], service["cold_start_s"] = coldPerSecond, coldFor.Seconds()
	}
}

// domainsRule is what must hold of evacuated failure domains and cold targets.
type domainsRule struct {
	mu      sync.Mutex
	engines []*standin.Engine
	// evacuated are the evacuations of each failure domain.
	evacuated map[string]*timeline
	// returned says that targets that start now come back cold.
	returned bool
	// busy is held while a domain is evacuated or away, so that two are left.
	busy sync.Mutex
}

func (d *domainsRule) setCold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.returned = true
}

func (d *domainsRule) add(e *standin.Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines = append(d.engines, e)
}

func (d *domainsRule) cold() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.returned
}

func (d *domainsRule) of(domain string) *timeline {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.evacuated[domain]
	if !ok {
		t = &timeline{}
		d.evacuated[domain] = t
	}
	return t
}

// evacuate has a failure domain evacuated and taken back, unless another is: one is to
// be left for the requests.
func (r *run) evacuate(s Step) {
	domain := fmt.Sprint("zone-", s.Which%3)
	key := "op/evacuate/" + domain
	if !r.domains.busy.TryLock() {
		return
	}
	defer r.domains.busy.Unlock()
	r.store.Put(key, map[string]any{})
	end := r.domains.of(domain).begin()
	time.Sleep(min(evacuateFor, r.Length-calmAtEnd-s.At+evacuateBound/2))
	end()
	r.store.Remove(key)
}

// coldReturn has all targets of a failure domain end, and others start in their places
// together, cold.
func (r *run) coldReturn(s Step) {
	domain := fmt.Sprint("zone-", s.Which%3)
	if !r.domains.busy.TryLock() {
		return
	}
	defer r.domains.busy.Unlock()
	r.domains.setCold()
	var lost []*target
	r.mu.Lock()
	for _, t := range r.targets {
		if t.current().Zone == domain {
			lost = append(lost, t)
		}
	}
	r.mu.Unlock()
	for _, t := range lost {
		e := t.current()
		defer r.harmOf(e.ID).begin()()
		e.Crash()
		r.store.Remove("servers/" + e.ID)
	}
	time.Sleep(s.For)
	for i, t := range lost {
		e := t.current()
		t.put(r, replacement(e, Step{Fault: s.Fault + i}), e.Service, domain)
	}
}

// checkDomains checks what reached evacuated failure domains and cold targets.
func (r *run) checkDomains() {
	r.domains.mu.Lock()
	engines := r.domains.engines
	r.domains.mu.Unlock()
	domainOf := make(map[string]string)
	for _, e := range engines {
		domainOf[e.ID] = e.Zone
		if all, most := e.ColdArrivals(); most > coldBound {
			r.checker.broken("cold target %s got %d requests in a second, %d in all", e.ID, most, all)
		}
	}
	for _, id := range r.journal.IDs() {
		for _, run := range r.journal.Runs(id) {
			r.checkEvacuated(id, run, domainOf[run.Engine])
		}
	}
}

func (r *run) checkEvacuated(id string, run standin.Run, domain string) {
	evacuations := r.domains.of(domain)
	begun, ok := evacuations.last(run.Began)
	late := run.Began.Sub(begun)
	if !ok || late <= evacuateBound || !evacuations.touches(run.Began, run.Began) {
		return
	}
	from := run.Began.Add(-evacuateContact)
	n := r.sender(id)
	if r.lost.core.touches(from, run.Began) || n != nil && (n.harmed.touches(from, run.Began) || n.begun.touches(from, run.Began)) {
		return
	}
	r.checker.broken("request %s ran at %s in %s %v after that was evacuated", id, run.Engine, domain, late)
}

// sender returns the node that a request went through, nil if none logged it.
func (r *run) sender(id string) *process {
	field := fmt.Sprintf(`"request":%q`, id)
	for _, n := range r.nodes {
		if strings.Contains(logs(n), field) {
			return n
		}
	}
	return nil
}
