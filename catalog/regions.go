package catalog

import "slices"

// Regions is a set of allowed regions; nil allows any region, an empty list none.
type Regions []string

// Allow reports whether a region is allowed.
func (r Regions) Allow(region string) bool { return r == nil || slices.Contains(r, region) }

// Intersect returns the regions that both sets allow.
func (r Regions) Intersect(other Regions) Regions {
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
