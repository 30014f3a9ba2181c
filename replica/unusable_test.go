package replica

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/store"
)

// hundredTargets returns the entries of a hundred targets, of which that at index bad is
// unusable.
func hundredTargets(bad int) []Entry {
	out := make([]Entry, 100)
	for i := range out {
		out[i] = target(fmt.Sprint(i), fmt.Sprint("10.0.0.", i), int64(i+1))
		if i == bad {
			out[i].Value = nil
		}
	}
	return out
}

// replyOverWire returns a node's reply after JSON encoding and decoding.
func replyOverWire(t *testing.T, c *copyState, req CopyRequest) CopyReply {
	t.Helper()
	raw, err := json.Marshal(c.replyTo(req))
	if err != nil {
		t.Fatal(err)
	}
	var out CopyReply
	if err := json.Unmarshal(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// One unusable entry among a hundred affects none of the others: in a list, among changes, and
// in replies to other nodes.
func TestUnusableEntryDoesNotAffectOthers(t *testing.T) {
	const bad = 42
	for name, deliver := range map[string]func(c *copyState){
		"list": func(c *copyState) { c.replaceAll(fullCopy(hundredTargets(bad), 100), start) },
		"changes": func(c *copyState) {
			for _, e := range hundredTargets(bad) {
				c.applyChange(e, start)
			}
			c.advance(100)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, first, whole, changed := is.New(t), newState(t), newState(t), newState(t)
			deliver(first)
			whole.applyReply(replyOverWire(t, first, CopyRequest{}), start)
			changed.replaceAll(fullCopy(nil, 0), start)
			changed.applyReply(replyOverWire(t, first, CopyRequest{Revision: 0}), start)
			for _, c := range []*copyState{first, whole, changed} {
				is.Equal(c.registry.Count(), 99)
				is.Equal(c.revision, int64(100))
			}
			is.Equal(targetsOf(first), targetsOf(whole))
			is.Equal(targetsOf(first), targetsOf(changed))
		})
	}
}

// A target whose valid entry is overwritten by an unusable one gets no new requests, not even
// as a fallback or during an outage of the store. A valid entry ends that.
func TestOverwrittenTargetIsWithdrawn(t *testing.T) {
	bad := Entry{Key: "t/a", Revision: 7}
	for name, deliver := range map[string]func(c *copyState){
		"change": func(c *copyState) { c.applyChange(bad, start) },
		"list":   func(c *copyState) { c.replaceAll(fullCopy([]Entry{bad, target("b", "2", 6)}, 7), start) },
		"copy from a node without the valid entry": func(c *copyState) {
			other := newState(t)
			other.replaceAll(fullCopy([]Entry{bad, target("b", "2", 6)}, 7), start)
			c.applyReply(replyOverWire(t, other, CopyRequest{Revision: 6}), start)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, c := is.New(t), newState(t)
			c.replaceAll(fullCopy([]Entry{target("a", "1", 5), target("b", "2", 6)}, 6), start)
			c.registry.MarkOutage(start)
			deliver(c)
			c.advance(7)
			is.Equal(c.registry.Count(), 1)
			is.Equal(c.registry.Pool("s")[0].ID, "t/b")
			withdrawn := 0
			// The target is not gone: its requests in progress still count.
			for _, d := range c.registry.TakeChanges() {
				if d.Target.Withdrawn {
					withdrawn++
				}
			}
			is.Equal(withdrawn, 1)
			is.True(c.applyChange(target("a", "1", 8), start).targets)
			is.Equal(c.registry.Count(), 2)
			c.applyChange(bad, start)
			c.applyChange(Entry{Key: "t/a", Revision: 9}, start)
			c.applyChange(Entry{Key: "t/a", Revision: 10, Removed: true}, start)
			is.Equal(c.registry.Count(), 1)
			is.True(!c.registry.Expire(start.Add(time.Hour)))
		})
	}
}

// A target that reports its start time always does: an entry without one comes from another
// writer.
func TestEntryWithoutStartIsUnusable(t *testing.T) {
	is, notices := is.New(t), 0
	c := newCopyState(startsSchema{}, nil, func(string, int64, error) { notices++ })
	c.replaceAll(fullCopy([]Entry{target("a", "new@11", 5)}, 5), start)
	c.applyChange(target("a", "new@-62135596800", 6), start) // the zero time
	is.Equal(c.registry.Count(), 0)
	is.Equal(notices, 1)
}

// Unusable entries are kept and sent to other nodes without their value.
func TestUnusableEntryValueIsDropped(t *testing.T) {
	is := is.New(t)
	c := newCopyState(tooLongSchema{}, nil, func(string, int64, error) {})
	large := Entry{Key: "t/a", Value: bytes.Repeat([]byte("x"), 1<<20), Revision: 1}
	c.replaceAll(fullCopy([]Entry{large}, 1), start)
	large.Revision = 2
	c.applyChange(large, start)
	c.advance(2)
	for _, req := range []CopyRequest{{}, {Revision: 1}} {
		got := c.replyTo(req)
		is.Equal(len(got.Entries), 1)
		is.Equal(len(got.Entries[0].Value), 0)
		is.Equal(got.Entries[0].Fault, roster.TooLong)
	}
}

// tooLongSchema is a schema that rejects every target's entry as too long.
type tooLongSchema struct{ testSchema }

func (tooLongSchema) DecodeTarget(string, []byte) (roster.Target, error) {
	return roster.Target{}, &roster.EntryError{Fault: roster.TooLong}
}

// Each change is counted and logged once. For hundreds of changes the number of log lines is
// bounded, and a later line has the number of those suppressed.
func TestUnusableEntryLogIsRateLimited(t *testing.T) {
	is, reg := is.New(t), prometheus.NewRegistry()
	var logs bytes.Buffer
	p, c := &stubPeers{}, &clock{now: start}
	r := New(&fakeSource{}, tooLongSchema{}, p, p, log.New(&logs), reg)
	r.now = func() time.Time { return c.now }
	const keys = 300
	page := store.ListResult{Revision: keys}
	for i := range keys {
		page.KVs = append(page.KVs, store.KV{Key: fmt.Sprint("t/", i), ModRevision: int64(i + 1)})
	}
	lines := func() int { return bytes.Count(logs.Bytes(), []byte("names no target to use")) }
	count := func() float64 {
		return testutil.ToFloat64(r.metrics.unusable.WithLabelValues(string(roster.TooLong)))
	}
	r.applyList(page)
	r.applyList(page) // nothing has changed
	is.Equal(lines(), logLimit)
	is.Equal(count(), float64(keys))
	c.advance(logWindow)
	r.applyBatch(store.WatchBatch{Revision: keys + 1, Events: []store.Event{
		{KV: store.KV{Key: "t/0", ModRevision: keys + 1}},
	}})
	is.Equal(lines(), logLimit+1)
	is.Equal(count(), float64(keys+1))
	is.True(bytes.Contains(logs.Bytes(), []byte(fmt.Sprint("left_out=", keys-logLimit))))
}
