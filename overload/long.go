package overload

import (
	"math"
	"time"
)

const (
	// longPromptTokens is the length from which a prompt is long. Engines read prompts in chunks of
	// some thousand tokens, so a shorter one delays others by no more than a step does.
	longPromptTokens = 4096
	// lateDecay is the time constant of the counts of answers. A node gets 3 to 10 answers a second
	// of the most urgent class. Fewer than lateSamples answers, or minLate late ones, aren't
	// evaluated. With 3 s, a fifth to a third more prompts are rejected in the model of pool_test.go
	// for the same part of urgent requests in time.
	lateDecay   = 2 * time.Second
	lateSamples = 5
	minLate     = 1.25
	// limitFallTime is the time in which the limit on long prompts falls from 1 to MinShare if twice
	// LatePart or more of the urgent answers are late; it is longer for fewer. limitRiseTime is that
	// in which it rises to 1 again, longer than lateDecay so that the effect of a rise is counted
	// before the limit ends.
	limitFallTime = 500 * time.Millisecond
	limitRiseTime = 3 * time.Second
)

// promptLimit limits long prompts while urgent requests are answered late.
type promptLimit struct {
	// answers and late are the decaying counts of the answers of the watched class, and of the late
	// ones, as of at.
	answers, late float64
	// reduction is the part of the way from 1 down to MinShare that the limit has come.
	reduction float64
	at        time.Time
	// long is the decaying sum of the tokens of long prompts by group.
	long sums
	// target is the shortest target latency of the classes, and rank the most urgent one that has it.
	target time.Duration
	rank   int
}

// roll moves the limit for the time since the last call and decays the counts.
func (p *promptLimit) roll(now time.Time, latePart float64) {
	since := now.Sub(p.at).Seconds()
	if since <= 0 {
		return
	}
	p.at = now
	switch {
	case p.isLate(latePart):
		excess := min(p.late/(latePart*p.answers)-1, 1)
		p.reduction = min(p.reduction+excess*since/limitFallTime.Seconds(), 1)
	case p.late <= latePart/2*p.answers || p.answers < lateSamples:
		p.reduction = max(p.reduction-since/limitRiseTime.Seconds(), 0)
	}
	left := math.Exp(-since / lateDecay.Seconds())
	p.answers *= left
	p.late *= left
	p.long.scale(math.Exp(-since / demandDecay.Seconds()))
}

// isLate reports whether more than latePart of the urgent answers are late. A single late one, with
// what is left of an earlier one in the count, is no sign of it.
func (p *promptLimit) isLate(latePart float64) bool {
	return p.answers >= lateSamples && p.late > minLate && p.late > latePart*p.answers
}

// watch records the target latency and the rank of a class.
func (p *promptLimit) watch(target time.Duration, rank int) {
	switch {
	case target <= 0 || p.target > 0 && target > p.target:
	case p.target > target || p.target == 0:
		p.target, p.rank = target, rank
	default:
		p.rank = min(p.rank, rank)
	}
}

// limit returns the fraction of the long prompts that is admitted, at least minShare.
func (p *promptLimit) limit(minShare float64) float64 { return 1 - p.reduction*(1-minShare) }

// RecordFirstEvent records that a request of a class was answered, and that its answer began after
// took.
func (g *Gate) RecordFirstEvent(class string, took time.Duration, now time.Time) {
	c, ok := g.classes[class]
	if !ok || g.shares == nil {
		return
	}
	p := &g.shares.prompts
	if c.target != p.target || c.rank != p.rank || p.target <= 0 {
		return
	}
	p.roll(now, g.cfg.LatePart)
	p.answers++
	if took > p.target {
		p.late++
	}
}

// isPromptTooLong reports whether a prompt is long and is rejected since requests that are more
// urgent are answered late. floor is the fraction that each rank keeps.
func (g *Gate) isPromptTooLong(r Request, at group, floor float64, now time.Time, d *Decision) bool {
	p := &g.shares.prompts
	p.roll(now, g.cfg.LatePart)
	d.LateAnswers = p.late / max(p.answers, 1)
	if r.PromptTokens < longPromptTokens {
		return false
	}
	p.long[at] += float64(r.PromptTokens)
	if at.rank() <= p.rank || p.reduction <= 0 {
		return false
	}
	capacity := p.limit(g.cfg.MinShare) * p.long.before(groups)
	part := g.shares.shareOf(&p.long, at, capacity, capacity, floor)
	if !at.isExcess() {
		// What the slots' shares refuse already counts towards the floor.
		part = max(part, floor/max(d.Share, floor))
	}
	d.Share *= part
	return g.rng.Float64() >= part
}
