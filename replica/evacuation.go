package replica

import (
	"bytes"
	"maps"
	"strings"
	"time"
)

// The operator evacuates a failure domain by a key that names it, and takes it back by
// removing the key. What the key names counts, whatever its value: a domain that the
// operator wants empty must not get work because of a value that can't be read.

func (c *copyState) isEvacuation(key string) bool {
	return strings.HasPrefix(key, c.schema.EvacuationPrefix())
}

// putEvacuations replaces all evacuations by those of the entries.
func (c *copyState) putEvacuations(entries []Entry, now time.Time) changes {
	before := c.evacuations
	c.evacuations = make(map[string]Entry, len(entries))
	for _, e := range entries {
		if before[e.Key].Revision != e.Revision {
			c.checkEvacuation(e)
		}
		c.evacuations[e.Key] = e.shortened()
	}
	if sameKeys(before, c.evacuations) {
		return changes{}
	}
	return changes{evacuations: true, targets: c.keeper.Evacuate(c.evacuated(), now)}
}

func sameKeys(a, b map[string]Entry) bool {
	return maps.EqualFunc(a, b, func(Entry, Entry) bool { return true })
}

// changeEvacuation takes one change of an evacuation's key.
func (c *copyState) changeEvacuation(e Entry, now time.Time) changes {
	_, known := c.evacuations[e.Key]
	if e.Removed {
		delete(c.evacuations, e.Key)
	} else {
		c.checkEvacuation(e)
		e = e.shortened()
		c.evacuations[e.Key] = e
	}
	c.remember(e)
	if known != e.Removed {
		return changes{}
	}
	return changes{evacuations: true, targets: c.keeper.Evacuate(c.evacuated(), now)}
}

// evacuated returns the names of the evacuated failure domains.
func (c *copyState) evacuated() map[string]bool {
	out := make(map[string]bool, len(c.evacuations))
	for key := range c.evacuations {
		out[strings.TrimPrefix(key, c.schema.EvacuationPrefix())] = true
	}
	return out
}

// checkEvacuation reports a value that can't be read, once a change.
func (c *copyState) checkEvacuation(e Entry) {
	if err := c.schema.CheckEvacuation(e.Value); err != nil {
		c.problems(e.Key, e.Revision, err)
	}
}

// maxEvacuationValue bounds the value of an evacuation that is kept and passed on, in
// bytes. The operator's are empty objects.
const maxEvacuationValue = 256

func (e Entry) shortened() Entry {
	if len(e.Value) > maxEvacuationValue {
		e.Value = bytes.Clone(e.Value[:maxEvacuationValue])
	}
	return e
}
