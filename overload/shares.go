package overload

import (
	"math"
	"time"

	"github.com/knapweedgw/knapweedgw/returns"
)

const (
	// ranks is the number of priorities that shares tell apart; the last one includes all beyond.
	ranks = 5
	// demandDecay is the time constant of the measured demand: at 10 requests a second and node
	// some 15 requests, and short compared with a shortage of seconds.
	demandDecay = 1500 * time.Millisecond
	// workspaceDecay is the time constant of a workspace's share of the requests. A node gets
	// less than a request a second of a usual workspace, so it is longer than that of the demand.
	workspaceDecay = 4 * time.Second
	// weightDecay is the time constant of the node's part of the fleet's requests.
	weightDecay = 10 * time.Second
)

// order is the position of a request within its rank: callers that return come first, and what a
// surging workspace sends beyond its share last.
type order int

const (
	returned order = iota
	usual
	excess
	orders
)

// group is a rank and order, in the sequence in which capacity is given out.
type group int

func groupOf(rank int, o order) group { return group(rank)*group(orders) + group(o) }

const groups = group(ranks) * group(orders)

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

// shares is the state of a gate that gives out capacity by rank and workspace.
type shares struct {
	// work is the sum of the slot seconds that were demanded, admitted those that were admitted,
	// and admittedCount their number. squares is the sum of work times duration.
	work              sums
	admitted, squares float64
	admittedCount     float64
	// tokens and tokenSquares are those of the prompts that the shares of slots admit, long and
	// short ones; long are the tokens of the long ones by group.
	tokens, tokenSquares float64
	long                 sums
	// requests is the decaying number of requests, over workspaceDecay.
	requests float64
	last     time.Time
	// weight is this node's part of the fleet's requests, relative to an equal part.
	weight   float64
	weightAt time.Time
	schedule *returns.Schedule
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
	s.long.scale(left)
	s.admitted *= left
	s.admittedCount *= left
	s.squares *= left
	s.tokens *= left
	s.tokenSquares *= left
	s.requests *= math.Exp(-since.Seconds() / workspaceDecay.Seconds())
}

// fleetShare returns this node's part of the fleet's requests. It is measured while there is no
// shortage only: during one, a node that admits less would take its part for smaller and so the
// demand for larger, and admit even less.
func (s *shares) fleetShare(l Load, inShortage bool, now time.Time) float64 {
	nodes := float64(max(l.Nodes, 1))
	if s.weight == 0 {
		s.weight, s.weightAt = 1, now
	}
	if since := now.Sub(s.weightAt); !inShortage && since > 0 && l.Running > 0 {
		part := min(max(nodes*float64(l.Own)/float64(l.Running), 0.25), 4)
		s.weight += (1 - math.Exp(-since.Seconds()/weightDecay.Seconds())) * (part - s.weight)
	}
	s.weightAt = now
	return min(s.weight/nodes, 1)
}

// admitByShares decides by shares of the capacity. The slots are given out by rank according to
// the measured demand, and within a rank first to callers that return and last to what a surging
// workspace sends beyond its share. Each rank gets at least the fraction MinShare of its part of
// the demand.
func (g *Gate) admitByShares(r Request, l Load, kind *class, w *usage, now time.Time, d *Decision) Reason {
	s := g.shares
	s.roll(now)
	rank := min(max(r.Priority, 0), ranks-1)
	d.Returned = r.Returned || d.Late
	at := groupOf(rank, g.orderOf(w, d.Returned))
	hold := g.holdOf(kind)
	s.work[at] += hold
	s.squares += hold * hold
	share := s.fleetShare(l, g.inShortage(now), now)
	toFleet := 1 / (demandDecay.Seconds() * share)

	demand := s.work.before(groups)
	d.Estimate = g.estimateOccupied(l, share)
	d.Demand = demand * toFleet
	d.Capacity = g.capacity(rank, l, d, s.squares/max(demand, 1e-9))
	d.Share = 1
	if l.Slots > 0 && d.Estimate >= noRejectionBelow*float64(l.Slots) {
		d.Share = g.shareOf(&s.work, at, d.Capacity/toFleet)
	}
	reason := None
	if d.Share < 1 && g.rng.Float64() >= d.Share {
		reason = OverCapacity
		if at%group(orders) == group(excess) {
			reason = Surging
		}
	}
	if reason == None && g.isPromptTooLong(r, l, at, toFleet, d) {
		reason = LongPrompt
	}
	if reason == None {
		s.admitted += hold
		s.admittedCount++
		return None
	}
	d.RetryAfter = g.returnTime(r, rank, l, hold, share, toFleet, now)
	return reason
}

// orderOf returns the position of a request within its rank. A surging workspace's requests keep
// their position up to SurgeFactor times its share.
func (g *Gate) orderOf(w *usage, isReturned bool) order {
	s := g.shares
	w.recent = w.recent*math.Exp(-s.last.Sub(w.recentAt).Seconds()/workspaceDecay.Seconds()) + 1
	w.recentAt = s.last
	s.requests++
	if isReturned {
		return returned
	}
	if w.recent < float64(g.cfg.MinSamples) {
		return usual
	}
	base := max(w.usualShare, 1/float64(max(g.activeWorkspaces(), 1)))
	kept := g.cfg.SurgeFactor * base * s.requests / w.recent
	if kept < 1 && g.rng.Float64() >= kept {
		return excess
	}
	return usual
}

// holdOf returns the mean time in seconds that a request of a class is in progress.
func (g *Gate) holdOf(c *class) float64 {
	if c.hold.samples > 0 {
		return c.hold.mean
	}
	return g.occupancy.mean
}

// estimateOccupied estimates how many requests all nodes run now. Those that the other nodes had
// in progress have ended at the rate of the mean duration by work, since the requests that take
// long are the ones found in progress; to the extent that this node has admitted enough, the
// other nodes are assumed to have admitted as much as their part.
func (g *Gate) estimateOccupied(l Load, share float64) float64 {
	s := g.shares
	others := float64(l.Running - l.Own)
	demand := s.work.before(groups)
	if demand <= 0 || s.squares <= 0 {
		return float64(l.Running)
	}
	remaining := math.Exp(-l.Age.Seconds() * demand / s.squares)
	weight := s.admittedCount / (s.admittedCount + g.cfg.RateSamples)
	steady := weight*s.admitted/demandDecay.Seconds()*(1/share-1) + (1-weight)*others
	return float64(l.Own) + others*remaining + steady*(1-remaining)
}

// capacity returns the demand in slots that can be admitted now: the slots that requests of a rank
// may use, and a correction that moves the number in progress towards it within about twice the
// age of the counts. A faster correction oscillates, since its effect isn't seen before.
// A rank with more urgent ones leaves Headroom of the slots to them.
func (g *Gate) capacity(rank int, l Load, d *Decision, hold float64) float64 {
	most := float64(l.Slots) * (1 + d.QueuePerSlot)
	if g.shares.work.before(groupOf(rank, returned)) > 0 {
		most = float64(l.Slots) * (1 - g.cfg.Headroom)
	}
	gain := min(max(hold/(2*max(l.Age.Seconds(), 0.01)), 0.5), 4)
	return max(most+gain*(most-d.Estimate), 0)
}

// shareOf returns the fraction of a group that is admitted if capacity is given out in the
// sequence of the groups. A rank gets at least MinShare of its part.
func (g *Gate) shareOf(demand *sums, at group, capacity float64) float64 {
	if demand[at] <= 0 {
		return 1
	}
	all := demand.before(groups)
	first := at - at%group(orders)
	ofRank := demand.before(first+group(orders)) - demand.before(first)
	floor := g.cfg.MinShare * min(capacity/all, 1) * ofRank
	ahead := demand.before(at)
	inRank := ahead - demand.before(first)
	return min(max(capacity-ahead, floor-inRank, 0)/demand[at], 1)
}

// isPromptTooLong reports whether a prompt is long and the engines would read so many prompt
// tokens that more than LatePart of the urgent requests would be late behind others' prompts.
//
// An engine reads one prompt at a time, so a request waits as in a queue with one server
// (M/G/1): with probability load, and then exponentially with a mean of s/(2(1-load)), with s the
// mean duration by work.
func (g *Gate) isPromptTooLong(r Request, l Load, at group, toFleet float64, d *Decision) bool {
	s, target := g.shares, g.minTargetLatency.Seconds()
	if r.PromptTokens <= 0 || l.Targets <= 0 || g.cfg.TokensPerSecond <= 0 || target <= 0 {
		return false
	}
	n := float64(r.PromptTokens)
	s.tokens += n
	s.tokenSquares += n * n
	toLoad := toFleet / (float64(l.Targets) * g.cfg.TokensPerSecond)
	d.PrefillLoad = s.tokens * toLoad
	if n/g.cfg.TokensPerSecond < g.cfg.LongPart*target {
		return false
	}
	s.long[at] += n
	meanByWork := s.tokenSquares / s.tokens / g.cfg.TokensPerSecond
	d.PrefillLimit = prefillLimit((1-g.cfg.QueueFraction)*target/meanByWork, g.cfg.LatePart)
	if d.PrefillLoad <= d.PrefillLimit {
		return false
	}
	short := s.tokens - s.long.before(groups)
	part := g.shareOf(&s.long, at, max(d.PrefillLimit/toLoad-short, 0))
	if g.rng.Float64() < part {
		return false
	}
	d.Share *= part
	s.tokens -= n
	s.tokens = max(s.tokens, 0)
	return true
}

// prefillLimit returns the load at which the fraction latePart of the requests waits for longer
// than the given multiple of the mean duration by work.
func prefillLimit(multiple, latePart float64) float64 {
	low, high := 0.0, 1.0
	for range 12 {
		mid := (low + high) / 2
		if mid*math.Exp(-2*multiple*(1-mid)) > latePart {
			high = mid
			continue
		}
		low = mid
	}
	return low
}

// returnTime books a return time. The room for returning callers is what the fresh demand of
// their rank and of the more urgent ones leaves of the slots; without any, they return as late as
// they wait, since the shortage lasts for longer.
func (g *Gate) returnTime(r Request, rank int, l Load, hold, share, toFleet float64, now time.Time) time.Duration {
	s := g.shares
	spare := float64(l.Slots)*(1-g.cfg.Headroom) - s.work.before(groupOf(rank+1, returned))*toFleet
	perSecond := 0.0
	if hold > 0 {
		perSecond = spare / hold * share
	}
	return s.schedule.Next(now, rank, perSecond, r.Remaining)
}
