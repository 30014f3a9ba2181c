package acceptor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

const (
	valid  = `{"models":{"m":{}}}`
	shared = `{"models":{"m":{"shared":true}}}`
	bad    = `{"modles":{}}`
)

// soleNode is the membership and head source of a fleet of one node.
type soleNode struct{}

func (soleNode) View() *membership.View {
	return &membership.View{Self: "n", Nodes: []membership.Node{{ID: "n"}}}
}

func (soleNode) Head() int64 { return 0 }

// lossyStore fails commits: lose applies the commit and drops the response, drop
// drops the commit, refuse returns ErrUnavailable.
type lossyStore struct {
	store.Store
	lose, refuse, drop bool
}

func (s *lossyStore) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	if s.refuse {
		return 0, false, store.ErrUnavailable
	}
	if s.drop {
		return 0, false, store.ErrUncertain
	}
	rev, ok, err := s.Store.Commit(ctx, t)
	if s.lose {
		return 0, false, store.ErrUncertain
	}
	return rev, ok, err
}

func newAcceptor(s store.Store) *Acceptor {
	a := New(s, log.New(io.Discard), prometheus.NewRegistry())
	a.members, a.held = soleNode{}, soleNode{}
	return a
}

// write writes a team's document, or deletes it if doc is empty.
func write(s store.Store, team, doc string) int64 {
	op := store.Op{Key: settings.TeamKey(team), Value: []byte(doc), Delete: doc == ""}
	rev, _, _ := s.Commit(context.Background(), store.Txn{Ops: []store.Op{op}})
	return rev
}

// decideAll lists the store and decides on every pending change.
func decideAll(a *Acceptor) error {
	tree, _, err := readTree(context.Background(), a.store)
	if err != nil {
		return err
	}
	return (&session{a: a, tree: tree}).decidePending(context.Background())
}

func read(t *testing.T, s store.Store) *Tree {
	tree, _, err := readTree(context.Background(), s)
	is.New(t).NoErr(err)
	return tree
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		writes [][2]string // team and document, each decided before the next is written
		want   string      // team a's accepted document at the end
		reason settings.Reason
	}{
		{"accept", [][2]string{{"a", valid}}, valid, ""},
		{"refuse and keep the last accepted", [][2]string{{"a", valid}, {"a", bad}}, valid, settings.ReasonUnknownField},
		{"correct a refused document", [][2]string{{"a", bad}, {"a", valid}}, valid, ""},
		{"name shared by two teams", [][2]string{{"b", shared}, {"a", shared}}, "", settings.ReasonClash},
		{"the other team stops sharing", [][2]string{{"b", shared}, {"a", shared}, {"b", valid}}, shared, ""},
		{"the other team is deleted", [][2]string{{"b", shared}, {"a", shared}, {"b", ""}}, shared, ""},
		{"delete", [][2]string{{"a", valid}, {"a", ""}}, "", ""},
		{"delete and write again", [][2]string{{"a", valid}, {"a", ""}, {"a", shared}}, shared, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := memory.New(time.Now)
			for _, w := range c.writes {
				write(s, w[0], w[1])
				is.NoErr(decideAll(newAcceptor(s)))
			}
			tree := read(t, s)
			is.Equal(string(tree.records["a"].Document), c.want)
			faults := tree.statuses["a"].Faults
			is.Equal(len(faults) > 0, c.reason != "")
			if c.reason != "" {
				is.Equal(faults[0].Reason, c.reason)
				is.True(faults[0].Remedy != "")
			}
		})
	}
}

func TestBurstSharesTransactions(t *testing.T) {
	is := is.New(t)
	s := memory.New(time.Now)
	const teams = 50
	for i := range teams {
		write(s, fmt.Sprintf("t%02d", i), valid)
	}
	is.NoErr(decideAll(newAcceptor(s)))
	tree := read(t, s)
	is.Equal(len(tree.records), teams)
	is.Equal(tree.head.Revision, int64(2)) // transactions of 40 and 10 teams
}

func TestLostAnswers(t *testing.T) {
	cases := []struct {
		name    string
		lossy   lossyStore
		decided bool // at once, by reading the head back
	}{
		{"lost after the write", lossyStore{lose: true}, true},
		{"lost before the write", lossyStore{drop: true}, false},
		{"refused", lossyStore{refuse: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := memory.New(time.Now)
			write(s, "a", valid)
			c.lossy.Store = s
			err := decideAll(newAcceptor(&c.lossy))
			is.Equal(err == nil, c.decided)
			is.NoErr(decideAll(newAcceptor(s)))
			is.Equal(read(t, s).head.Revision, int64(1)) // accepted exactly once
		})
	}
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := memory.New(time.Now)
	a := newAcceptor(s)
	for range accepted.HistoryLength + 5 {
		write(s, "a", valid)
		is.NoErr(decideAll(a))
	}
	page, err := s.List(context.Background(), accepted.HistoryPrefix("a"))
	is.NoErr(err)
	is.Equal(len(page.KVs), accepted.HistoryLength)
}

// TestAuthorOnlyOfTheSameWrite checks that a document written without a
// settings.Change doesn't get the author of an earlier write.
func TestAuthorOnlyOfTheSameWrite(t *testing.T) {
	is := is.New(t)
	s := memory.New(time.Now)
	note, _ := json.Marshal(settings.Change{Author: "ana"})
	_, _, err := s.Commit(context.Background(), store.Txn{Ops: []store.Op{
		{Key: settings.TeamKey("a"), Value: []byte(valid)}, {Key: settings.ChangeKey("a"), Value: note},
	}})
	is.NoErr(err)
	is.NoErr(decideAll(newAcceptor(s)))
	is.Equal(read(t, s).records["a"].Author, "ana")
	write(s, "a", shared)
	is.NoErr(decideAll(newAcceptor(s)))
	is.Equal(read(t, s).records["a"].Author, "")
}

// TestRacingAcceptors commits from several trees of any age in any order, with
// lost responses and concurrent writes by operators. Revisions must increase, only
// valid documents may be accepted, and in the end every change is decided.
func TestRacingAcceptors(t *testing.T) {
	teams := []string{"a", "b", "c"}
	docs := []string{valid, shared, bad, ""}
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		s := memory.New(time.Now)
		lossy := &lossyStore{Store: s}
		a := newAcceptor(lossy)
		written := make(map[int64]string) // document by store revision
		trees := []*Tree{newTree(), newTree(), newTree()}
		last := newTree()
		rt.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				doc := rapid.SampledFrom(docs).Draw(t, "doc")
				rev := write(s, rapid.SampledFrom(teams).Draw(t, "team"), doc)
				if doc != "" { // deleting a missing key creates no revision
					written[rev] = doc
				}
			},
			"read": func(t *rapid.T) {
				trees[rapid.IntRange(0, 2).Draw(t, "tree")], _, _ = readTree(ctx, s)
			},
			"readStale": func(t *rapid.T) { // documents older than the records
				old := trees[rapid.IntRange(0, 2).Draw(t, "old")]
				tree, _, _ := readTree(ctx, s)
				tree.documents, tree.changes = maps.Clone(old.documents), maps.Clone(old.changes)
				trees[rapid.IntRange(0, 2).Draw(t, "tree")] = tree
			},
			"decide": func(t *rapid.T) {
				lossy.lose = rapid.Bool().Draw(t, "lose")
				lossy.drop = rapid.IntRange(0, 3).Draw(t, "drop") == 0
				_ = (&session{a: a, tree: trees[rapid.IntRange(0, 2).Draw(t, "tree")]}).decidePending(ctx)
			},
			"": func(t *rapid.T) {
				now, _, _ := readTree(ctx, s)
				checkStep(t, last, now, written)
				last = now
			},
		})
		lossy.lose, lossy.drop = false, false
		is.New(rt).NoErr(decideAll(a))
		end, _, _ := readTree(ctx, s)
		is.New(rt).Equal(end.plan(0, time.Now()), Plan{}) // every change is decided
	})
}

// checkStep checks that revisions only increased, and that the accepted documents
// were written by operators, are valid and share a name at most once.
func checkStep(t *rapid.T, last, now *Tree, written map[int64]string) {
	if now.head.Revision < last.head.Revision {
		t.Fatalf("head decreased from %d to %d", last.head.Revision, now.head.Revision)
	}
	sharers := 0
	for team, r := range now.records {
		old := last.records[team]
		if r.Revision < old.Revision || r.modRevision != old.modRevision && r.Revision == old.Revision {
			t.Fatalf("revision of team %s went from %d to %d", team, old.Revision, r.Revision)
		}
		if r.Revision > now.head.Revision {
			t.Fatalf("revision of team %s is above the head", team)
		}
		if !r.Deleted && r.Change < old.Change {
			t.Fatalf("team %s reverted to an older document", team)
		}
		if !r.Deleted && (written[r.Change] != string(r.Document) || written[r.Change] == bad) {
			t.Fatalf("team %s: accepted document %q is invalid or was never written", team, r.Document)
		}
		if string(r.Document) == shared {
			sharers++
		}
	}
	if sharers > 1 {
		t.Fatalf("%d teams share the same name", sharers)
	}
}
