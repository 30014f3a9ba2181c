package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// sameEnd is the maximum time between two nodes' reports of the same end of a target, as a third node dates them.
const sameEnd = closeReports + maxMessageDelay

// closeReports is the maximum time between two nodes' discoveries of the same end.
const closeReports = 500 * time.Millisecond

// termination is one end of a target.
type termination struct {
	target uint32
	ended  time.Time
}

// same reports whether two nodes' reports are of the same end.
func (a termination) same(b termination) bool {
	return a.target == b.target && a.ended.Sub(b.ended).Abs() <= sameEnd
}

// terminations are ends of targets, by target.
type terminations map[uint32][]time.Time

func (x terminations) add(e *entry) {
	for _, end := range e.ends {
		x[end.target] = append(x[end.target], end.ended)
	}
}

func (x terminations) contains(n termination) bool {
	return slices.ContainsFunc(x[n.target], func(ended time.Time) bool { return n.same(termination{n.target, ended}) })
}

// strikesBeyond returns the entry's strikes whose targets' ends aren't explained, oldest first.
func (e *entry) strikesBeyond(explained terminations) []end {
	var out []end
	for i, strike := range e.strikeFlags() {
		if strike && !explained.contains(termination{e.ends[i].target, e.ends[i].ended}) {
			out = append(out, e.ends[i])
		}
	}
	return out
}

// isOnlyCause reports whether all ends of targets between the first and the last of the strikes are the entry's own or
// explained.
func (e *entry) isOnlyCause(strikes []end, all []termination, explained terminations) bool {
	first, last := strikes[0].ended, strikes[len(strikes)-1].ended
	own := make(terminations)
	own.add(e)
	return !slices.ContainsFunc(all, func(n termination) bool {
		return n.ended.After(first) && n.ended.Before(last) && !own.contains(n) && !explained.contains(n)
	})
}

// hasRival reports whether one of the others was at all of the strikes' ends as well.
func (e *entry) hasRival(strikes []end, others []ranked) bool {
	return slices.ContainsFunc(others, func(o ranked) bool {
		if o.e == e {
			return false
		}
		at := make(terminations)
		at.add(o.e)
		return !slices.ContainsFunc(strikes, func(s end) bool { return !at.contains(termination{s.target, s.ended}) })
	})
}

// ranked is an entry to be ordered among others.
type ranked struct {
	f Fingerprint
	e *entry
}

// compare orders by the number of strikes, the most first, and then by the last activity, the latest first.
func (a ranked) compare(b ranked) int {
	return cmp.Or(
		cmp.Compare(b.e.strikeCount, a.e.strikeCount), b.e.lastActivity().Compare(a.e.lastActivity()), bytes.Compare(a.f[:], b.f[:]),
	)
}

// compareCause orders by the number of strikes, the most first. With as many strikes, requests come before parts:
// a part that is only in one request has ended no more targets than the request.
func (a ranked) compareCause(b ranked) int {
	return cmp.Or(cmp.Compare(b.e.strikeCount, a.e.strikeCount), isPartOrder(a.f, b.f), bytes.Compare(a.f[:], b.f[:]))
}

// isPartOrder orders requests before parts.
func isPartOrder(a, b Fingerprint) int {
	switch {
	case a.IsPart() == b.IsPart():
		return 0
	case b.IsPart():
		return -1
	}
	return 1
}

// convict sets which of the entries with enough strikes are in quarantine. What was in progress at the most ends
// comes first, and accounts for those ends: whatever else was in progress there needs enough strikes besides.
// Equals are judged together.
func convict(all []ranked, known []termination, cfg Config) {
	slices.SortFunc(all, ranked.compareCause)
	explained := make(terminations)
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].e.strikeCount == all[0].e.strikeCount && isPartOrder(all[0].f, all[n].f) == 0 {
			n++
		}
		for _, a := range all[:n] {
			a.e.judge(all[:n], known, explained, cfg)
		}
		for _, a := range all[:n] {
			if a.e.convicted {
				explained.add(a.e)
			}
		}
		all = all[n:]
	}
}

// judge decides whether the entry is in quarantine. equals are the entries of its kind with as many strikes, itself
// included.
func (e *entry) judge(equals []ranked, known []termination, explained terminations, cfg Config) {
	strikes := e.strikesBeyond(explained)
	needed := cfg.Strikes
	// Later terminations say nothing of the first strikes, so that they don't end a quarantine.
	first := strikes[:min(len(strikes), cfg.Strikes)]
	if e.part && len(first) > 0 && !(e.completed.IsZero() && e.isOnlyCause(first, known, explained) && !e.hasRival(first, equals)) {
		needed = cfg.UnclearStrikes
	}
	// What was at many explained ends as well may be another cause of them.
	if e.part && e.strikeCount >= cfg.UnclearStrikes {
		needed = min(needed, unexplainedOfMany)
	}
	e.convicted = len(strikes) >= needed
	if e.convicted {
		e.convictedAt = strikes[needed-1].ended
	}
}

// unexplainedOfMany is how many unexplained strikes a part needs that has Config.UnclearStrikes in all.
const unexplainedOfMany = 3
