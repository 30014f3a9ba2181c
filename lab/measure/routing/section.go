// Package routing measures the ways to place requests on virtual time. It
// drives the product's cells and ranking with small fakes of engines and
// callers; it is not a simulator of a cluster.
package routing

import (
	"context"
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/knapweedgw/knapweedgw/lab/measure"
)

// Section is the routing measurement.
type Section struct{}

// Name implements measure.Section.
func (Section) Name() string { return "routing" }

// Run implements measure.Section. The scenarios run in parallel, each with its
// own random source; the rows come in the order of the scenarios.
func (Section) Run(ctx context.Context, r *measure.Reporter, seed uint64) (string, error) {
	all := scenarios()
	rows := make([]Row, len(all))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for _, i := range largestFirst(all) {
		g.Go(func() error {
			s := newSim(all[i], seed)
			err := s.run(ctx)
			rows[i] = newRow(s)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return "", err
	}
	for _, row := range rows {
		if err := r.Add("routing", row); err != nil {
			return "", err
		}
	}
	return summary(rows[targetIndex(all)]), nil
}

// largestFirst orders the scenarios so that the longest don't run last.
func largestFirst(all []scenario) []int {
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return all[b].engines - all[a].engines })
	return order
}

func targetIndex(all []scenario) int {
	return slices.IndexFunc(all, func(s scenario) bool { return s.name == targetName && s.way == wayCells })
}

func summary(r Row) string {
	return fmt.Sprintf("measure: c=%.2f worst=%.2f reuse=%.2f control_Bps=%.0f", r.C, r.Worst, r.Reuse, r.Bps)
}
