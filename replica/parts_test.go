package replica

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// typicalValue returns a value of the usual length of a target's entry.
func typicalValue(i int) string {
	return fmt.Sprintf(`{"service":"model-pool","address":"10.%d.%d.%d:8483","zone":"domain-%d","version":"v1",`+
		`"slots":16,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d,"models":[{"name":"m","version":1,"adapters":[]}]}`,
		i>>16, i>>8&255, i&255, i%6, i, 1_700_000_000_000+i*7919)
}

// filledState returns a copy with the given number of targets, written one after the other from
// revision 1 on.
func filledState(t *testing.T, targets int) *copyState {
	c := newState(t)
	for i := range targets {
		c.applyChange(target(fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), typicalValue(i), int64(i+1)), start)
	}
	c.advance(int64(targets))
	return c
}

// encodeReply returns the reply to a request as a node holds it in memory until it is written.
func encodeReply(t *testing.T, c *copyState, req CopyRequest) []byte {
	t.Helper()
	packed, err := c.replyTo(req).packEntries()
	is.New(t).NoErr(err)
	raw, err := json.Marshal(packed)
	is.New(t).NoErr(err)
	return raw
}

// catchUpFrom copies from another state until nothing is missing, and returns the size of the
// largest reply in bytes and the number of replies.
func catchUpFrom(t *testing.T, c, from *copyState) (largest, replies int) {
	t.Helper()
	for more := true; more; {
		raw := encodeReply(t, from, c.copyRequest())
		var got CopyReply
		is.New(t).NoErr(json.Unmarshal(raw, &got))
		got, err := got.unpackEntries()
		is.New(t).NoErr(err)
		c.applyReply(got, start)
		more = got.More
		largest, replies = max(largest, len(raw)), replies+1
	}
	return largest, replies
}

// maxBufferedBytes is what a node with 64 MB of memory may hold for concurrent copies, in
// bytes.
const maxBufferedBytes = 8 << 20

// Starting nodes copy all targets from nodes that have them. The memory for these replies must
// not grow with the number of targets, and no reply may be too large to be sent.
func TestFullCopiesAreSentInBoundedParts(t *testing.T) {
	for _, targets := range []int{200, 10_002, 20_004} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			is := is.New(t)
			full, fresh := filledState(t, targets), newState(t)
			largest, replies := catchUpFrom(t, fresh, full)
			is.Equal(fmt.Sprint(targetsOf(fresh)), fmt.Sprint(targetsOf(full)))
			is.True(maxConcurrentCopies*largest <= maxBufferedBytes)
			t.Logf("%d replies of %d bytes at most", replies, largest)
		})
	}
}

// A node with only parts of its first copy must not be ready for callers: it would send all
// requests to the few targets that it has so far.
func TestPartialFirstCopyIsIncomplete(t *testing.T) {
	is := is.New(t)
	full, fresh := filledState(t, 2*maxPartEntries), newState(t)
	fresh.applyReply(full.replyTo(fresh.copyRequest()), start)
	is.True(fresh.incomplete)
	is.Equal(fresh.registry.Count(), maxPartEntries)
	got := fresh.replyTo(newState(t).copyRequest()) // a partial copy is not passed on
	is.Equal(len(got.Entries), 0)
	is.Equal(got.Revision, int64(0))
	fresh.applyReply(full.replyTo(fresh.copyRequest()), start)
	is.True(!fresh.incomplete)
	is.Equal(fresh.registry.Count(), 2*maxPartEntries)
}

// A reply without newer data doesn't complete the first copy: the sender may have just started,
// or hold only a part itself.
func TestReplyWithoutNewerDataDoesNotCompleteFirstCopy(t *testing.T) {
	is := is.New(t)
	full, fresh := filledState(t, 2*maxPartEntries), newState(t)
	fresh.applyReply(full.replyTo(fresh.copyRequest()), start)
	for _, other := range []*copyState{newState(t), filledState(t, maxPartEntries)} {
		fresh.applyReply(other.replyTo(fresh.copyRequest()), start)
		is.True(fresh.incomplete)
	}
	catchUpFrom(t, fresh, full)
	is.True(!fresh.incomplete)
}

// A rollout replaces nearly half of the targets, with four changes for each. A node that missed
// all of it gets the new targets and the removals once each, and nothing else.
func TestNodeBehindByARolloutGetsEachKeyOnce(t *testing.T) {
	const targets, replaced = 10_002, 4_500
	is := is.New(t)
	c, behind := filledState(t, targets), filledState(t, targets)
	revision := c.revision
	change := func(e Entry) {
		revision++
		e.Revision = revision
		c.applyChange(e, start)
		c.advance(revision)
	}
	for i := range replaced {
		old, next := fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), fmt.Sprintf("j-%08x", i)
		change(target(old, "draining", 0))
		change(target(next, "cold", 0))
		change(Entry{Key: "t/" + old, Removed: true})
		change(target(next, typicalValue(i), 0))
	}
	sent, more := c.history.since(behind.revision, 1<<30)
	is.True(!more)
	is.Equal(len(sent), 2*replaced)
	is.True(!c.replyTo(behind.copyRequest()).Whole)
	largest, _ := catchUpFrom(t, behind, c)
	is.True(maxConcurrentCopies*largest <= maxBufferedBytes)
	is.Equal(fmt.Sprint(targetsOf(behind)), fmt.Sprint(targetsOf(c)))
	is.True(len(c.history.changes) <= 4*targets) // the history doesn't grow with the number of changes
}

// Removals whose tombstones were discarded can't be sent one by one: a node that may hold such
// targets gets a full copy, in parts, and keeps its targets until the last part has arrived.
func TestDiscardedTombstonesForceFullCopy(t *testing.T) {
	is := is.New(t)
	c, behind := newState(t), newState(t)
	for _, s := range []*copyState{c, behind} {
		s.applyChange(target("stays", "1", 1), start)
		s.applyChange(target("goes", "1", 2), start)
		s.advance(2)
	}
	revision := int64(2)
	next := func() int64 { revision++; return revision }
	c.applyChange(Entry{Key: "t/goes", Revision: next(), Removed: true}, start)
	for i := range 2*minTombstones + 1 {
		key := fmt.Sprint("passing", i)
		c.applyChange(target(key, "1", next()), start)
		c.applyChange(Entry{Key: "t/" + key, Revision: next(), Removed: true}, start)
	}
	for i := range maxPartEntries {
		c.applyChange(target(fmt.Sprint("new", i), "1", next()), start)
	}
	c.advance(revision)
	first := c.replyTo(behind.copyRequest())
	is.True(first.Whole && first.More)
	behind.applyReply(first, start)
	is.Equal(behind.registry.Count(), 2)
	catchUpFrom(t, behind, c)
	is.Equal(fmt.Sprint(targetsOf(behind)), fmt.Sprint(targetsOf(c)))
	is.Equal(behind.revision, c.revision)
}

// A node whose release doesn't support parts gets everything in one reply, and its own replies,
// which have no Head, are applied as they are.
func TestCopiesWithoutParts(t *testing.T) {
	is := is.New(t)
	full, fresh := filledState(t, 3*maxPartEntries), newState(t)
	got := full.replyTo(CopyRequest{})
	is.True(!got.More && len(got.Packed) == 0)
	got.Head = 0
	fresh.applyReply(got, start)
	is.Equal(fmt.Sprint(targetsOf(fresh)), fmt.Sprint(targetsOf(full)))
	is.True(!fresh.incomplete)
}

// Whatever changes while a node copies in parts, from whichever nodes, it ends with the same
// targets as they have.
func TestCopiesInPartsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := []*copyState{newState(t), newState(t)}
		behind := newState(t)
		revision := int64(0)
		write := func(states ...*copyState) {
			revision++
			e := drawChange(t, revision)
			for _, s := range states {
				s.applyChange(e, start)
				s.advance(revision)
			}
		}
		all := append(sources[:2:2], behind)
		for range rapid.IntRange(0, 20).Draw(t, "known to all") {
			write(all...)
		}
		for range rapid.IntRange(0, 20).Draw(t, "missed") {
			write(sources...)
		}
		if rapid.Bool().Draw(t, "tombstones discarded") {
			sources[0].history.discardTombstones(len(sources[0].history.tombstones))
		}
		for range 200 {
			source := sources[rapid.IntRange(0, 1).Draw(t, "source")]
			got := source.replyWithLimit(behind.copyRequest(), rapid.IntRange(1, 5).Draw(t, "part"))
			behind.applyReply(got, start)
			if rapid.IntRange(0, 9).Draw(t, "changes") == 0 {
				write(sources...)
			}
			if behind.revision == revision {
				break
			}
		}
		for behind.revision < revision {
			behind.applyReply(sources[0].replyTo(behind.copyRequest()), start)
		}
		behind.registry.Expire(start.Add(1 << 40))
		sources[1].registry.Expire(start.Add(1 << 40))
		if fmt.Sprint(targetsOf(behind)) != fmt.Sprint(targetsOf(sources[1])) {
			t.Fatalf("%v, not %v", targetsOf(behind), targetsOf(sources[1]))
		}
	})
}

// Guards against a copy in parts that begins again with each part, and never ends, since the sender's copy came
// from a list and it can't tell which keys were removed before.
func TestCopyInPartsOfAListedCopyEnds(t *testing.T) {
	for name, behind := range map[string]*copyState{"first copy": newState(t), "full copy": olderState(t)} {
		t.Run(name, func(t *testing.T) {
			is, ahead := is.New(t), newState(t)
			var list []Entry
			for i := range 4 * maxPartEntries {
				list = append(list, target(fmt.Sprint(i), "x", int64(100+i)))
			}
			ahead.replaceAll(fullCopy(list, 10_000), start)
			parts := 0
			for behind.revision < ahead.revision && parts < 20 {
				behind.applyReply(ahead.replyTo(behind.copyRequest()), start)
				parts++
			}
			is.Equal(parts, 4)
			is.True(!behind.incomplete)
			is.Equal(len(behind.targets), len(list))
		})
	}
}

// olderState is a copy that lacks the removal of a target.
func olderState(t *testing.T) *copyState {
	c := newState(t)
	c.replaceAll(fullCopy([]Entry{target("gone", "x", 5)}, 50), start)
	return c
}

// Guards against a key in a part that was removed before the list of the node that sends the next part, which
// doesn't know of that removal.
func TestNextPartFromALaterListBeginsAgain(t *testing.T) {
	is, first, second, behind := is.New(t), newState(t), newState(t), newState(t)
	var list []Entry
	for i := range 2 * maxPartEntries {
		list = append(list, target(fmt.Sprint(i), "x", int64(100+i)))
	}
	first.replaceAll(fullCopy(list, 5_000), start)
	second.replaceAll(fullCopy(list[1:], 6_000), start) // the first one was removed in between
	behind.applyReply(first.replyTo(behind.copyRequest()), start)
	for range 5 {
		behind.applyReply(second.replyTo(behind.copyRequest()), start)
	}
	is.Equal(behind.revision, int64(6_000))
	is.Equal(len(behind.targets), len(list)-1)
}
