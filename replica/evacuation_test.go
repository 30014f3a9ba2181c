package replica

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func evacuation(domain string, revision int64) Entry {
	return Entry{Key: "e/" + domain, Value: []byte("{}"), Revision: revision}
}

func removed(e Entry, revision int64) Entry {
	return Entry{Key: e.Key, Revision: revision, Removed: true}
}

func domains(c *copyState) []string { return slices.Sorted(maps.Keys(c.evacuatedDomains())) }

func TestEvacuationBeginsAndEndsWithItsKey(t *testing.T) {
	is, c := is.New(t), newState(t)
	c.replaceAll(fullCopy([]Entry{target("a", "1", 5)}, 5), start)
	// The targets of these tests have an empty failure domain.
	is.Equal(c.applyChange(evacuation("", 6), start), changes{evacuations: true, targets: true})
	is.True(c.registry.Pool("s")[0].Evacuated)
	c.applyChange(target("b", "1", 7), start)
	is.True(c.registry.Pool("s")[1].Evacuated) // a target that joins during the evacuation
	is.Equal(c.applyChange(evacuation("", 8), start), changes{})
	is.Equal(c.applyChange(removed(evacuation("", 9), 9), start), changes{evacuations: true, targets: true})
	is.True(!c.registry.Pool("s")[0].Evacuated)
	is.Equal(c.applyChange(removed(evacuation("", 10), 10), start), changes{})
}

// An older change that arrives late neither begins nor ends an evacuation.
func TestStaleEvacuationChangeIsIgnored(t *testing.T) {
	is, c := is.New(t), newState(t)
	c.replaceAll(fullCopy([]Entry{evacuation("x", 5)}, 8), start)
	c.applyChange(removed(evacuation("x", 7), 7), start)
	c.replaceAll(fullCopy(nil, 6), start)
	is.Equal(domains(c), []string{"x"})
}

// A value that can't be decoded is reported once, and the domain is evacuated nevertheless.
func TestEvacuationWithUnreadableValue(t *testing.T) {
	is := is.New(t)
	reported := 0
	c := newCopyState(testSchema{}, func(string, int64, error) { reported++ }, func(string, int64, error) {})
	bad := Entry{Key: "e/x", Revision: 5}
	for revision := int64(5); revision < 9; revision++ {
		c.replaceAll(fullCopy([]Entry{bad, target("a", "1", 5)}, revision), start)
	}
	is.Equal(domains(c), []string{"x"})
	is.Equal(reported, 1)
	is.Equal(c.registry.Count(), 1)
}

// A reply of a node whose release doesn't support evacuations must not end any.
func TestCopyWithoutEvacuationsKeepsThem(t *testing.T) {
	is, c := is.New(t), newState(t)
	c.replaceAll(fullCopy([]Entry{evacuation("x", 5)}, 5), start)
	c.applyReply(CopyReply{Entries: []Entry{target("a", "1", 6)}, Revision: 6, Whole: true}, start)
	c.applyReply(CopyReply{Entries: []Entry{target("b", "1", 7)}, Revision: 7}, start)
	is.Equal(domains(c), []string{"x"})
	is.Equal(c.registry.Count(), 2)
	c.applyReply(CopyReply{Revision: 8, Whole: true, Evacuations: true}, start)
	is.Equal(domains(c), nil)
}

// Whatever changes a node has seen, a node that applies its replies has the same evacuations,
// also after JSON encoding and decoding.
func TestEvacuationsAreCopied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ahead, behind := newState(t), newState(t)
		copiedAt := rapid.IntRange(0, 20).Draw(t, "copied at")
		for revision := int64(1); revision < 40; revision++ {
			e := evacuation(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "domain"), revision)
			e.Removed = rapid.Bool().Draw(t, "removed")
			ahead.applyChange(e, start)
			ahead.advance(revision)
			if int(revision) == copiedAt {
				behind.applyReply(overWire(t, ahead.replyTo(CopyRequest{})), start)
			}
		}
		behind.applyReply(overWire(t, ahead.replyTo(CopyRequest{Revision: behind.revision})), start)
		if got, want := domains(behind), domains(ahead); !slices.Equal(got, want) {
			t.Fatalf("copied %v of %v", got, want)
		}
	})
}

func overWire(t interface{ Fatal(...any) }, c CopyReply) CopyReply {
	raw, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var out CopyReply
	if err := json.Unmarshal(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// copyingPeer is a node that is ahead and replies with the given copy.
type copyingPeer struct {
	stubPeers
	copy CopyReply
}

func (p *copyingPeer) Call(_ context.Context, _, _ string, _, result any) error {
	*result.(*CopyReply) = p.copy
	return nil
}

// After a copy from a node whose release doesn't support evacuations, the store is listed for
// them.
func TestStoreIsListedAfterCopyWithoutEvacuations(t *testing.T) {
	is, s := is.New(t), &fakeSource{revision: 7}
	r, _, c := fakeReplica(s)
	peer := &copyingPeer{copy: CopyReply{Revision: 9}}
	r.network = peer
	c.advance(minRelistInterval)
	r.copyFrom(context.Background(), "other")
	is.True(r.consumeStale())
	is.NoErr(r.listStore(context.Background()))

	peer.copy.Revision = 10
	r.copyFrom(context.Background(), "other")
	is.True(!r.consumeStale()) // the last list was a moment ago

	peer.copy = CopyReply{Revision: 11, Evacuations: true}
	c.advance(minRelistInterval)
	r.copyFrom(context.Background(), "other")
	is.True(!r.consumeStale())
}
