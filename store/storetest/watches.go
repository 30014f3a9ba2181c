package storetest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

func testWatchFromList(_ *testing.T, h *harness) {
	h.put("k/1", "a")
	h.put("unrelated", "x")
	page := h.list("k/")
	r1 := h.put("k/1", "b")
	h.put("unrelated", "y")
	r2 := h.put("k/2", "c")
	want := []string{fmt.Sprintf("%d k/1=b", r1), fmt.Sprintf("%d k/2=c", r2)}
	ch := h.watch(h.ctx, "k/", page.Revision+1)
	h.Equal(formatAll(h.events(ch, 2)), want)
	r3 := h.put("k/3", "d")
	h.Equal(formatAll(h.events(ch, 1)), []string{fmt.Sprintf("%d k/3=d", r3)}) // no event is repeated
}

func testWatchFromNow(_ *testing.T, h *harness) {
	h.put("k", "before")
	ch := h.watch(h.ctx, "", 0)
	rev := h.put("k", "after")
	h.Equal(formatAll(h.events(ch, 1)), []string{fmt.Sprintf("%d k=after", rev)})
}

func testWatchPrefix(_ *testing.T, h *harness) {
	ch := h.watch(h.ctx, "a/", 1)
	h.put("a", "x")
	h.put("a0", "x")
	h.put("b", "x")
	r1, _ := h.commit(store.Txn{Ops: []store.Op{
		{Key: "a/1", Value: []byte("1")}, {Key: "b", Value: []byte("x")}, {Key: "a/2", Value: []byte("2")},
	}})
	want := []string{fmt.Sprintf("%d a/1=1", r1), fmt.Sprintf("%d a/2=2", r1)}
	h.Equal(formatAll(h.events(ch, 2)), want) // all events of the revision arrive
}

func testWatchCompacted(_ *testing.T, h *harness) {
	rev := h.put("k", "1")
	h.put("k", "2")
	last := h.put("k", "3")
	h.Compact()
	b := <-h.watch(h.ctx, "k", rev)
	h.True(errors.Is(b.Err, store.ErrCompacted))
	h.Equal(b.Revision, last+1)
	ch := h.watch(h.ctx, "k", b.Revision)
	r := h.put("k", "4")
	h.Equal(formatAll(h.events(ch, 1)), []string{fmt.Sprintf("%d k=4", r)})
}

func testWatchCancel(_ *testing.T, h *harness) {
	ctx, cancel := context.WithCancel(h.ctx)
	ch := h.watch(ctx, "k", 0)
	cancel()
	for b := range ch { // the channel is closed; an error before that is allowed
		h.True(b.Err != nil)
	}
	h.put("k", "1")
}

func testManyWatches(_ *testing.T, h *harness) {
	const watches, writes = 40, 25
	first := h.list("").Revision + 1
	var chans []<-chan store.WatchBatch
	for range watches {
		chans = append(chans, h.watch(h.ctx, "k", first))
	}
	var want []string
	for i := range writes {
		want = append(want, fmt.Sprintf("%d k=%d", h.put("k", fmt.Sprint(i)), i))
	}
	for _, ch := range chans {
		h.Equal(formatAll(h.events(ch, writes)), want)
	}
}

func testSlowWatch(_ *testing.T, h *harness) {
	const writes = 200
	ch := h.watch(h.ctx, "k", 1)
	var want []string
	for i := range writes { // testTimeout fails the test if a put blocks
		want = append(want, fmt.Sprintf("%d k=%d", h.put("k", fmt.Sprint(i)), i))
	}
	h.Equal(formatAll(h.events(ch, writes)), want)
}

func testWatchDeletes(_ *testing.T, h *harness) {
	id := h.grant(ttl)
	h.putLeased("k/leased", "v", id)
	h.put("k/1", "v")
	h.put("k/2", "v")
	from := h.list("").Revision + 1
	ch := h.watch(h.ctx, "k/", from)
	h.delete(store.Op{Key: "k/", Prefix: true})
	h.Equal(formatAll(h.events(ch, 3)), []string{
		fmt.Sprintf("%d -k/1", from), fmt.Sprintf("%d -k/2", from), fmt.Sprintf("%d -k/leased", from),
	})
	r := h.putLeased("k/leased", "v", id)
	h.Advance(2 * ttl)
	h.Equal(formatAll(h.events(ch, 2)), []string{
		fmt.Sprintf("%d k/leased=v", r), fmt.Sprintf("%d -k/leased", r+1),
	})
	h.Advance(time.Second)
	h.True(!h.has("k/leased"))
}
