package replica

import (
	"maps"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// After the store came back from an older copy of itself, its entries may be older than what the node knows, until the
// operator and the targets have written theirs again. The node takes each entry for what it is worth:
//
//   - a configuration by its version, see putCatalog;
//   - a target's entry by the sequence number of the run that wrote it;
//   - a target that the store lacks is kept for roster.OutageGrace;
//   - a target known to be gone whose entry is back, and evacuations that began or ended, as the node knows them, until their
//     keys are written again or holdTime has passed.

// holdTime is how long a node holds what it knows against a restored store. The operator and the targets write
// again within about two seconds, and the store removes the entry of a target that is gone after three intervals
// of its heartbeats.
const holdTime = 5 * time.Second

// holds are keys whose restored state isn't in force yet.
type holds struct {
	until time.Time
	// targets are the keys of targets that are known to be gone.
	targets map[string]bool
	// evacuations are keys of evacuations; true if the domain is known to be evacuated.
	evacuations map[string]bool
}

func newHolds(until time.Time) holds {
	return holds{until: until, targets: make(map[string]bool), evacuations: make(map[string]bool)}
}

// release ends the hold on a key that was written or removed in the store's era.
func (h *holds) release(key string) {
	delete(h.targets, key)
	delete(h.evacuations, key)
}

func (h *holds) isEmpty() bool { return len(h.targets)+len(h.evacuations) == 0 }

// isRestored reports whether the position is one after a return of the store that this copy hasn't seen. A copy in
// era 0 may come from nodes whose release knows no eras: then only a lower revision shows a return.
func (c *copyState) isRestored(position int64) bool {
	return c.isInLaterEra(position) && (store.EraOf(c.revision) > 0 || store.RevisionOf(position) < store.RevisionOf(c.revision))
}

// isInLaterEra reports whether the position is in a later era than this copy, which isn't empty.
func (c *copyState) isInLaterEra(position int64) bool {
	return c.revision > 0 && store.EraOf(position) > store.EraOf(c.revision)
}

// restoration is what a node does with a restored list, for its log.
type restoration struct {
	before, after int64
	// lacked is the number of known targets that the list lacks, older the number of entries that are older than
	// the known ones, held the number of holds.
	lacked, older, held int
}

// reconcile prepares the copy for a complete list of a store in a later era. The history of the earlier era is
// dropped, so that nodes which have a copy of that era get a full one.
func (c *copyState) reconcile(got CopyReply, now time.Time) restoration {
	out := restoration{before: c.revision, after: got.Revision}
	if c.isRestored(got.Revision) {
		c.registry.MarkOutage(now)
		c.returned = true
	}
	before := c.holds
	c.holds = newHolds(now.Add(holdTime))
	listed := make(map[string]bool, len(got.Entries))
	for _, e := range got.Entries {
		listed[e.Key] = true
		switch {
		case c.isTarget(e.Key):
			c.reconcileTarget(e, &out)
		case c.isEvacuation(e.Key):
			c.reconcileEvacuation(e)
		}
	}
	for key := range c.targets {
		if !listed[key] {
			out.lacked++
		}
	}
	for key := range c.evacuations {
		if !listed[key] && got.Evacuations {
			c.holds.evacuations[key] = true
		}
	}
	for key, evacuated := range before.evacuations {
		if evacuated && !listed[key] {
			c.holds.evacuations[key] = true
		}
	}
	out.held = len(c.holds.targets) + len(c.holds.evacuations)
	c.history = newHistory()
	c.history.discardedUpTo = store.Position(store.EraOf(got.Revision), 0)
	return out
}

// reconcileTarget holds the entry of a target that is known to be gone, and counts one that is older than the known one.
func (c *copyState) reconcileTarget(e Entry, out *restoration) {
	t, err := c.schema.DecodeTarget(e.Key, e.Value)
	if err != nil {
		return
	}
	last, removed := c.removals[e.Key]
	switch {
	case removed && !c.registry.IsExpected(t.ID):
		if !last.precedes(e, t.Sequence) {
			c.holds.targets[e.Key] = true
		}
	case c.targets[e.Key].isLaterWriteThan(t):
		out.older++
	}
}

// reconcileEvacuation holds an evacuation that is known to have ended, unless it was written again. A write of the
// earlier era keeps its revision in a copy.
func (c *copyState) reconcileEvacuation(e Entry) {
	if last, removed := c.removals[e.Key]; removed && last.revision == store.RevisionOf(e.Revision) {
		c.holds.evacuations[e.Key] = false
	}
}

// removal is what a node knows of an entry that was removed.
type removal struct {
	// revision is that of the entry's last write in its era, sequence the number of that write among those of its run.
	revision int64
	sequence uint64
	at       time.Time
}

// precedes reports whether an entry was written after the removal: it isn't the removed write, and a later one of
// its run.
func (r removal) precedes(e Entry, sequence uint64) bool {
	return sequence > r.sequence && store.RevisionOf(e.Revision) != r.revision
}

// removals holds the latest removals by key. Copies of the store are some seconds old when it is restored from them.
type removals map[string]removal

const (
	// maxRemovals bounds the removals that are kept, about 100 bytes each.
	maxRemovals = 8192
	// removalTTL is how long a removal is kept if there are more.
	removalTTL = time.Minute
)

func (r removals) addTarget(e heldEntry, now time.Time) {
	r.add(e.Key, removal{revision: store.RevisionOf(e.Revision), sequence: e.sequence, at: now}, now)
}

func (r removals) add(key string, v removal, now time.Time) {
	if len(r) >= maxRemovals {
		maps.DeleteFunc(r, func(_ string, old removal) bool { return now.Sub(old.at) > removalTTL })
	}
	if len(r) < maxRemovals {
		r[key] = v
	}
}

// releaseHolds puts the restored state of all held keys into force when holdTime has passed.
func (c *copyState) releaseHolds(now time.Time) changes {
	if c.holds.isEmpty() || now.Before(c.holds.until) {
		return changes{}
	}
	var out changes
	held := c.holds
	c.holds = holds{}
	for key := range held.targets {
		delete(c.removals, key)
		if e, ok := c.targets[key]; ok {
			out.targets = c.putTarget(e.Entry, now) || out.targets
		}
	}
	if len(held.evacuations) > 0 {
		out.evacuations = true
		out.targets = c.registry.Evacuate(c.evacuatedDomains(), now) || out.targets
	}
	return out
}
