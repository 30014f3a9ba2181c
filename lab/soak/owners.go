package soak

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
	"github.com/knapweedgw/knapweedgw/routing"
)

const (
	// ownedSlots is the number of slots of the plain service's targets in the profile Owners: three
	// targets have 6 places, fewer than 2 per node from 4 nodes on. An owner grants up to half of
	// the slots more, so that a target stays busy between two requests.
	ownedSlots     = 2
	ownedPerTarget = ownedSlots + ownedSlots/2
	ownedPlaces    = 3 * ownedPerTarget
	// endSlack is how much earlier a run may have ended for its node than for the target, which
	// records the end after its answer or after the connection was closed.
	endSlack = 100 * time.Millisecond
)

// OwnedRuns counts the runs of a service whose places an owner grants.
type OwnedRuns struct {
	// Granted are runs at places that an owner granted, Fallback those that a node chose by its own
	// counts, and QuietGranted and QuietFallback those that began long after the last disruption.
	Granted, Fallback, QuietGranted, QuietFallback int
	// Waited is the number of requests that waited at an owner.
	Waited int
	// Why counts the requests whose node chose by its own counts, by the reason that it logged.
	Why map[string]int
	// MostGranted is the largest number of granted runs in progress at once, of ownedPlaces places.
	MostGranted int
}

// owner returns the node that owns the places of the plain service, or the next one.
func (r *run) owner(s Step) *process {
	cell := routing.Hash(standin.ServicePool + "/0")
	rank := func(n *process) uint64 { return routing.Rank(cell, routing.Key(routing.Hash(n.peer))) }
	order := slices.SortedFunc(slices.Values(r.nodes), func(a, b *process) int { return cmp.Compare(rank(b), rank(a)) })
	if s.Variant%3 == 0 {
		return order[1]
	}
	return order[0]
}

// ownedLine has the fields of a request's log line that tell how it got its place.
type ownedLine struct {
	Request  string
	Waited   int    `json:"waited_ms"`
	Fallback string `json:"owner_fallback"`
}

// ownedLines returns the last log line of each request that asked an owner, by request ID.
func (r *run) ownedLines() map[string]ownedLine {
	lines := make(map[string]ownedLine)
	for _, n := range r.nodes {
		for logged := range strings.Lines(logs(n)) {
			var l ownedLine
			// A line that a kill cut off can't be decoded; its request counts as unknown.
			if strings.Contains(logged, `"waited_ms"`) && json.Unmarshal([]byte(logged), &l) == nil {
				lines[l.Request] = l
			}
		}
	}
	return lines
}

// ownedRun is a run at a target of the plain service.
type ownedRun struct {
	standin.Run
	request string
	// granted is set if an owner granted the place and the request ran only once, so that its log
	// line belongs to this run.
	granted bool
}

// runsAt returns the number of runs in progress when x began that match, x included.
func (x ownedRun) runsAt(all []ownedRun, match func(ownedRun) bool) int {
	n := 0
	for _, o := range all {
		if match(o) && !o.Began.After(x.Began) && (o.Ended.IsZero() || o.Ended.Add(-endSlack).After(x.Began) || o.request == x.request) {
			n++
		}
	}
	return n
}

// checkOwners checks, in the profile Owners, that granted requests don't take targets over their
// places: at each target after a quiet period, and fewer than twice the places in all at any time,
// which is the bound while two nodes both own them.
func (r *run) checkOwners() {
	if r.Profile != Owners {
		return
	}
	lines, out := r.ownedLines(), &OwnedRuns{Why: make(map[string]int)}
	r.checker.report.Owned = out
	for _, l := range lines {
		if l.Waited > 0 {
			out.Waited++
		}
		if l.Fallback != "" {
			out.Why[l.Fallback]++
		}
	}
	var all []ownedRun
	for _, id := range r.journal.IDs() {
		runs := r.journal.Runs(id)
		l, known := lines[id]
		for _, run := range runs {
			if run.Service != standin.ServicePool {
				continue
			}
			all = append(all, ownedRun{run, id, known && l.Fallback == "" && len(runs) == 1})
			if l.Fallback != "" {
				out.Fallback++
				if r.quiet(run.Began) {
					out.QuietFallback++
				}
			}
		}
	}
	for _, x := range all {
		if !x.granted {
			continue
		}
		out.Granted++
		granted := x.runsAt(all, func(o ownedRun) bool { return o.granted })
		out.MostGranted = max(out.MostGranted, granted)
		if granted >= 2*ownedPlaces {
			r.checker.broken("request %s was granted a place with %d of %d in use", x.request, granted, ownedPlaces)
		}
		if !r.quiet(x.Began) {
			continue
		}
		out.QuietGranted++
		if here := x.runsAt(all, func(o ownedRun) bool { return o.Engine == x.Engine }); here > ownedPerTarget {
			r.checker.broken("request %s was granted a place at %s, which has %d requests for %d places", x.request, x.Engine, here, ownedPerTarget)
		}
	}
	if out.Granted == 0 {
		r.checker.broken("no request was granted a place by an owner")
	}
}

// quiet reports whether no node, no target of the plain service and not the store was disrupted
// within quietPeriod before at.
func (r *run) quiet(at time.Time) bool {
	from := at.Add(-quietPeriod)
	l := r.lost
	if l.storeFaults.overlaps(from, at) || l.stalls.overlaps(from, at) || l.configChanges.overlaps(from, at) {
		return false
	}
	for _, n := range r.nodes {
		if n.disrupted.overlaps(from, at) || n.starts.overlaps(from, at) || n.stopSignals.overlaps(from, at) {
			return false
		}
	}
	return !slices.ContainsFunc(r.targets, func(t *target) bool {
		return r.targetFaultsOf(t.current().ID).overlaps(from, at)
	})
}
