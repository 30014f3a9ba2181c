package roster

import "time"

// Evacuate replaces the set of evacuated failure domains. It returns true if that changes a
// target.
func (k *Registry) Evacuate(domains map[string]bool, now time.Time) bool {
	k.evacuated = domains
	changed := false
	for id, t := range k.targets {
		if t.Evacuated == domains[t.FailureDomain] {
			continue
		}
		next := *t
		next.Evacuated = !t.Evacuated
		if t.Evacuated {
			next.EvacuationEnded = now
		}
		k.set(id, &next)
		changed = true
	}
	return changed
}

// CountInDomain returns the number of targets in a failure domain.
func (k *Registry) CountInDomain(domain string) int {
	n := 0
	for _, t := range k.targets {
		if t.FailureDomain == domain {
			n++
		}
	}
	return n
}
