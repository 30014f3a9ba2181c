package replica

import (
	"bytes"
	"maps"
	"strings"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// The operator evacuates a failure domain by writing a key that names it, and ends the
// evacuation by deleting the key. Only the key counts, whatever its value: a value that can't
// be decoded must not send work to a domain that the operator wants empty.

func (c *copyState) isEvacuation(key string) bool {
	return strings.HasPrefix(key, c.schema.EvacuationPrefix())
}

// replaceEvacuations replaces all evacuations by those in entries.
func (c *copyState) replaceEvacuations(entries []Entry, now time.Time) changes {
	before := c.evacuations
	c.evacuations = make(map[string]Entry, len(entries))
	for _, e := range entries {
		if before[e.Key].Revision != e.Revision {
			c.reportInvalidEvacuation(e)
		}
		c.evacuations[e.Key] = e.truncated()
	}
	for key, e := range before {
		if _, listed := c.evacuations[key]; !listed && !c.holds.evacuations[key] {
			c.removals.add(key, removal{revision: store.RevisionOf(e.Revision), at: now}, now)
		}
	}
	if sameKeys(before, c.evacuations) {
		return changes{}
	}
	return changes{evacuations: true, targets: c.registry.Evacuate(c.evacuatedDomains(), now)}
}

func sameKeys(a, b map[string]Entry) bool {
	return maps.EqualFunc(a, b, func(Entry, Entry) bool { return true })
}

// applyEvacuation applies one change of an evacuation key.
func (c *copyState) applyEvacuation(e Entry, now time.Time) changes {
	last, known := c.evacuations[e.Key]
	_, held := c.holds.evacuations[e.Key]
	c.holds.release(e.Key)
	if e.Removed {
		delete(c.evacuations, e.Key)
		c.removals.add(e.Key, removal{revision: store.RevisionOf(last.Revision), at: now}, now)
	} else {
		delete(c.removals, e.Key)
		c.reportInvalidEvacuation(e)
		e = e.truncated()
		c.evacuations[e.Key] = e
	}
	c.recordChange(e)
	if known != e.Removed && !held {
		return changes{}
	}
	return changes{evacuations: true, targets: c.registry.Evacuate(c.evacuatedDomains(), now)}
}

// evacuatedDomains returns the names of the evacuated failure domains.
func (c *copyState) evacuatedDomains() map[string]bool {
	out := make(map[string]bool, len(c.evacuations))
	name := func(key string) string { return strings.TrimPrefix(key, c.schema.EvacuationPrefix()) }
	for key := range c.evacuations {
		out[name(key)] = true
	}
	for key, evacuated := range c.holds.evacuations {
		if evacuated {
			out[name(key)] = true
		} else {
			delete(out, name(key))
		}
	}
	return out
}

// reportInvalidEvacuation reports a value that can't be decoded. It is called once per change.
func (c *copyState) reportInvalidEvacuation(e Entry) {
	if err := c.schema.CheckEvacuation(e.Value); err != nil {
		c.onInvalid(e.Key, e.Revision, err)
	}
}

// maxEvacuationValue bounds the value of an evacuation that is kept and passed on, in bytes.
// Operators write empty objects.
const maxEvacuationValue = 256

func (e Entry) truncated() Entry {
	if len(e.Value) > maxEvacuationValue {
		e.Value = bytes.Clone(e.Value[:maxEvacuationValue])
	}
	return e
}
