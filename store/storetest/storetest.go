// Package storetest is the contract of store.Store as a suite of tests, run
// by the tests of each implementation.
package storetest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/store"
)

// guard ends a test that would wait for ever; no verdict depends on it.
const guard = time.Minute

// Fixture is an empty store under test and the hands that move it.
type Fixture struct {
	Store store.Store
	// Advance moves the clock of the leases on, and lets lapsed ones expire.
	Advance func(time.Duration)
	// Compact forgets the history up to the current revision.
	Compact func()
}

// Open returns a new fixture, closed by t.Cleanup.
type Open func(t *testing.T) Fixture

// Run checks that an implementation keeps the contract.
func Run(t *testing.T, open Open) {
	tests := map[string]func(*testing.T, *harness){
		"get returns what was put":                testGet,
		"list is ordered and limited to prefix":   testList,
		"compares decide a transaction":           testCompare,
		"revision grows only with a change":       testRevision,
		"a transaction is one revision":           testTxnAtomic,
		"forms that the service refuses":          testRefusedForms,
		"a put copies its value":                  testValueCopied,
		"lease lapses unless renewed":             testLeaseLapse,
		"revoked lease takes its keys":            testLeaseRevoke,
		"a later put detaches the lease":          testLeaseDetach,
		"unknown lease is refused":                testLeaseUnknown,
		"watch continues a list without gap":      testWatchFromList,
		"watch from zero sees what comes after":   testWatchFromNow,
		"watch is limited to its prefix":          testWatchPrefix,
		"watch from a forgotten revision":         testWatchCompacted,
		"watch ends with its context":             testWatchCancel,
		"every watch sees every event":            testManyWatches,
		"an unread watch delays no write":         testSlowWatch,
		"lapse and prefix delete reach the watch": testWatchDeletes,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, newHarness(t, open(t))) })
	}
}

// harness has short forms of the calls that a test expects to succeed.
type harness struct {
	Fixture
	*is.I
	ctx context.Context
}

func newHarness(t *testing.T, f Fixture) *harness {
	ctx, cancel := context.WithTimeout(context.Background(), guard)
	t.Cleanup(cancel)
	return &harness{Fixture: f, I: is.New(t), ctx: ctx}
}

func (h *harness) commit(t store.Txn) (int64, bool) {
	h.Helper()
	rev, ok, err := h.Store.Commit(h.ctx, t)
	h.NoErr(err)
	return rev, ok
}

func (h *harness) put(key, value string) int64 { return h.putLeased(key, value, 0) }

func (h *harness) putLeased(key, value string, id store.LeaseID) int64 {
	h.Helper()
	rev, ok := h.commit(store.Txn{Ops: []store.Op{{Key: key, Value: []byte(value), Lease: id}}})
	h.True(ok)
	return rev
}

func (h *harness) delete(op store.Op) int64 {
	h.Helper()
	op.Delete = true
	rev, ok := h.commit(store.Txn{Ops: []store.Op{op}})
	h.True(ok)
	return rev
}

func (h *harness) has(key string) bool {
	h.Helper()
	_, ok, err := h.Store.Get(h.ctx, key)
	h.NoErr(err)
	return ok
}

func (h *harness) list(prefix string) store.Page {
	h.Helper()
	page, err := h.Store.List(h.ctx, prefix)
	h.NoErr(err)
	return page
}

func (h *harness) grant(ttl time.Duration) store.LeaseID {
	h.Helper()
	id, err := h.Store.Grant(h.ctx, ttl)
	h.NoErr(err)
	h.True(id != 0)
	return id
}

func (h *harness) watch(ctx context.Context, prefix string, from int64) <-chan store.Batch {
	h.Helper()
	ch, err := h.Store.Watch(ctx, prefix, from)
	h.NoErr(err)
	return ch
}

// events receives n events or more and checks the batches' revisions.
func (h *harness) events(ch <-chan store.Batch, n int) []store.Event {
	h.Helper()
	var events []store.Event
	for len(events) < n {
		b := <-ch
		h.NoErr(b.Err)
		h.True(len(b.Events) > 0) // a batch without an error has events
		events = append(events, b.Events...)
		h.True(b.Revision >= events[len(events)-1].KV.ModRevision)
	}
	return events
}

// brief is one event in a form for comparison.
func brief(e store.Event) string {
	if e.Deleted {
		return fmt.Sprintf("%d -%s", e.KV.ModRevision, e.KV.Key)
	}
	return fmt.Sprintf("%d %s=%s", e.KV.ModRevision, e.KV.Key, e.KV.Value)
}

func briefs(events []store.Event) []string {
	out := make([]string, len(events))
	for i, e := range events {
		out[i] = brief(e)
	}
	return out
}
