package routing

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// small is a scenario with every fault that runs in a moment.
var small = scenario{
	name: "small", nodes: 8, engines: 36, lag: 2, cells: 4, way: wayCells, warmup: 40, length: 60,
	surge: 10, churn: true, flap: 0.05, ownerLoss: true, freeze: true, split: true,
}

func runOnce(t *testing.T, sc scenario) (*sim, Row) {
	t.Helper()
	s := newSim(sc, 7)
	if err := s.run(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s, newRow(s)
}

func TestSameSeedSameRow(t *testing.T) {
	for _, w := range ways {
		t.Run(string(w), func(t *testing.T) {
			sc := with(small, func(s *scenario) { s.way = w })
			_, a := runOnce(t, sc)
			_, b := runOnce(t, sc)
			is.New(t).Equal(a, b)
		})
	}
}

func TestCellsKeepBoundWithoutFaults(t *testing.T) {
	sc := scenario{nodes: 8, engines: 36, lag: 2, cells: 1, way: wayCells, warmup: 40, length: 60}
	_, row := runOnce(t, sc)
	const rounding = 1 / targetInFlight
	is.New(t).True(row.Worst <= sc.withDefaults().c+2*rounding)
	sc.way = wayLocal
	_, local := runOnce(t, sc)
	is.New(t).True(local.Worst > row.Worst) // the bound needs the count
}

func TestQueueIsOrdered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q queue
		times := rapid.SliceOf(rapid.IntRange(0, 9)).Draw(rt, "times")
		for _, at := range times {
			q.push(float64(at), nil)
		}
		last := event{at: -1}
		for range times {
			e := q.pop()
			is.New(rt).True(e.at > last.at || e.at == last.at && e.seq > last.seq)
			last = e
		}
	})
}

func TestCacheIsBounded(t *testing.T) {
	is := is.New(t)
	e := newEngine(0, 100)
	e.store(1, 60)
	e.store(2, 60)
	is.Equal(e.match(1, 60), 0) // evicted
	is.Equal(e.match(2, 50), 50)
	e.store(2, 70)
	is.Equal(e.cached, 70)
}
