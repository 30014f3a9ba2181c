// Package replica keeps a node's copy of the configuration and the targets in the platform's
// store. It follows the store by watches and, where the store doesn't answer or is late, copies
// from other nodes.
package replica

import (
	"time"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/store"
)

// Schema defines which keys of the store hold what, and decodes their values.
type Schema interface {
	// Prefix returns the common prefix of all keys of the schema.
	Prefix() string
	// CatalogKey returns the key of the configuration in force.
	CatalogKey() string
	// TargetPrefix returns the prefix of the keys of targets.
	TargetPrefix() string
	// EvacuationPrefix returns the prefix of the keys that exist while a failure domain is
	// evacuated; the rest of the key is the domain's name.
	EvacuationPrefix() string
	// CheckEvacuation returns an error if the value of such a key can't be decoded.
	CheckEvacuation(value []byte) error
	// NoteKey returns the key of a note of the nodes, see Replica.SaveNote.
	NoteKey(n Note) string
	DecodeCatalog(value []byte) (*catalog.Catalog, error)
	DecodeTarget(key string, value []byte) (roster.Target, error)
}

// Entry is a key of the store with its value, as nodes send it to each other.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	// Era is that of Revision on the wire, if it isn't that of the reply; Revision is a position in memory.
	Era int64 `json:"era,omitempty"`
	// Removed marks a removed key. It has no value and occurs only among changes.
	Removed bool `json:"removed,omitempty"`
	// Packed means that Value is compressed by DEFLATE. Only configurations are.
	Packed bool `json:"packed,omitempty"`
	// Fault is the reason why the entry doesn't describe a usable target, empty if it does. An
	// entry with a fault is sent without its value.
	Fault roster.EntryFault `json:"fault,omitempty"`
}

// copyState holds the copy. It does no I/O and reads no clock: callers pass changes and the
// time. It is not safe for concurrent use.
type copyState struct {
	schema  Schema
	catalog *catalog.Catalog
	// catalogEntry is the entry from which catalog was decoded, packed.
	catalogEntry Entry
	// revision is the store's revision up to which the copy is complete.
	revision int64
	targets  map[string]heldEntry
	registry *roster.Registry
	// evacuations are the entries of evacuated failure domains, by key.
	evacuations map[string]Entry
	// removals are the latest removals of targets and evacuations, by key.
	removals removals
	// holds are keys whose state in a restored store isn't in force yet.
	holds holds
	// later are the keys of targets whose entry is later than what the store has.
	later map[string]bool
	// returned means that the store came back from an older copy while this node had a copy.
	returned bool
	// history records when targets and evacuations changed.
	history history
	// staged collects the parts of a full copy that will replace this one; nil if there is
	// none.
	staged *staging
	// incomplete means that parts of the first copy, which ends at firstCopyHead, are missing. firstCopyLowestHead
	// is the lowest head of its parts.
	incomplete                         bool
	firstCopyHead, firstCopyLowestHead int64
	// onInvalid is called for configurations and evacuations whose value can't be decoded. The
	// last valid configuration stays in force.
	onInvalid invalidValueFunc
	// onUnusable is called once for each change that leaves an entry without a usable target.
	onUnusable invalidValueFunc
	// onRestored is called when a list of a restored store has replaced the copy; may be nil.
	onRestored func(restoration)
}

// invalidValueFunc handles a value that can't be used.
type invalidValueFunc func(key string, revision int64, err error)

func newCopyState(s Schema, onInvalid, onUnusable invalidValueFunc) *copyState {
	return &copyState{
		schema: s, targets: make(map[string]heldEntry), registry: roster.NewRegistry(),
		evacuations: make(map[string]Entry), removals: make(removals), later: make(map[string]bool), history: newHistory(),
		onInvalid: onInvalid, onUnusable: onUnusable,
	}
}

// putCatalog applies a configuration. It ignores one whose version isn't later than that in force
// or that can't be decoded. Revisions don't count: a restored store has older configurations
// at later positions.
func (c *copyState) putCatalog(e Entry) bool {
	if e.Revision == c.catalogEntry.Revision && e.Revision > 0 {
		return false
	}
	next, err := c.decodeCatalog(e)
	if err != nil {
		c.onInvalid(e.Key, e.Revision, err)
		return false
	}
	if c.catalog != nil && next.Version() <= c.catalog.Version() {
		return false
	}
	c.catalog, c.catalogEntry = next, e.pack()
	return true
}

func (c *copyState) decodeCatalog(e Entry) (*catalog.Catalog, error) {
	value, err := e.unpacked()
	if err != nil {
		return nil, err
	}
	return c.schema.DecodeCatalog(value)
}

// changes reports which parts of the copy an update changed.
type changes struct{ catalog, targets, evacuations bool }

func (c *changes) add(d changes) {
	c.catalog = c.catalog || d.catalog
	c.targets = c.targets || d.targets
	c.evacuations = c.evacuations || d.evacuations
}

// replaceAll replaces the whole copy by the entries of got. If got doesn't cover evacuations,
// those of this copy stay.
func (c *copyState) replaceAll(got CopyReply, now time.Time) changes {
	if got.Revision < c.revision {
		return changes{}
	}
	if c.isInLaterEra(got.Revision) {
		r := c.reconcile(got, now)
		if c.onRestored != nil {
			defer func() { c.onRestored(r) }()
		}
	}
	c.history.skip(c.completeRevision(), got.Revision)
	c.revision = got.Revision
	c.staged, c.incomplete, c.firstCopyHead, c.firstCopyLowestHead = nil, false, 0, 0
	var out changes
	var targets, evacuations []Entry
	for _, e := range got.Entries {
		switch {
		case e.Key == c.schema.CatalogKey():
			out.catalog = c.putCatalog(e)
		case c.isTarget(e.Key):
			targets = append(targets, e)
		case c.isEvacuation(e.Key):
			evacuations = append(evacuations, e)
		}
	}
	out.targets = c.replaceTargets(targets, now)
	if got.Evacuations {
		out.add(c.replaceEvacuations(evacuations, now))
	}
	c.rebuildHistory()
	return out
}

// completeRevision returns the revision up to which the copy has seen all changes, 0 if it has no complete
// copy yet.
func (c *copyState) completeRevision() int64 {
	if c.incomplete {
		return 0
	}
	return c.revision
}

// rebuildHistory makes the history match the current entries.
func (c *copyState) rebuildHistory() {
	held := make([]keyChange, 0, len(c.targets)+len(c.evacuations))
	for key, e := range c.targets {
		held = append(held, keyChange{e.Revision, key})
	}
	for key, e := range c.evacuations {
		held = append(held, keyChange{e.Revision, key})
	}
	c.history.replace(held, c.revision)
	c.history.trim(len(held))
}

// applyChange applies one change. The copy must be complete up to the change before it.
func (c *copyState) applyChange(e Entry, now time.Time) changes {
	switch {
	case e.Revision <= c.revision && e.Key != c.schema.CatalogKey():
		return changes{}
	case c.isRestored(e.Revision) && e.Key != c.schema.CatalogKey():
		return changes{} // what precedes it in its era is missing
	case e.Key == c.schema.CatalogKey() && !e.Removed:
		return changes{catalog: c.putCatalog(e)}
	case c.isTarget(e.Key):
		return changes{targets: c.applyTargetChange(e, now)}
	case c.isEvacuation(e.Key):
		return c.applyEvacuation(e, now)
	}
	return changes{}
}

// advance records that the copy includes all changes up to revision.
func (c *copyState) advance(revision int64) {
	if !c.isRestored(revision) {
		c.revision = max(c.revision, revision)
	}
}

func entryOf(kv store.KV) Entry { return Entry{Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision} }

func changeOf(ev store.Event) Entry {
	e := entryOf(ev.KV)
	e.Removed = ev.Deleted
	return e
}
