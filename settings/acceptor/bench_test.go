package acceptor

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
)

// teamDocument returns a document with ten workspaces.
func teamDocument(team string) []byte {
	t := settings.Team{Workspaces: make(map[string]settings.Workspace)}
	for i := range 10 {
		name := fmt.Sprintf("workspace-%02d", i)
		t.Workspaces[name] = settings.Workspace{KeysSHA256: []string{settings.KeyDigest(team + name)}}
	}
	raw, _ := json.Marshal(t)
	return raw
}

// BenchmarkPlan decides on one change with a number of accepted teams in the tree.
func BenchmarkPlan(b *testing.B) {
	for _, teams := range []int{10, 69, 480} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			t := newTree()
			for i := range teams {
				team := fmt.Sprintf("team-%03d", i)
				doc := teamDocument(team)
				t.documents[team] = store.KV{Value: doc, ModRevision: int64(i) + 1}
				r := accepted.Record{Team: team, Revision: 1, Change: int64(i) + 1, Document: doc}
				t.records[team] = newHeldRecord(r, 1)
			}
			t.documents["team-000"] = store.KV{Value: teamDocument("team-000"), ModRevision: 1000}
			b.ReportAllocs()
			for b.Loop() {
				if p := t.plan(1, time.Time{}); len(p.Accept) != 1 {
					b.Fatal("not accepted")
				}
			}
		})
	}
}
