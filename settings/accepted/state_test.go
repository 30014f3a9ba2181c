package accepted

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func rec(team string, revision int64) Record { return Record{Team: team, Revision: revision} }

func TestApply(t *testing.T) {
	cases := []struct {
		name  string
		delta Delta
		head  int64
		a     int64
		gap   bool
		stale int
	}{
		{"next", Delta{Since: 5, Through: 6, Records: []Record{rec("a", 6)}}, 6, 6, false, 0},
		{"overlapping", Delta{Since: 2, Through: 6, Records: []Record{rec("a", 6)}}, 6, 6, false, 0},
		{"again", Delta{Since: 4, Through: 5, Records: []Record{rec("a", 5)}}, 5, 5, false, 0},
		{"gapped", Delta{Since: 6, Through: 7, Records: []Record{rec("a", 7)}}, 5, 5, true, 0},
		{"stale list", Delta{Through: 3, Records: []Record{rec("a", 3)}}, 5, 5, false, 1},
		{"deletion", Delta{Since: 5, Through: 6, Records: []Record{{Team: "a", Revision: 6, Deleted: true}}}, 6, 6, false, 0},
		{"empty", Delta{}, 5, 5, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s State
			s.Apply(Delta{Through: 5, Records: []Record{rec("a", 5), rec("b", 2)}})
			res := s.Apply(c.delta)
			is.Equal(s.Head(), c.head)
			got, _ := s.Record("a")
			is.Equal(got.Revision, c.a)
			is.Equal(res.Gap, c.gap)
			is.Equal(res.Stale, c.stale)
		})
	}
}

func TestSinceIsBoundedAndComplete(t *testing.T) {
	is := is.New(t)
	var from, to State
	document := []byte(`"` + strings.Repeat("x", MaxDeltaBytes/3) + `"`)
	for i := range int64(10) {
		r := rec(fmt.Sprint("t", i), i/2+1) // two teams a revision
		r.Document = document
		from.Apply(Delta{Since: i / 2, Through: i/2 + 1, Records: []Record{r}})
	}
	rounds := 0
	for to.Head() < from.Head() {
		d := from.Since(to.Head())
		is.True(len(d.Records) <= 4)
		is.True(!to.Apply(d).Gap)
		rounds++
	}
	is.True(rounds > 1)
	is.Equal(to.Records(), from.Records())
}

// machine drives an authoritative history and several nodes by generated
// faults: stale reads, gapped and late watches, and peers with old copies or
// late answers.
type machine struct {
	truth State
	past  []State // truth after each acceptance
	nodes []State
	seen  []map[string]int64 // highest revision of a team held so far
}

func newMachine() *machine {
	m := &machine{past: []State{{}}}
	for range 4 {
		m.nodes = append(m.nodes, State{})
		m.seen = append(m.seen, make(map[string]int64))
	}
	return m
}

func copyOf(s State) State { return State{head: s.head, records: s.Records()} }

func (m *machine) accept(t *rapid.T) {
	d := Delta{Since: m.truth.head, Through: m.truth.head + 1}
	for _, team := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID).Draw(t, "teams") {
		d.Records = append(d.Records, Record{Team: team, Revision: d.Through, Deleted: rapid.Bool().Draw(t, "deleted")})
	}
	m.truth.Apply(d)
	m.past = append(m.past, copyOf(m.truth))
}

func (m *machine) node(t *rapid.T) int { return rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node") }

// read lists the store as it was at any earlier revision.
func (m *machine) read(t *rapid.T) {
	old := rapid.SampledFrom(m.past).Draw(t, "read")
	m.nodes[m.node(t)].Apply(old.Since(0))
}

// watch delivers any one acceptance, in any order, with some events lost.
func (m *machine) watch(t *rapid.T) {
	at := rapid.IntRange(0, len(m.past)-1).Draw(t, "at")
	if at == 0 {
		return
	}
	after := m.past[at]
	h := Head{Revision: after.head, Previous: after.head - 1}
	records := make(map[string]Record)
	for _, r := range after.newerThan(h.Previous) {
		h.Teams = append(h.Teams, r.Team)
		if rapid.Bool().Draw(t, "kept") {
			records[r.Team] = r
		}
	}
	m.nodes[m.node(t)].Apply(headDelta(h, records))
}

func (m *machine) pull(t *rapid.T) {
	from, to := m.node(t), m.node(t)
	m.nodes[to].Apply(m.nodes[from].Since(m.nodes[to].Head()))
}

// pullLate delivers what a peer would have answered to an older question.
func (m *machine) pullLate(t *rapid.T) {
	from, to := m.node(t), m.node(t)
	since := rapid.Int64Range(0, m.nodes[to].Head()).Draw(t, "since")
	old := copyOf(m.nodes[from])
	m.read(t)
	m.nodes[to].Apply(old.Since(since))
}

func (m *machine) check(t *rapid.T) {
	for i := range m.nodes {
		n := &m.nodes[i]
		for team, r := range n.records {
			if r.Revision < m.seen[i][team] {
				t.Fatalf("node %d: team %s went back from %d to %d", i, team, m.seen[i][team], r.Revision)
			}
			m.seen[i][team] = r.Revision
		}
		for team, r := range m.past[n.head].records {
			if n.records[team].Revision < r.Revision {
				t.Fatalf("node %d claims to be complete through %d, but has team %s at %d, not %d",
					i, n.head, team, n.records[team].Revision, r.Revision)
			}
		}
	}
}

func TestStateNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine()
		rt.Repeat(map[string]func(*rapid.T){
			"accept": m.accept, "read": m.read, "watch": m.watch,
			"pull": m.pull, "pullLate": m.pullLate, "": m.check,
		})
		m.nodes[0].Apply(m.truth.Since(m.nodes[0].Head()))
		for i := range m.nodes {
			m.nodes[i].Apply(m.nodes[0].Since(m.nodes[i].Head()))
			is.New(rt).Equal(m.nodes[i].records, m.truth.records)
			is.New(rt).Equal(m.nodes[i].head, m.truth.head)
		}
	})
}
