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
		{"repeated", Delta{Since: 4, Through: 5, Records: []Record{rec("a", 5)}}, 5, 5, false, 0},
		{"gap", Delta{Since: 6, Through: 7, Records: []Record{rec("a", 7)}}, 5, 5, true, 0},
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
		r := rec(fmt.Sprint("t", i), i/2+1) // two teams per revision
		r.Document = document
		from.Apply(Delta{Since: i / 2, Through: i/2 + 1, Records: []Record{r}})
	}
	rounds := 0
	for to.Head() < from.Head() {
		d := from.DeltaSince(to.Head())
		is.True(len(d.Records) <= 4)
		is.True(!to.Apply(d).Gap)
		rounds++
	}
	is.True(rounds > 1)
	is.Equal(to.Records(), from.Records())
}

// stateMachine applies generated faults to a reference copy and to the copies of
// several nodes: stale reads, watches with gaps and delays, and peers with old
// copies or late responses.
type stateMachine struct {
	reference State
	history   []State // reference after each commit
	nodes     []State
	highest   []map[string]int64 // by node: the highest revision of a team held so far
}

func newStateMachine() *stateMachine {
	m := &stateMachine{history: []State{{}}}
	for range 4 {
		m.nodes = append(m.nodes, State{})
		m.highest = append(m.highest, make(map[string]int64))
	}
	return m
}

func copyOf(s State) State { return State{head: s.head, records: s.Records()} }

// accept commits a revision with one to three teams.
func (m *stateMachine) accept(t *rapid.T) {
	d := Delta{Since: m.reference.head, Through: m.reference.head + 1}
	for _, team := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID).Draw(t, "teams") {
		d.Records = append(d.Records, Record{Team: team, Revision: d.Through, Deleted: rapid.Bool().Draw(t, "deleted")})
	}
	m.reference.Apply(d)
	m.history = append(m.history, copyOf(m.reference))
}

func (m *stateMachine) node(t *rapid.T) int { return rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node") }

// read applies a list of the store as it was at any earlier revision.
func (m *stateMachine) read(t *rapid.T) {
	old := rapid.SampledFrom(m.history).Draw(t, "read")
	m.nodes[m.node(t)].Apply(old.DeltaSince(0))
}

// watch delivers the events of any one commit, in any order of commits, with some
// events lost.
func (m *stateMachine) watch(t *rapid.T) {
	index := rapid.IntRange(0, len(m.history)-1).Draw(t, "index")
	if index == 0 {
		return
	}
	state := m.history[index]
	h := Head{Revision: state.head, Previous: state.head - 1}
	records := make(map[string]Record)
	for _, r := range state.newerThan(h.Previous) {
		h.Teams = append(h.Teams, r.Team)
		if rapid.Bool().Draw(t, "kept") {
			records[r.Team] = r
		}
	}
	m.nodes[m.node(t)].Apply(headDelta(h, records))
}

// pull applies what one node holds above the head of another.
func (m *stateMachine) pull(t *rapid.T) {
	from, to := m.node(t), m.node(t)
	m.nodes[to].Apply(m.nodes[from].DeltaSince(m.nodes[to].Head()))
}

// pullLate delivers a peer's late response to an earlier pull: it was computed for
// an older head of the pulling node and is applied after another read.
func (m *stateMachine) pullLate(t *rapid.T) {
	from, to := m.node(t), m.node(t)
	since := rapid.Int64Range(0, m.nodes[to].Head()).Draw(t, "since")
	old := copyOf(m.nodes[from])
	m.read(t)
	m.nodes[to].Apply(old.DeltaSince(since))
}

// check fails if a team's revision decreased on a node, or if a node lacks a
// record at or below its head.
func (m *stateMachine) check(t *rapid.T) {
	for i := range m.nodes {
		n := &m.nodes[i]
		for team, r := range n.records {
			if r.Revision < m.highest[i][team] {
				t.Fatalf("node %d: revision of team %s decreased from %d to %d", i, team, m.highest[i][team], r.Revision)
			}
			m.highest[i][team] = r.Revision
		}
		for team, r := range m.history[n.head].records {
			if n.records[team].Revision < r.Revision {
				t.Fatalf("node %d has head %d, but holds team %s at %d instead of %d",
					i, n.head, team, n.records[team].Revision, r.Revision)
			}
		}
	}
}

// TestStateNeverRevertsAndConverges checks under generated faults that no node's
// copy moves to an older record, and that all copies are equal after each node has
// pulled.
func TestStateNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newStateMachine()
		rt.Repeat(map[string]func(*rapid.T){
			"accept": m.accept, "read": m.read, "watch": m.watch,
			"pull": m.pull, "pullLate": m.pullLate, "": m.check,
		})
		m.nodes[0].Apply(m.reference.DeltaSince(m.nodes[0].Head()))
		for i := range m.nodes {
			m.nodes[i].Apply(m.nodes[0].DeltaSince(m.nodes[i].Head()))
			is.New(rt).Equal(m.nodes[i].records, m.reference.records)
			is.New(rt).Equal(m.nodes[i].head, m.reference.head)
		}
	})
}
