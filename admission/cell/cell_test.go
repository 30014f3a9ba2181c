package cell

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// cellModel calls a cell's methods in random order and compares its counts with a recount of
// the places.
type cellModel struct {
	c      *Cell
	cfg    Config
	listed []Target
	others Totals
}

func (m *cellModel) init(t *rapid.T) {
	m.cfg = Config{
		LoadFactor:  rapid.SampledFrom([]float64{1, 1.1, 1.25, 2}).Draw(t, "c"),
		MaxInFlight: rapid.IntRange(1, 6).Draw(t, "max"),
		MaxChats:    4,
	}
	m.c = New(m.cfg)
	m.SetTargets(t)
}

func (m *cellModel) SetTargets(t *rapid.T) {
	m.listed = m.listed[:0]
	for i := range rapid.IntRange(0, 6).Draw(t, "n") {
		m.listed = append(m.listed, Target{
			ID:       fmt.Sprintf("engine-%d", i+rapid.IntRange(0, 1).Draw(t, "skip")*6),
			Capacity: 1 + i%2,
			Leaving:  rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		})
	}
	m.c.SetTargets(m.listed)
}

func (m *cellModel) SetOthers(t *rapid.T) {
	m.others = Totals{InFlight: rapid.IntRange(0, 20).Draw(t, "inflight"), Capacity: rapid.IntRange(0, 10).Draw(t, "capacity")}
	m.c.SetOthers(m.others)
}

func (m *cellModel) Acquire(t *rapid.T) {
	a := drawAsk(t)
	before := m.recount()
	old, had := m.c.places[a.Holder][a.Request]
	v := m.c.Acquire(epoch, a)
	is := is.New(t)
	if had && !slices.Contains(a.Exclude, old.Target) {
		is.Equal(v, Decision{Outcome: Granted, Target: old.Target}) // the same place again
	}
	if v.Outcome != Granted {
		is.True(v.RetryAfter > 0)
		is.True(v.Reason != ReasonNone)
		is.Equal(m.recount(), before)
		return
	}
	if had && old.Target == v.Target {
		is.Equal(m.recount(), before) // a repeated request isn't counted again
		return
	}
	tg, ok := m.target(v.Target)
	is.True(ok && !tg.Leaving)
	inFlight, capacity := m.others.InFlight+1, m.others.Capacity
	for _, l := range m.listed {
		if !l.Leaving {
			inFlight += before[l.ID]
			capacity += l.Capacity
		}
	}
	mean := float64(inFlight) / float64(capacity)
	if a.Last { // the cell's own mean if that is higher
		mean = max(mean, float64(inFlight-m.others.InFlight)/float64(capacity-m.others.Capacity))
	}
	bound := math.Ceil(m.cfg.LoadFactor * mean * float64(tg.Capacity))
	is.True(before[v.Target]+1 <= int(bound))
	is.True(before[v.Target]+1 <= m.cfg.MaxInFlight*tg.Capacity)
}

func (m *cellModel) Release(t *rapid.T) {
	a := drawAsk(t)
	m.c.Release(a.Holder, a.Request)
}

func (m *cellModel) Forget(t *rapid.T) { m.c.DropHolder(drawAsk(t).Holder) }

func (m *cellModel) Resync(t *rapid.T) {
	var places []Place
	for range rapid.IntRange(0, 4).Draw(t, "holds") {
		a := drawAsk(t)
		places = append(places, Place{
			Request: a.Request, Chat: a.Chat, Workspace: a.Workspace,
			Target: fmt.Sprintf("engine-%d", rapid.IntRange(0, 12).Draw(t, "target")),
		})
	}
	m.c.Resync(drawAsk(t).Holder, places)
}

// Check recounts the places and compares the counts of targets and workspaces.
func (m *cellModel) Check(t *rapid.T) {
	is := is.New(t)
	counts := m.recount()
	inFlight, seen := 0, 0
	for _, s := range m.c.slots {
		is.True(s.count >= 0)
		is.Equal(s.count, counts[s.id])
		seen += s.count
		if s.usable {
			inFlight += s.count
		}
	}
	all := 0
	for _, n := range counts {
		all += n
	}
	is.Equal(seen, all)
	is.Equal(m.c.Totals().InFlight, inFlight)
	shares := 0
	for _, s := range m.c.shares.active {
		is.True(s.inFlight > 0)
		shares += s.inFlight
	}
	is.Equal(shares, all)
}

func (m *cellModel) recount() map[string]int {
	counts := make(map[string]int)
	for _, places := range m.c.places {
		for _, p := range places {
			counts[p.Target]++
		}
	}
	return counts
}

func (m *cellModel) target(id string) (Target, bool) {
	for _, t := range m.listed {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

func drawAsk(t *rapid.T) AcquireRequest {
	a := AcquireRequest{
		Holder:    Holder{Node: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node"), Incarnation: 1},
		Request:   fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "request")),
		Chat:      rapid.Uint64Range(0, 8).Draw(t, "chat"),
		Workspace: rapid.SampledFrom([]string{"w", "x", "y"}).Draw(t, "workspace"),
		Weight:    rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "weight"),
		Urgency:   rapid.IntRange(0, 7).Draw(t, "urgency"),
		Returning: rapid.Bool().Draw(t, "returning"),
		Last:      rapid.Bool().Draw(t, "last"),
	}
	if rapid.IntRange(0, 3).Draw(t, "excludes") == 0 {
		a.Exclude = []string{fmt.Sprintf("engine-%d", rapid.IntRange(0, 12).Draw(t, "exclude"))}
	}
	return a
}

func TestCellKeepsBoundAndCounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &cellModel{}
		m.init(rt)
		rt.Repeat(rapid.StateMachineActions(m))
	})
}

func TestResyncCorrectsAnyDrift(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &cellModel{}
		m.init(rt)
		for range rapid.IntRange(0, 30).Draw(rt, "asks") {
			m.Acquire(rt)
		}
		h := Holder{Node: "a", Incarnation: 1}
		truth := []Place{{Request: "kept", Target: "engine-1", Workspace: "w", Chat: 1}}
		m.c.Resync(h, truth)
		is := is.New(rt)
		is.Equal(len(m.c.places[h]), 1)
		is.Equal(m.c.places[h]["kept"], truth[0])
		m.Check(rt)
	})
}

// The order of preference: the last target; then, under the soft limit, the target with the
// highest rendezvous rank; then, over the soft limit, the one with the most free capacity.
func TestPlace(t *testing.T) {
	targets := []Target{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1}, {ID: "c", Capacity: 1}}
	const chat = 7
	order := rankOf(targets, chat)
	first, second, third := order[0], order[1], order[2]
	for _, tt := range []struct {
		name      string
		load      map[string]int // requests in flight; the mean follows
		last      string
		returning bool
		exclude   []string
		want      string
	}{
		{name: "idle pool: highest rank", want: first},
		{name: "last target is preferred to the highest rank", last: third, load: map[string]int{third: 4, second: 4, first: 4}, want: third},
		{name: "new chat isn't placed above the mean", load: map[string]int{first: 6, second: 4, third: 5}, want: second},
		{name: "returning chat may be placed above the mean", load: map[string]int{first: 6, second: 4, third: 5}, returning: true, want: first},
		{name: "returning chat goes to the next rank if the first is full", load: map[string]int{first: 9, second: 4, third: 2}, returning: true, want: second},
		{name: "excluded last target isn't used", last: third, exclude: []string{third}, want: first},
		{name: "full last target isn't used", last: third, load: map[string]int{first: 2, second: 2, third: 8}, want: first},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := New(Config{LoadFactor: 1.25, MaxInFlight: 64})
			c.SetTargets(targets)
			var places []Place
			for id, n := range tt.load {
				for i := range n {
					places = append(places, Place{Request: fmt.Sprint(id, i), Target: id, Chat: 1000})
				}
			}
			c.Resync(Holder{Node: "n"}, places)
			if tt.last != "" {
				c.lastTargets.Put(epoch, chat, tt.last)
			}
			v := c.Acquire(epoch, AcquireRequest{Request: "r", Chat: chat, Returning: tt.returning, Exclude: tt.exclude})
			is.Equal(v.Target, tt.want)
		})
	}
}

// Regardless of how late and wrong the totals of the other cells are, a cell that is asked
// last grants while a target has free capacity.
func TestLastCellGrantsWhileATargetHasCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := New(Config{LoadFactor: rapid.SampledFrom([]float64{1.05, 1.25}).Draw(rt, "c"), MaxInFlight: 20})
		c.SetTargets([]Target{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1}, {ID: "c", Capacity: 1}})
		c.SetOthers(Totals{InFlight: rapid.IntRange(0, 30).Draw(rt, "others"), Capacity: 3})
		now := epoch
		for i := range rapid.IntRange(0, 120).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(rt, "release") == 0 {
				c.Release(Holder{}, fmt.Sprint(rapid.IntRange(0, i).Draw(rt, "which")))
				continue
			}
			v := c.Acquire(now, AcquireRequest{Request: fmt.Sprint(i), Chat: uint64(i), Last: true})
			is.New(rt).True(v.Outcome == Granted || c.own.InFlight >= 51) // 0.85 of 60
		}
	})
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	c := New(Config{LoadFactor: 1.25, MaxInFlight: 8})
	c.SetTargets([]Target{{ID: "a", Capacity: 1}})
	is.Equal(c.Acquire(epoch, AcquireRequest{Request: "1", Chat: 1}).Target, "a")
	c.SetTargets([]Target{{ID: "a", Capacity: 1, Leaving: true}})
	v := c.Acquire(epoch, AcquireRequest{Request: "2", Chat: 1})
	is.Equal(v.Outcome, Full)
	is.Equal(v.Reason, ReasonNoTarget)
	is.Equal(c.slots[0].count, 1) // its request stays counted
}
