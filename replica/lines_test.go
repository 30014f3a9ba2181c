package replica

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/store"
)

// Changes of many targets are logged in a few lines with their number and a sample; a change of
// a single target is logged with its address.
func TestManyTargetChangesAreSummarizedInLog(t *testing.T) {
	is, out := is.New(t), &bytes.Buffer{}
	p := &stubPeers{}
	r := New(&fakeSource{}, testSchema{}, p, p, log.New(out), prometheus.NewRegistry())
	reported := 0
	r.OnTargets(func(changed []roster.TargetChange) { reported += len(changed) })
	lines := func(events ...store.Event) int {
		out.Reset()
		revision := r.revision()
		for i := range events {
			revision++
			events[i].KV.ModRevision = revision
		}
		r.applyBatch(store.WatchBatch{Events: events, Revision: revision})
		return bytes.Count(out.Bytes(), []byte("\n"))
	}
	event := func(name, addr string) store.Event {
		return store.Event{KV: store.KV{Key: "t/" + name, Value: []byte(addr)}}
	}
	var all []store.Event
	for i := range 10_002 {
		all = append(all, event(fmt.Sprint("i", i), "10.0.0.1:80"))
	}
	is.True(lines(all...) <= 3)
	is.True(bytes.Contains(out.Bytes(), []byte("count=10002")))
	is.Equal(reported, 10_002) // callbacks get every change, whatever is logged
	is.True(lines(event("i7", "10.0.0.2:80")) <= 3)
	is.True(bytes.Contains(out.Bytes(), []byte("addr=10.0.0.2:80")))
}
