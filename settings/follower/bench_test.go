package follower

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
)

// BenchmarkApply applies and serves one change with a number of teams of ten
// workspaces each, and reports the heap size of the node's copy.
func BenchmarkApply(b *testing.B) {
	for _, teams := range []int{10, 69, 480} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			before := heap()
			n := newFleet(1, 1, 1).nodes[0]
			n.ready = true
			all := accepted.Delta{Through: 1}
			for i := range teams {
				all.Records = append(all.Records, benchRecord(i, 1))
			}
			n.apply(context.Background(), all, sourceStore)
			all.Records = nil
			held := heap() - before
			r := benchRecord(0, 1)
			for b.Loop() {
				r.Revision++
				n.apply(context.Background(), accepted.Delta{Since: r.Revision - 1, Through: r.Revision, Records: []accepted.Record{r}}, sourceStore)
			}
			b.ReportMetric(float64(held), "heap-B")
			runtime.KeepAlive(n)
		})
	}
}

func benchRecord(team int, revision int64) accepted.Record {
	t := settings.Team{Workspaces: make(map[string]settings.Workspace)}
	for i := range 10 {
		key := fmt.Sprintf("workspace-%03d-%02d", team, i)
		t.Workspaces[key] = settings.Workspace{KeysSHA256: []string{settings.KeyDigest(key)}}
	}
	raw, _ := json.Marshal(t)
	return accepted.Record{Team: fmt.Sprintf("team-%03d", team), Revision: revision, Document: raw}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
