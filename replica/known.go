package replica

import (
	"context"
	"maps"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// A node that starts after the store came back from an older copy can't tell which entries are older than what the
// others know. It asks one of them.

const (
	// maxQuestions bounds how many nodes a starting node asks, one after the other. Most of them may have just started
	// as well.
	maxQuestions = 8
	// questionInterval is the time between two questions.
	questionInterval = 100 * time.Millisecond
)

// Known is what a node knows better than the store, besides the entries in the same reply, which their targets wrote
// later than what the store has.
type Known struct {
	// RemainingMillis is how long the node holds the rest against the store.
	RemainingMillis int64 `json:"remaining_ms"`
	// Gone are entries of targets that are gone.
	Gone []GoneEntry `json:"gone,omitempty"`
	// Evacuations are keys of evacuations; true if the domain is evacuated.
	Evacuations map[string]bool `json:"evacuations,omitempty"`
}

// GoneEntry is an entry of a target that is gone, by its last write.
type GoneEntry struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Sequence uint64 `json:"sequence"`
}

// replyKnown returns what this copy has better than the store, for use without a lock.
func (c *copyState) replyKnown(now time.Time) CopyReply {
	out := CopyReply{Revision: c.revision, Head: c.revision, Known: &Known{}}
	for key := range c.later {
		out.Entries = append(out.Entries, c.targets[key].Entry)
	}
	if c.holds.isEmpty() {
		return out
	}
	out.Known.RemainingMillis = max(c.holds.until.Sub(now).Milliseconds(), 0)
	out.Known.Evacuations = maps.Clone(c.holds.evacuations)
	for key := range c.holds.targets {
		last := c.removals[key]
		out.Known.Gone = append(out.Known.Gone, GoneEntry{Key: key, Revision: last.revision, Sequence: last.sequence})
	}
	return out
}

// applyKnown applies what another node knows better than the store, but for keys that changed after that node's position.
func (c *copyState) applyKnown(got CopyReply, now time.Time) changes {
	var out changes
	if got.Known == nil || store.EraOf(got.Revision) != store.EraOf(c.revision) {
		return out
	}
	until := now.Add(min(time.Duration(got.Known.RemainingMillis)*time.Millisecond, holdTime))
	if c.holds.isEmpty() {
		c.holds = newHolds(until)
	}
	for _, e := range got.Entries {
		out.targets = c.applyLater(e, got.Revision, now) || out.targets
	}
	for _, g := range got.Known.Gone {
		out.targets = c.holdGone(g, got.Revision, now) || out.targets
	}
	for key, evacuated := range got.Known.Evacuations {
		if c.isEvacuation(key) && !c.changedSince(key, got.Revision) {
			c.holds.evacuations[key] = evacuated
			out.evacuations = true
		}
	}
	if out.evacuations {
		out.targets = c.registry.Evacuate(c.evacuatedDomains(), now) || out.targets
	}
	return out
}

// applyLater applies an entry that the store has from an earlier write of the same run.
func (c *copyState) applyLater(e Entry, position int64, now time.Time) (changed bool) {
	held, ok := c.targets[e.Key]
	if !ok || c.changedSince(e.Key, position) {
		return false
	}
	t, err := c.decodeTarget(e)
	if err != nil || held.id != t.ID || !held.started.Equal(t.Started) || t.Sequence <= held.sequence {
		return false
	}
	e.Revision = held.Revision
	changed = c.putTarget(e, now)
	c.later[e.Key] = true
	return changed
}

// holdGone holds the entry of a target that is gone, unless the entry was written later.
func (c *copyState) holdGone(g GoneEntry, position int64, now time.Time) (changed bool) {
	held, ok := c.targets[g.Key]
	last := removal{revision: g.Revision, sequence: g.Sequence, at: now}
	if !ok || held.id == "" || c.changedSince(g.Key, position) || last.precedes(held.Entry, held.sequence) {
		return false
	}
	c.removals.add(g.Key, last, now)
	c.holds.targets[g.Key] = true
	return c.registry.Forget(held.id)
}

// changedSince reports whether a key is known to have changed after a position.
func (c *copyState) changedSince(key string, position int64) bool {
	return c.history.last[key].revision > position
}

// questionDue returns a node to ask, if this one has just started in a store that states its era, and has a copy.
func (r *Replica) questionDue() (node string, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.isQuestionDue(now) {
		return "", false
	}
	if node, due = r.peers.Ahead(0, 0); due {
		r.asking, r.lastQuestion = true, now
		r.questions++
	}
	return node, due
}

// isQuestionDue reports whether this node should ask another one now. Callers must hold r.mu.
func (r *Replica) isQuestionDue(now time.Time) bool {
	hasCopy := store.EraOf(r.state.revision) > 0 && !r.state.incomplete
	mayAsk := !r.asking && r.questions < maxQuestions && now.Sub(r.lastQuestion) >= questionInterval
	return hasCopy && mayAsk && !r.isInformed()
}

// isInformed reports whether this node knows all that others know better than the store: it was told, or has been running
// for longer than that may be held. Callers must hold r.mu.
func (r *Replica) isInformed() bool {
	return r.informed || r.state.returned || r.now().Sub(r.startedAt) >= holdTime
}

// ask asks a node what it knows better than the store.
func (r *Replica) ask(ctx context.Context, node string) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	r.mu.Lock()
	req := r.state.copyRequest()
	r.mu.Unlock()
	req.Known = true
	var got CopyReply
	err := r.network.Call(ctx, node, copyMethod, req.onWire(), &got)
	if err == nil {
		got, err = got.unpackEntries()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asking = false
	if err != nil || got.Known == nil {
		r.log.Info("a node did not tell what it knows better than the store", "peer", node, "questions", r.questions, "err", err)
		return
	}
	got = got.fromWire()
	r.informed = store.EraOf(got.Revision) == store.EraOf(r.state.revision)
	r.log.Info("asked a node what it knows better than the store", "peer", node, "era", store.EraOf(got.Revision),
		"own_era", store.EraOf(r.state.revision), "later", len(got.Entries), "gone", len(got.Known.Gone), "evacuations", len(got.Known.Evacuations),
		"remaining_ms", got.Known.RemainingMillis)
	r.publish(r.state.applyKnown(got, r.now()), sourcePeer)
}

// buildKnown answers a node that asks what this one knows better than the store. Known is nil if this node doesn't know
// that itself.
func (r *Replica) buildKnown() CopyReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.state.replyKnown(r.now())
	if !r.isInformed() {
		out.Known, out.Entries = nil, nil
	}
	return out
}
