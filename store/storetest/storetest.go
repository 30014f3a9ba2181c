// Package storetest contains the contract tests of store.Store, which the tests of
// each implementation run.
package storetest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/store"
)

// testTimeout ends a test that would otherwise block forever; a passing test never
// reaches it.
const testTimeout = time.Minute

// Fixture holds an empty store under test and the functions that control it.
type Fixture struct {
	Store store.Store
	// Advance advances the clock of the leases and expires those that are due.
	Advance func(time.Duration)
	// Compact drops the history up to and including the current revision.
	Compact func()
}

// Open returns a new fixture, which t.Cleanup closes.
type Open func(t *testing.T) Fixture

// Run runs the contract tests on an implementation.
func Run(t *testing.T, open Open) {
	tests := map[string]func(*testing.T, *harness){
		"get returns what was put":                  testGet,
		"list is ordered and limited to prefix":     testList,
		"transaction applies only if compares hold": testCompare,
		"revision grows only with a change":         testRevision,
		"a transaction has one revision":            testTxnAtomic,
		"invalid transaction is rejected":           testInvalidTxns,
		"a put copies its value":                    testValueCopied,
		"lease expires unless renewed":              testLeaseExpiry,
		"revoking a lease deletes its keys":         testLeaseRevoke,
		"a later put detaches the lease":            testLeaseDetach,
		"unknown lease is rejected":                 testLeaseUnknown,
		"watch continues a list without a gap":      testWatchFromList,
		"watch from zero sends later changes":       testWatchFromNow,
		"watch is limited to its prefix":            testWatchPrefix,
		"watch from a compacted revision":           testWatchCompacted,
		"watch ends with its context":               testWatchCancel,
		"every watch receives every event":          testManyWatches,
		"an unread watch delays no write":           testSlowWatch,
		"watch receives expiry and prefix delete":   testWatchDeletes,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, newHarness(t, open(t))) })
	}
}

// harness wraps the calls that a test expects to succeed and fails the test if they
// don't.
type harness struct {
	Fixture
	*is.I
	ctx context.Context
}

func newHarness(t *testing.T, f Fixture) *harness {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

func (h *harness) list(prefix string) store.ListResult {
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

func (h *harness) watch(ctx context.Context, prefix string, from int64) <-chan store.WatchBatch {
	h.Helper()
	ch, err := h.Store.Watch(ctx, prefix, from)
	h.NoErr(err)
	return ch
}

// events receives at least n events and checks the revisions of their batches.
func (h *harness) events(ch <-chan store.WatchBatch, n int) []store.Event {
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

// format returns an event as a string for comparison.
func format(e store.Event) string {
	if e.Deleted {
		return fmt.Sprintf("%d -%s", e.KV.ModRevision, e.KV.Key)
	}
	return fmt.Sprintf("%d %s=%s", e.KV.ModRevision, e.KV.Key, e.KV.Value)
}

func formatAll(events []store.Event) []string {
	out := make([]string, len(events))
	for i, e := range events {
		out[i] = format(e)
	}
	return out
}
