package router

import (
	"math"
	"time"

	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/rejectlimit"
	"github.com/knapweedgw/knapweedgw/routing"
)

// quotaTTL is how long a quota is used before it is computed anew, since nodes come and go.
const quotaTTL = time.Second

// quota is this node's number of a target's slots, valid until a time.
type quota struct {
	slots int
	until time.Time
}

// recordRejectionLimit records that a target announced its rejection limit.
func (p *pool) recordRejectionLimit(a assignment, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	announced, ok := p.limits[a.service]
	if !ok {
		announced = &rejectlimit.Announcement{}
		p.limits[a.service] = announced
	}
	if _, known := announced.Limit(now); !known {
		p.log.Info("targets announce a rejection limit", "service", a.service, "target", a.target.ID, "limit", limit)
	}
	announced.Record(limit, now)
}

// rejectionLimit returns the rejection limit in force at a service's targets, in requests per second, as
// announced to this node or to others; ok is false if there is none. The caller must hold p.mu.
func (p *pool) rejectionLimit(service string, now time.Time) (limit int, ok bool) {
	if announced, known := p.limits[service]; known {
		if limit, ok = announced.Limit(now); ok {
			return limit, true
		}
		delete(p.limits, service)
		p.log.Info("rejection limit no longer announced", "service", service)
	}
	s := p.services[service]
	if s == nil {
		return 0, false
	}
	p.fleet.Targets([]uint64{s.limitHash}, func(_ int, sum heartbeat.Sum) {
		if nodes := sum.Counts.Answered; nodes > 0 {
			limit, ok = max(sum.Running/nodes-1, 0), true
		}
	})
	return limit, ok
}

// limitHash identifies a service's rejection limit in the list of targets of a report: the limit plus 1 as
// requests in progress, and 1 as answers, so that the sums of several nodes give their mean. Nodes of
// releases without this entry ignore it, but still add it up and relay it.
func limitHash(service string) uint64 { return routing.Hash("rejection limit " + service) }

// limitReports returns the report entries of the limits announced to this node. The caller must hold p.mu.
func (p *pool) limitReports(now time.Time) []heartbeat.TargetReport {
	var out []heartbeat.TargetReport
	for service, announced := range p.limits {
		if limit, ok := announced.Limit(now); ok {
			out = append(out, heartbeat.TargetReport{
				Target: uint32(limitHash(service)), Running: uint16(min(limit, rejectlimit.MaxLimit, math.MaxUint16-1) + 1), Answered: 1,
			})
		}
	}
	return out
}

// quotaOf returns this node's number of a target's slots. The caller must hold p.mu.
func (p *pool) quotaOf(m *member, now time.Time) int {
	if now.Before(m.quota.until) {
		return m.quota.slots
	}
	position, nodes := p.fleet.Position(m.target.RunHash())
	m.quota = quota{rejectlimit.Quota(m.target.Slots, nodes, position), now.Add(quotaTTL)}
	return m.quota.slots
}

// recordRejection records that a target rejected a request for want of capacity.
func (p *pool) recordRejection(a assignment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if limit, ok := p.rejectionLimit(a.service, now); ok {
		a.member.share.Rejected(limit, p.fleet.KnownNodes(), now)
	}
}

// rejectAtQuota returns the Retry-After for a caller whose request found this node's quotas taken.
func (p *pool) rejectAtQuota(service string, remaining time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate(service).Reject(remaining, p.now())
}
