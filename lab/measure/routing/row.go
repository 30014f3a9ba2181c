package routing

import (
	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/lab/measure"
)

// Row is the result of one scenario.
type Row struct {
	Scenario       string
	Way            string
	Nodes, Engines int
	Lag, C         float64
	Cells          int
	Reuse          float64 // prefix tokens found, of those the last engine could have held
	Max, P99       float64 // max/mean and p99/mean, averaged over the samples
	Worst          float64 // largest max/mean of any sample
	Over           float64 // seconds with some engine over ceil(c × mean)
	Saturated      float64 // refusals of all asks, in percent
	Limited        float64 // the same by workspace limit
	SurgeRefused   float64 // refusals of the surging workspaces' asks, in percent
	OthersRefused  float64 // and of the others'
	Spill          float64 // asks that a cell couldn't place, in percent
	Hops           float64 // round trips to owners on other nodes, by placed turn
	Late           float64 // seconds after which a leaving engine still got work
	Bps, BpsMax    float64 // control bytes a second, in and out: mean and busiest node
	Mps            float64 // control messages a second, in and out, mean
}

// Fields implements measure.Row.
func (r Row) Fields() []measure.Field {
	return []measure.Field{
		{Name: "scenario", Value: r.Scenario}, {Name: "way", Value: r.Way},
		{Name: "nodes", Value: r.Nodes}, {Name: "engines", Value: r.Engines},
		{Name: "lag_s", Value: r.Lag}, {Name: "c", Value: r.C}, {Name: "cells", Value: r.Cells},
		{Name: "reuse", Value: r.Reuse}, {Name: "max_mean", Value: r.Max}, {Name: "p99_mean", Value: r.P99},
		{Name: "worst", Value: r.Worst}, {Name: "over_s", Value: r.Over},
		{Name: "refused%", Value: r.Saturated}, {Name: "limited%", Value: r.Limited},
		{Name: "surge_ref%", Value: r.SurgeRefused}, {Name: "others_ref%", Value: r.OthersRefused},
		{Name: "spill%", Value: r.Spill}, {Name: "hops", Value: r.Hops}, {Name: "late_s", Value: r.Late},
		{Name: "ctl_Bps", Value: r.Bps}, {Name: "ctl_Bps_max", Value: r.BpsMax}, {Name: "ctl_msgs", Value: r.Mps},
	}
}

func newRow(s *sim) Row {
	t := &s.stats
	refused := 0
	for _, n := range t.refused {
		refused += n
	}
	asks := t.asksSurge + t.asksOthers
	r := Row{
		Scenario: s.name, Way: string(s.way), Nodes: s.scenario.nodes, Engines: s.scenario.engines,
		Lag: s.lag, C: s.c, Cells: cellCount(s.scenario),
		Reuse: ratio(t.reused, t.held), Worst: t.worst, Over: t.overTime,
		Saturated:    100 * ratio(refused-t.refused[cell.ReasonWorkspaceLimit], asks),
		Limited:      100 * ratio(t.refused[cell.ReasonWorkspaceLimit], asks),
		SurgeRefused: 100 * ratio(t.refusedSurge, t.asksSurge), OthersRefused: 100 * ratio(t.refusedOthers, t.asksOthers),
		Spill: 100 * ratio(t.spills, t.calls), Late: t.worstLate,
	}
	r.Hops = ratio(t.remote, t.dispatched)
	r.Max, r.P99 = t.maxSum/float64(max(t.samples, 1)), t.p99Sum/float64(max(t.samples, 1))
	for _, n := range s.nodes {
		bytes := float64(n.traffic.bytes) / s.length
		r.Bps += bytes / float64(len(s.nodes))
		r.BpsMax = max(r.BpsMax, bytes)
		r.Mps += float64(n.traffic.messages) / s.length / float64(len(s.nodes))
	}
	return r
}
