package replica

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/store"
)

var start = time.Unix(1000, 0)

// testSchema is a schema whose configuration is a version and whose targets' values are their
// addresses, and their sequence numbers after a semicolon.
type testSchema struct{}

func (testSchema) Prefix() string        { return "" }
func (testSchema) CatalogKey() string    { return "config" }
func (testSchema) TargetPrefix() string  { return "t/" }
func (testSchema) NoteKey(n Note) string { return []string{"note", "versions"}[n] }

func (testSchema) EvacuationPrefix() string { return "e/" }

func (testSchema) CheckEvacuation(value []byte) error {
	if len(value) == 0 {
		return errors.New("empty")
	}
	return nil
}

func (testSchema) DecodeCatalog(value []byte) (*catalog.Catalog, error) {
	var version int64
	if err := json.Unmarshal(value, &version); err != nil {
		return nil, err
	}
	return catalog.New(catalog.Spec{Version: version})
}

func (testSchema) DecodeTarget(key string, value []byte) (roster.Target, error) {
	if len(value) == 0 {
		return roster.Target{}, errors.New("empty")
	}
	addr, sequence, _ := strings.Cut(string(value), ";")
	n, _ := strconv.ParseUint(sequence, 10, 64)
	return roster.Target{ID: key, Service: "s", Addr: addr, Sequence: n}, nil
}

// fullCopy returns a copy of all entries of the store at a revision.
func fullCopy(entries []Entry, revision int64) CopyReply {
	return CopyReply{Entries: entries, Revision: revision, Whole: true, Evacuations: true}
}

func newState(t interface{ Log(...any) }) *copyState {
	notice := func(key string, _ int64, err error) { t.Log(key, err) }
	return newCopyState(testSchema{}, notice, notice)
}

func config(version int64, revision int64) Entry {
	return Entry{Key: "config", Value: []byte(fmt.Sprint(version)), Revision: revision}
}

func target(name, addr string, revision int64) Entry {
	return Entry{Key: "t/" + name, Value: []byte(addr), Revision: revision}
}

func TestCatalogVersionNeverDecreases(t *testing.T) {
	is, c := is.New(t), newState(t)
	is.True(c.putCatalog(config(4, 10)))
	is.True(!c.putCatalog(config(3, 11))) // older version, written later
	is.True(!c.putCatalog(Entry{Key: "config", Value: []byte("x"), Revision: 12}))
	is.Equal(c.catalog.Version(), int64(4))
	is.True(c.putCatalog(config(5, 13)))
	is.True(!c.putCatalog(config(4, store.Position(2, 1)))) // a restored store has an older one at a later position
	is.True(!c.putCatalog(config(5, store.Position(2, 2))))
	is.Equal(c.catalog.Version(), int64(5))
	is.True(c.putCatalog(config(9, 9))) // a node that still has the copy of an earlier era passes on a newer one
	is.Equal(c.catalog.Version(), int64(9))
}

func TestOlderCopyChangesNothing(t *testing.T) {
	is, c := is.New(t), newState(t)
	c.replaceAll(fullCopy([]Entry{target("a", "1", 5), target("b", "1", 6)}, 6), start)
	is.Equal(c.replaceAll(fullCopy([]Entry{target("a", "1", 5)}, 5), start), changes{})
	is.Equal(c.registry.Count(), 2)
}

// Whatever changes two nodes have seen, one that applies the other's reply has the same targets
// and configuration, whether the reply contains changes or everything.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead, behind := newState(t), newState(t)
		relistedAt := rapid.IntRange(0, 30).Draw(t, "relisted at")
		missedFrom := rapid.IntRange(0, 30).Draw(t, "missed from")
		revision := int64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			revision++
			e := drawChange(t, revision)
			if i == relistedAt {
				ahead.replaceAll(fullCopy(entries(ahead), ahead.revision), start) // rebuilds the history
			}
			ahead.applyChange(e, start)
			ahead.advance(revision)
			if i < missedFrom {
				behind.applyChange(e, start)
				behind.advance(revision)
			}
		}
		req := CopyRequest{CatalogRevision: behind.catalogEntry.Revision, Revision: behind.revision}
		behind.applyReply(ahead.replyTo(req), start)
		if fmt.Sprint(targetsOf(ahead)) != fmt.Sprint(targetsOf(behind)) {
			t.Fatalf("%v, not %v", targetsOf(behind), targetsOf(ahead))
		}
		if behind.revision != ahead.revision || behind.catalogEntry.Revision != ahead.catalogEntry.Revision {
			t.Fatal("revisions differ")
		}
	})
}

func drawChange(t *rapid.T, revision int64) Entry {
	if rapid.IntRange(0, 5).Draw(t, "config") == 0 {
		return config(revision, revision)
	}
	e := target(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "target")), fmt.Sprint(revision), revision)
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		e.Value = nil // unusable
	case 1, 2:
		e.Removed = true
	}
	return e
}

func entries(c *copyState) []Entry {
	var out []Entry
	for _, e := range c.targets {
		out = append(out, e.Entry)
	}
	return out
}

// targetsOf returns the values or faults of the targets' entries by key, and the addresses of
// the targets that may get work by ID. Printing it with fmt sorts the keys.
func targetsOf(c *copyState) map[string]string {
	out := make(map[string]string)
	for key, e := range c.targets {
		out[key] = string(e.Value) + string(e.Fault)
	}
	for _, t := range c.registry.Pool("s") {
		if !t.Fallback {
			out["usable "+t.ID] = t.Addr
		}
	}
	return out
}

func TestWatchersByRank(t *testing.T) {
	is := is.New(t)
	is.True(!shouldWatch(0, false, watchDelay-1)) // heartbeats of the others may not have arrived yet
	is.True(shouldWatch(watcherCount-1, false, watchDelay))
	is.True(!shouldWatch(watcherCount, false, watchDelay))
	is.True(shouldWatch(watcherCount, true, watchDelay)) // hysteresis
	is.True(!shouldWatch(watcherCount+watcherHysteresis, true, watchDelay))
}
