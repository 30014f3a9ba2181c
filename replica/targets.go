package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/knapweedgw/knapweedgw/roster"
)

// heldEntry is a target's entry with the ID of the target.
type heldEntry struct {
	Entry
	// id is the ID of the target that the last usable entry under this key described, empty if
	// there was none.
	id string
	// started and sequence are those of the entry, see roster.Target.
	started  time.Time
	sequence uint64
}

// isLaterWriteThan reports whether the run that wrote t has written this entry later. Only a store that was restored
// from an older copy has t then.
func (h heldEntry) isLaterWriteThan(t roster.Target) bool {
	return h.id == t.ID && h.started.Equal(t.Started) && h.sequence > t.Sequence
}

func (c *copyState) isTarget(key string) bool { return strings.HasPrefix(key, c.schema.TargetPrefix()) }

// decodeTarget decodes an entry. An entry that another node found unusable comes without its
// value.
func (c *copyState) decodeTarget(e Entry) (roster.Target, error) {
	if e.Fault != "" {
		return roster.Target{}, &roster.EntryError{Fault: normalizeFault(e.Fault)}
	}
	t, err := c.schema.DecodeTarget(e.Key, e.Value)
	if err == nil && t.Started.IsZero() && c.registry.IsSuperseded(t) {
		// A target that reports its start time always does, so another writer wrote this entry.
		err = &roster.EntryError{Fault: roster.MissingField, Field: "start"}
	}
	return t, err
}

// normalizeFault maps faults that this release doesn't define, as other releases may send them,
// to roster.BadFormat.
func normalizeFault(f roster.EntryFault) roster.EntryFault {
	if slices.Contains(roster.EntryFaults, f) {
		return f
	}
	return roster.BadFormat
}

// storeEntry stores a written entry and returns the target to put into the registry; ok is false
// if there is none. An entry that doesn't describe a usable target withdraws the target that
// the key described before.
func (c *copyState) storeEntry(e Entry, before map[string]heldEntry) (t roster.Target, ok bool) {
	last, known := before[e.Key]
	delete(c.later, e.Key)
	t, err := c.decodeTarget(e)
	switch {
	case err != nil:
		if !known || last.Revision != e.Revision {
			c.onUnusable(e.Key, e.Revision, err)
		}
		c.targets[e.Key] = heldEntry{Entry: e.withFault(faultOf(err)), id: last.id}
		return c.registry.AsWithdrawn(last.id)
	case known && last.isLaterWriteThan(t):
		last.Revision = e.Revision
		c.targets[e.Key] = last
		c.later[e.Key] = true
		t, err = c.decodeTarget(last.Entry)
		return t, err == nil
	case !c.registry.IsSuperseded(t):
		c.targets[e.Key] = heldEntry{Entry: e, id: t.ID, started: t.Started, sequence: t.Sequence}
	case known:
		c.targets[e.Key] = last // send the entry of the later run to other nodes
	}
	return t, true
}

// withFault returns an unusable entry as it is kept and sent to other nodes: without its value,
// which may be large.
func (e Entry) withFault(f roster.EntryFault) Entry {
	e.Value, e.Packed, e.Fault = nil, false, f
	return e
}

// replaceTargets replaces all targets by those in entries.
func (c *copyState) replaceTargets(entries []Entry, now time.Time) bool {
	before := c.targets
	c.targets = make(map[string]heldEntry, len(entries))
	list := make([]roster.Target, 0, len(entries))
	for _, e := range entries {
		t, ok := c.storeEntry(e, before)
		if c.holds.targets[e.Key] {
			continue
		}
		delete(c.removals, e.Key)
		if ok {
			list = append(list, t)
		}
	}
	for key, e := range before {
		if _, listed := c.targets[key]; !listed {
			delete(c.later, key)
			c.removals.addTarget(e, now)
		}
	}
	return c.registry.Reset(list, now)
}

// applyTargetChange applies one change of a target's entry.
func (c *copyState) applyTargetChange(e Entry, now time.Time) bool {
	c.holds.release(e.Key)
	if e.Removed {
		changed := c.removeTarget(e.Key, now)
		c.recordChange(e)
		return changed
	}
	delete(c.removals, e.Key)
	changed := c.putTarget(e, now)
	if c.targets[e.Key].Revision == e.Revision {
		c.recordChange(e)
	}
	return changed
}

// putTarget stores a written entry and puts its target into the registry.
func (c *copyState) putTarget(e Entry, now time.Time) bool {
	t, ok := c.storeEntry(e, c.targets)
	return ok && c.registry.Put(t, now)
}

// recordChange records a change in the history, for other nodes.
func (c *copyState) recordChange(e Entry) {
	if e.Removed {
		c.history.remove(e.Key, e.Revision)
	} else {
		c.history.put(e.Key, e.Revision)
	}
	c.history.trim(len(c.targets) + len(c.evacuations))
}

func (c *copyState) removeTarget(key string, now time.Time) bool {
	last, ok := c.targets[key]
	delete(c.targets, key)
	delete(c.later, key)
	if ok {
		c.removals.addTarget(last, now)
	}
	return ok && last.id != "" && c.registry.Remove(last.id, now)
}
