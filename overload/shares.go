package overload

import (
	"math"
	"time"

	"github.com/knapweedgw/knapweedgw/returns"
)

const (
	// ranks is the number of priorities that shares tell apart; the last one includes all beyond.
	ranks = 5
	// demandDecay is the time constant of the measured demand. It is as long as counts are old on
	// average; with 1.5 s a shortage is seen so late that 11 instead of 6 in 100 requests of the
	// middle rank are late in the model of pool_test.go.
	demandDecay = 700 * time.Millisecond
	// demandSamples is the number of requests within demandDecay at which the node's own demand and
	// the number in progress have equal weight in the estimated demand.
	demandSamples = 5
	// workspaceDecay is the time constant of a workspace's share of the requests. A node gets
	// less than a request a second of a usual workspace, so it is longer than that of the demand.
	workspaceDecay = 4 * time.Second
	// trendDecay is the time constant of the trend of the counts: long enough for several reports
	// of a node, which come every 200 ms.
	trendDecay = 300 * time.Millisecond
	// partDecay is the time constant of the node's part of the fleet's requests, and partSamples the
	// number of requests in progress at which the measured and an equal part have equal weight.
	partDecay   = 10 * time.Second
	partSamples = 20
)

// group is a class of requests in the sequence in which capacity is given out: by rank, and after all of
// them, by rank, to what surging workspaces send beyond their budgets.
type group int

const groups group = 2 * ranks

func usualOf(rank int) group  { return group(rank) }
func excessOf(rank int) group { return group(ranks + rank) }

func (g group) isExcess() bool { return g >= ranks }

func (g group) rank() int { return int(g) % ranks }

// sums are decaying sums by group.
type sums [groups]float64

func (s *sums) scale(f float64) {
	for i := range s {
		s[i] *= f
	}
}

// before returns the sum over the groups that come before to.
func (s *sums) before(to group) float64 {
	sum := 0.0
	for _, v := range s[:to] {
		sum += v
	}
	return sum
}

// ofRank returns the sum over the groups of a rank.
func (s *sums) ofRank(rank int) float64 {
	return s[usualOf(rank)] + s[excessOf(rank)]
}

// shares is the state of a gate that gives out capacity by rank and workspace.
type shares struct {
	// work is the sum of the slot seconds that were demanded by offered requests, and squares the
	// sum of their squares.
	work             sums
	offered, squares float64
	last             time.Time
	part             fleetPart
	// meanOthers is the mean number of requests in progress of the other nodes over trendDecay, as
	// of trendAt, since the slots were trendSlots.
	meanOthers float64
	trendAt    time.Time
	trendSlots int
	schedule   *returns.Schedule
}

// roll decays the sums to now.
func (s *shares) roll(now time.Time) {
	since := now.Sub(s.last)
	if since <= 0 {
		return
	}
	s.last = now
	left := math.Exp(-since.Seconds() / demandDecay.Seconds())
	s.work.scale(left)
	s.offered *= left
	s.squares *= left
}

// fleetShare returns this node's part of the fleet's requests. It is measured while there is no
// shortage only: during one, a node that admits less would take its part for smaller and so the
// demand for larger, and admit even less. A part that has become much larger than an equal one counts at once.
func (g *Gate) fleetShare(l Load, now time.Time) float64 {
	part := &g.shares.part
	if g.inShortage(now) {
		part.at = now
	} else {
		part.observe(l, now, partDecay)
	}
	share := part.of(l.Nodes, partSamples)
	if uneven, ok := g.unevenPart(l); ok {
		return max(share, uneven)
	}
	return share
}

// admitByShares decides by shares of the capacity. The slots are given out in the sequence of the
// groups, according to the measured demand. Each rank gets at least the fraction MinShare of its
// part of the demand.
func (g *Gate) admitByShares(r Request, l Load, kind *class, w *usage, now time.Time, d *Decision) Reason {
	s := g.shares
	s.roll(now)
	rank := min(max(r.Priority, 0), ranks-1)
	hold := g.holdOf(kind)
	share := g.fleetShare(l, now)
	at := g.groupOf(rank, w, hold, float64(l.Slots)*share)
	s.work[at] += hold
	s.squares += hold * hold
	s.offered++
	d.Estimate = g.estimateOccupied(l, now)

	own := max(s.work.before(groups), 1e-9)
	d.Demand = s.fleetDemand(own, share, d.Estimate)
	toFleet := d.Demand / own
	d.Share = 1
	floor := g.cfg.MinShare
	if l.Slots > 0 && d.Estimate >= (g.freeBelow(l)-g.cfg.Headroom)*float64(l.Slots) {
		total := g.capacity(float64(l.Slots)*(1+d.QueuePerSlot), l, d, s.squares/own)
		d.Capacity = total
		if at.isExcess() || s.work.before(usualOf(rank)) > 0 {
			d.Capacity = g.capacity(float64(l.Slots)*(1-g.cfg.Headroom), l, d, s.squares/own)
		}
		floor *= min(total/d.Demand, 1)
		d.Share = s.shareOf(&s.work, at, d.Capacity/toFleet, total/toFleet, floor)
	}
	reason := None
	if d.Share < 1 && g.rng.Float64() >= d.Share {
		reason = OverCapacity
		if at.isExcess() {
			reason = Surging
		}
	}
	if reason != None {
		d.RetryAfter = s.schedule.Next(now, rank, g.sparePerSecond(rank, l, hold, share, toFleet), r.Remaining)
	}
	return reason
}

// fleetDemand returns the number of slots that the requests of all nodes demand. To the extent
// that this node was offered too few for a good estimate, it assumes that the demand is as large
// as the number in progress.
func (s *shares) fleetDemand(own, share, occupied float64) float64 {
	weight := s.offered / (s.offered + demandSamples)
	return weight*own/(demandDecay.Seconds()*share) + (1-weight)*occupied
}

// groupOf returns the group of a request. A workspace has a budget of SurgeFactor times the
// larger of its usual and an equal share of the slots, which its most urgent requests use first.
// What it sends beyond that is excess.
func (g *Gate) groupOf(rank int, w *usage, hold, slots float64) group {
	left := math.Exp(-g.shares.last.Sub(w.workAt).Seconds() / workspaceDecay.Seconds())
	moreUrgent := 0.0
	for i := range w.work {
		w.work[i] *= left
		if i < rank {
			moreUrgent += w.work[i]
		}
	}
	w.workAt = g.shares.last
	w.work[rank] += hold
	share := max(w.usualShare, 1/float64(max(g.activeWorkspaces(), 1)))
	budget := g.cfg.SurgeFactor * share * slots * workspaceDecay.Seconds()
	kept := budget - moreUrgent
	if kept < w.work[rank] && g.rng.Float64()*w.work[rank] >= kept {
		return excessOf(rank)
	}
	return usualOf(rank)
}

// holdOf returns the mean time in seconds that a request of a class is in progress.
func (g *Gate) holdOf(c *class) float64 {
	if c.hold.samples > 0 {
		return c.hold.mean
	}
	return g.occupancy.mean
}

// estimateOccupied estimates how many requests all nodes run now. The counts of the other nodes are
// continued along their trend for their age, but at most for half of the mean duration by work: the
// requests found in progress are those that take long, and if they end sooner than the counts are
// old, the trend is noise. The trend starts anew when the slots change, since the counts then jump.
func (g *Gate) estimateOccupied(l Load, now time.Time) float64 {
	s, others := g.shares, float64(l.Running-l.Own)
	since := now.Sub(s.trendAt)
	if l.Slots != s.trendSlots || since > window {
		s.trendSlots, s.meanOthers = l.Slots, others
	}
	s.trendAt = now
	s.meanOthers += (1 - math.Exp(-since.Seconds()/trendDecay.Seconds())) * (others - s.meanOthers)
	perSecond := (others - s.meanOthers) / trendDecay.Seconds()
	ahead := min(l.Age.Seconds(), s.squares/max(s.work.before(groups), 1e-9)/2)
	return float64(l.Own) + max(others+perSecond*ahead, 0)
}

// capacity returns the demand in slots that can be admitted now, so that the number in progress
// moves towards target within about twice the age of the counts. A faster correction oscillates,
// since its effect isn't seen before.
func (g *Gate) capacity(target float64, l Load, d *Decision, hold float64) float64 {
	gain := min(max(hold/(2*max(l.Age.Seconds(), 0.01)), 0.5), 4)
	return max(target+gain*(target-d.Estimate), 0)
}

// shareOf returns the fraction of a group that is admitted if capacity is given out in the
// sequence of the groups, and each rank gets at least the fraction floor of its demand from the
// total capacity.
func (s *shares) shareOf(demand *sums, at group, capacity, total, floor float64) float64 {
	if demand[at] <= 0 {
		return 1
	}
	ahead := demand.before(at)
	if at.isExcess() {
		return min(max((capacity-ahead)/demand[at], 0), 1)
	}
	for rank := at.rank() + 1; rank < ranks; rank++ {
		total -= floor * demand.ofRank(rank)
	}
	capacity = min(capacity, total) - ahead
	least := floor * demand.ofRank(at.rank())
	return min(max(capacity, least, 0)/demand[at], 1)
}

// sparePerSecond returns the number of further callers a second that this node's part of the
// slots can serve: what the demand of their rank and of the more urgent ones leaves. Without any
// they return as late as they wait, since the shortage lasts for longer.
func (g *Gate) sparePerSecond(rank int, l Load, hold, share, toFleet float64) float64 {
	if hold <= 0 {
		return 0
	}
	spare := float64(l.Slots)*(1-g.cfg.Headroom) - g.shares.work.before(usualOf(rank+1))*toFleet
	return max(spare, 0) / hold * share
}
