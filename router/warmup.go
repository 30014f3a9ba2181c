package router

import (
	"time"

	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/placement"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/warmup"
)

// warmUp sets the limits of a target that may be cold, just after its start. The caller must
// hold p.mu.
func (p *pool) warmUp(c *placement.Candidate, m *member, l warmup.Limit, now time.Time) {
	if l.PerSecond <= 0 || !m.target.IsCold(l.Duration, now) {
		m.warmUp = nil
		return
	}
	if m.warmUp == nil {
		m.warmUp = warmup.NewRateShare(warmup.Phase(routing.Rank(p.self, m.target.RunHash())), now)
	}
	m.markReportable()
	others := 0
	p.fleet.Targets([]uint64{arrivalsHash(m)}, func(_ int, s heartbeat.Sum) { others = s.Running })
	c.Cold = true
	c.MaySend = m.warmUp.Allow(l, p.fleet.KnownNodes(), others, now)
	c.ColdCapacity = m.warmUp.Remaining(l, others, now)
}

// arrivalsHash identifies, in the list of targets of a report, the number of requests that a
// node sent to a run of a target in the last second; it is encoded as requests in progress.
// Nodes of releases without this entry ignore it, but still add it up and relay it.
func arrivalsHash(m *member) uint64 {
	return routing.Rank(routing.Hash("arrivals"), m.target.RunHash())
}

// arrivalsReport returns the report entry with the requests that this node sent to a cold
// target in the last second, nil if there were none.
func (m *member) arrivalsReport(now time.Time) []heartbeat.TargetReport {
	if m.warmUp == nil {
		return nil
	}
	sent := m.warmUp.SentLastSecond(now)
	if sent == 0 {
		return nil
	}
	return []heartbeat.TargetReport{{Target: uint32(arrivalsHash(m)), Running: uint16(sent)}}
}
