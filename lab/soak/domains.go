package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	// evacuateFor is how long an evacuation lasts. No request may reach the domain later than
	// evacuateBound after its beginning, if neither the store nor the sending node was disrupted
	// in the last evacuateQuiet before the request.
	evacuateFor   = 8 * time.Second
	evacuateBound = 5 * time.Second
	evacuateQuiet = 4 * time.Second
	// A target that returns is cold for coldFor. The configuration allows it coldPerSecond
	// requests a second; it terminates at more than coldBound in any second.
	coldFor       = 3 * time.Second
	coldPerSecond = 4
	coldBound     = coldPerSecond*3/2 + 5
)

// limitCold is a change of the configuration that limits cold targets to coldPerSecond.
func limitCold(cfg map[string]any) {
	for _, s := range cfg["services"].([]any) {
		service := s.(map[string]any)
		service["cold_per_s"], service["cold_start_s"] = coldPerSecond, coldFor.Seconds()
	}
}

// domainCheck holds what the check of evacuated failure domains and cold targets needs.
type domainCheck struct {
	mu      sync.Mutex
	engines []*standin.Engine
	// evacuated holds the evacuations of each failure domain.
	evacuated map[string]*timeline
	// startCold is set if targets that are started from now on are cold.
	startCold bool
	// busy is held while a domain is evacuated or has no targets, so that two of the three domains
	// always serve.
	busy sync.Mutex
}

func (d *domainCheck) setCold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startCold = true
}

func (d *domainCheck) add(e *standin.Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines = append(d.engines, e)
}

func (d *domainCheck) cold() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startCold
}

func (d *domainCheck) evacuationsOf(domain string) *timeline {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.evacuated[domain]
	if !ok {
		t = &timeline{}
		d.evacuated[domain] = t
	}
	return t
}

// evacuate evacuates a failure domain and ends the evacuation later. It does nothing while another
// domain is evacuated or without targets, so that requests still have domains to go to.
func (r *run) evacuate(s Step) {
	domain := fmt.Sprint("zone-", s.Which%3)
	key := "op/evacuate/" + domain
	if !r.domains.busy.TryLock() {
		return
	}
	defer r.domains.busy.Unlock()
	r.store.Put(key, map[string]any{})
	end := r.domains.evacuationsOf(domain).begin()
	time.Sleep(min(evacuateFor, r.Length-calmAtEnd-s.At+evacuateBound/2))
	end()
	r.store.Remove(key)
}

// replaceDomain crashes all targets of a failure domain and later starts cold ones in their places,
// all at once. Like evacuate it does nothing while another domain is out of service.
func (r *run) replaceDomain(s Step) {
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
		defer r.targetFaultsOf(e.ID).begin()()
		e.Crash()
		r.store.Remove("servers/" + e.ID)
	}
	time.Sleep(s.For)
	for i, t := range lost {
		e := t.current()
		t.start(r, replacementID(e, Step{Variant: s.Variant + i}), e.Service, domain)
	}
}

// checkDomains checks the requests that reached evacuated failure domains and cold targets.
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
	evacuations := r.domains.evacuationsOf(domain)
	begun, ok := evacuations.last(run.Began)
	late := run.Began.Sub(begun)
	if !ok || late <= evacuateBound || !evacuations.overlaps(run.Began, run.Began) {
		return
	}
	from := run.Began.Add(-evacuateQuiet)
	n := r.sender(id)
	if r.lost.storeFaults.overlaps(from, run.Began) || n != nil && (n.disrupted.overlaps(from, run.Began) || n.starts.overlaps(from, run.Began)) {
		return
	}
	r.checker.broken("request %s ran at %s in %s %v after that was evacuated", id, run.Engine, domain, late)
}

// sender returns the node that handled a request, nil if none logged it.
func (r *run) sender(id string) *process {
	field := fmt.Sprintf(`"request":%q`, id)
	for _, n := range r.nodes {
		if strings.Contains(logs(n), field) {
			return n
		}
	}
	return nil
}
