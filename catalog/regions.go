package catalog

import "slices"

// Regions are those to which something is confined; nil is any, an empty list none.
type Regions []string

// Allow says whether a region is among them.
func (r Regions) Allow(region string) bool { return r == nil || slices.Contains(r, region) }

// And returns the regions that both allow.
func (r Regions) And(other Regions) Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	both := Regions{}
	for _, region := range r {
		if other.Allow(region) {
			both = append(both, region)
		}
	}
	return both
}
