package claims

import (
	"context"
	"fmt"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/measure"
)

// Section is the measurement "claims".
type Section struct{}

var _ measure.Section = Section{}

const (
	sectionName  = "claims"
	historyCount = 100_350 // 446 for each pair of faults
)

// Name implements measure.Section.
func (Section) Name() string { return sectionName }

// Run implements measure.Section.
func (Section) Run(ctx context.Context, r *measure.Reporter, seed uint64) (string, error) {
	var all result
	for f, res := range runAll(seed, historyCount, mutateNothing) {
		if err := r.Add(sectionName, historyRow{fault(f), res}); err != nil {
			return "", err
		}
		all.add(res)
	}
	writes, err := reportCosts(ctx, r, seed)
	if err != nil {
		return "", err
	}
	if err := reportOutage(r, seed); err != nil {
		return "", err
	}
	return fmt.Sprintf("claims: histories=%d doubled=%d false_not_run=%d writes_per_s=%.0f",
		historyCount, all.Doubled, all.FalseNotRun, writes), nil
}

// target is the load that the product is designed for.
var target = load{nodes: 370, share: 0.1}

// reportCosts adds a row for each way of recording claims, fleet size and share, and
// returns the store's writes per second with grouped shards at the target load.
func reportCosts(ctx context.Context, r *measure.Reporter, seed uint64) (writes float64, err error) {
	for _, nodes := range []int{8, 53, 370} {
		for _, share := range []float64{0.01, 0.1, 0.3} {
			if err := ctx.Err(); err != nil {
				return 0, err
			}
			l := load{nodes: nodes, share: share}
			g := grouped(seed, l)
			if l == target {
				writes = perSecond(g.writes)
			}
			for _, row := range []measure.Row{
				costRow{"record per key", l, recordPerKey(seed, l)}, costRow{"grouped shards", l, g}, pairRow{l},
			} {
				if err := r.Add(sectionName, row); err != nil {
					return 0, err
				}
			}
		}
	}
	split := target
	split.splitViews = 0.5
	return writes, r.Add(sectionName, costRow{"grouped, two views", split, grouped(seed, split)})
}

// reportOutage adds a row for each of three durations of a store outage.
func reportOutage(r *measure.Reporter, seed uint64) error {
	for _, d := range []time.Duration{time.Second, 10 * time.Second, 25 * time.Second} {
		l := target
		l.outageFrom, l.outageUntil = costWarmUp, costWarmUp+d
		if err := r.Add(sectionName, outageRow{l, grouped(seed, l)}); err != nil {
			return err
		}
	}
	return nil
}

func perSecond(n int) float64 { return float64(n) / (costTime - costWarmUp).Seconds() }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// historyRow is the sum of the histories with one first fault.
type historyRow struct {
	fault fault
	r     result
}

// Fields implements measure.Row.
func (h historyRow) Fields() []measure.Field {
	return []measure.Field{
		{Name: "fault", Value: faultNames[h.fault]},
		{Name: "requests", Value: h.r.Requests},
		{Name: "keys_run", Value: h.r.KeysRun},
		{Name: "keys_never_run", Value: h.r.KeysNeverRun},
		{Name: "doubled", Value: h.r.Doubled},
		{Name: "false_not_run", Value: h.r.FalseNotRun},
		{Name: "ran_earlier", Value: h.r.RanEarlier},
		{Name: "late_sends", Value: h.r.LateSends},
		{Name: "told_run", Value: h.r.Responses[responseRun]},
		{Name: "told_not_run", Value: h.r.Responses[responseNotRun]},
		{Name: "told_unknown", Value: h.r.Responses[responseUnknown]},
		{Name: "told_in_progress", Value: h.r.Responses[responseInProgress]},
		{Name: "no_answer", Value: h.r.Responses[responseNone]},
		{Name: "conflicts", Value: h.r.Conflicts},
		{Name: "uncertain", Value: h.r.Uncertain},
	}
}

// costRow is the cost of one way of recording claims.
type costRow struct {
	way  string
	load load
	c    cost
}

// Fields implements measure.Row.
func (r costRow) Fields() []measure.Field {
	claims := r.load.claimsPerS()
	retention := 15 * time.Minute
	return []measure.Field{
		{Name: "way", Value: r.way},
		{Name: "nodes", Value: r.load.nodes},
		{Name: "claims_per_s", Value: claims},
		{Name: "writes_per_s", Value: perSecond(r.c.writes)},
		{Name: "reads_per_s", Value: perSecond(r.c.reads)},
		{Name: "p50_ms", Value: millis(measure.Quantile(r.c.latencies, 0.5))},
		{Name: "p99_ms", Value: millis(measure.Quantile(r.c.latencies, 0.99))},
		{Name: "conflicts", Value: r.c.conflicts},
		{Name: "value_mean_bytes", Value: float64(r.c.valueBytes) / float64(max(1, r.c.values))},
		{Name: "value_max_bytes", Value: r.c.maxValue},
		{Name: "store_in_KB_per_s", Value: perSecond(r.c.sentBytes) / 1000},
		{Name: "trims_per_s", Value: perSecond(r.c.trims)},
		{Name: "store_keys", Value: r.c.storeKeys},
		{Name: "store_MB_at_15m", Value: float64(r.c.storeBytes) * float64(retention/costRetention) / 1e6},
	}
}

// outageRow is the effect of a store outage on claims.
type outageRow struct {
	load load
	c    cost
}

// Fields implements measure.Row.
func (r outageRow) Fields() []measure.Field {
	return []measure.Field{
		{Name: "outage_s", Value: (r.load.outageUntil - r.load.outageFrom).Seconds()},
		{Name: "refused", Value: len(r.c.refusals)},
		{Name: "refusal_p50_ms", Value: millis(measure.Quantile(r.c.refusals, 0.5))},
		{Name: "refusal_p99_ms", Value: millis(measure.Quantile(r.c.refusals, 0.99))},
		{Name: "first_grant_of_last_shard_ms", Value: millis(r.c.firstGrant)},
	}
}
