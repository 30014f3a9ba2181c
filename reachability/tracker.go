// Package reachability decides over which network path a node connects to its targets: its own, or that
// of another node (package tunnel). It distinguishes a target that is down, which no node reaches, from a
// path that this node has lost, which others still have.
//
// Tracker and Helpers are pure: the caller passes the time. Dialer opens the connections.
package reachability

import (
	"slices"
	"time"
)

// Config sets when paths are taken for lost and for restored.
type Config struct {
	// HeadStart is how long a direct connection attempt is alone before one through another node
	// starts beside it (RFC 8305).
	HeadStart time.Duration
	// SuspicionTTL is how long, after one path looked lost, direct attempts to other targets have
	// only SuspicionHeadStart: a few round trips, so that a path that works is used.
	SuspicionTTL, SuspicionHeadStart time.Duration
	// MinLost is the number of targets whose paths must be lost, with no direct connection opened
	// since, for the node to be partitioned from all targets; evidence older than EvidenceTTL
	// doesn't count.
	MinLost     int
	EvidenceTTL time.Duration
	// TrialInterval is the time between two direct attempts while the path is lost.
	// MinTrialInterval is the time between two attempts to any of several targets.
	TrialInterval, MinTrialInterval time.Duration
	// ForgetAfter is how long a lost path is tried although nothing is heard of its target.
	ForgetAfter time.Duration
	// A partition ends when direct attempts have succeeded for MinRecovery. The time doubles, up to
	// MaxRecovery, with each partition that begins within FlapWindow of the end of the last one.
	MinRecovery, MaxRecovery, FlapWindow time.Duration
}

// DefaultConfig has a head start of several round trips between failure domains and of a lost packet's
// first retransmission on a busy VM.
func DefaultConfig() Config {
	return Config{
		HeadStart: 150 * time.Millisecond, SuspicionTTL: time.Second, SuspicionHeadStart: 15 * time.Millisecond,
		MinLost: 3, EvidenceTTL: 2 * time.Second,
		TrialInterval: 250 * time.Millisecond, MinTrialInterval: 50 * time.Millisecond, ForgetAfter: time.Minute,
		MinRecovery: 300 * time.Millisecond, MaxRecovery: 3 * time.Second, FlapWindow: 10 * time.Second,
	}
}

// Plan is how a connection to a target is attempted.
type Plan struct {
	// Direct means that a direct attempt is made.
	Direct bool
	// TunnelAfter is when an attempt through another node starts; it starts earlier if the direct
	// one fails. It is 0 if there is no direct attempt.
	TunnelAfter time.Duration
}

// Change is what an event changes.
type Change int

// The changes.
const (
	Unchanged Change = iota
	// PathLost: the path to one target is lost.
	PathLost
	// PathRestored: the path to one target works, after another node has connected to it.
	PathRestored
	// Partitioned: the node has lost the paths to all targets.
	Partitioned
	// Rejoined: the node is no longer partitioned.
	Rejoined
)

// path is the state of the direct path to one target.
type path struct {
	// failedAt is when a direct attempt failed last, zero for never; hung means that it failed by a
	// timeout.
	failedAt time.Time
	hung     bool
	// aliveAt is when another node last connected to the target.
	aliveAt   time.Time
	nextTrial time.Time
}

// Tracker is the state of a node's own paths to all targets. It is not safe for concurrent use.
type Tracker struct {
	cfg Config
	// paths holds, by address, the targets with a failed direct attempt since the last successful one.
	paths map[string]*path
	// openedAt is when a direct connection was last opened, to any target.
	openedAt       time.Time
	suspectedUntil time.Time
	// partitionedSince is zero if the node is not partitioned. recoveringSince is when the first of
	// an uninterrupted series of direct attempts succeeded.
	partitionedSince, recoveringSince time.Time
	recovery                          time.Duration
	rejoinedAt                        time.Time
	nextTrial, nextProbe              time.Time
	// recent are the targets to which other nodes connected last, for trials; nextRecent is the next
	// one to replace, and nextTried the next one to try.
	recent                []string
	nextRecent, nextTried int
}

// maxRecent is the number of targets among which the trials of a partitioned node take turns, since some
// of them may have ended.
const maxRecent = 8

// Trial returns a target to which a direct attempt is due, to show whether a lost path is restored; ok is
// false if none is.
func (t *Tracker) Trial(now time.Time) (addr string, ok bool) {
	if t.IsPartitioned() {
		if len(t.recent) == 0 || !t.takeTrial(&t.nextTrial, now) {
			return "", false
		}
		t.nextTried++
		return t.recent[t.nextTried%len(t.recent)], true
	}
	t.expire(now)
	oldest := ""
	for addr, p := range t.paths {
		if p.lost(t.cfg) && !now.Before(p.nextTrial) && (oldest == "" || p.nextTrial.Before(t.paths[oldest].nextTrial)) {
			oldest = addr
		}
	}
	if oldest == "" {
		return "", false
	}
	return oldest, t.takeTrial(&t.paths[oldest].nextTrial, now)
}

// HasLost reports whether any path is lost.
func (t *Tracker) HasLost() bool {
	if t.IsPartitioned() {
		return true
	}
	for _, p := range t.paths {
		if p.lost(t.cfg) {
			return true
		}
	}
	return false
}

// addRecent records a target to which another node has connected.
func (t *Tracker) addRecent(addr string) {
	if slices.Contains(t.recent, addr) {
		return
	}
	if len(t.recent) < maxRecent {
		t.recent = append(t.recent, addr)
		return
	}
	t.recent[t.nextRecent%maxRecent] = addr
	t.nextRecent++
}

// NewTracker returns a tracker of a node that has not lost any path.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, paths: make(map[string]*path)}
}

// Plan returns how to attempt a connection to the target at addr.
func (t *Tracker) Plan(addr string, now time.Time) Plan {
	if t.IsPartitioned() {
		return Plan{Direct: t.takeTrial(&t.nextTrial, now)}
	}
	if p := t.paths[addr]; p.lost(t.cfg) {
		return Plan{Direct: t.takeTrial(&p.nextTrial, now)}
	}
	if now.Before(t.suspectedUntil) {
		return Plan{Direct: true, TunnelAfter: t.cfg.SuspicionHeadStart}
	}
	return Plan{Direct: true, TunnelAfter: t.cfg.HeadStart}
}

func (t *Tracker) takeTrial(next *time.Time, now time.Time) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(t.cfg.TrialInterval)
	return true
}

// lost reports whether the path is lost although the target is up. A nil path has not failed.
func (p *path) lost(cfg Config) bool {
	if p == nil || p.failedAt.IsZero() || p.aliveAt.IsZero() {
		return false
	}
	return p.failedAt.Sub(p.aliveAt) <= cfg.EvidenceTTL
}

// IsPartitioned reports whether the node has lost the paths to all targets.
func (t *Tracker) IsPartitioned() bool { return !t.partitionedSince.IsZero() }

// IsLost reports whether the path to the target at addr is lost.
func (t *Tracker) IsLost(addr string) bool { return t.IsPartitioned() || t.paths[addr].lost(t.cfg) }

// MayBePartitioned reports whether the node is partitioned, or may be: its direct attempts to MinLost
// targets have failed and none has succeeded since, whether or not these targets are up.
func (t *Tracker) MayBePartitioned(now time.Time) bool {
	return t.IsPartitioned() || t.failures(now, func(p *path) bool { return true }) >= t.cfg.MinLost
}

// failures counts the targets to which direct attempts failed lately, after the last one that succeeded
// to any target.
func (t *Tracker) failures(now time.Time, counts func(*path) bool) int {
	n := 0
	for _, p := range t.paths {
		if p.failedAt.After(t.openedAt) && now.Sub(p.failedAt) <= t.cfg.EvidenceTTL && counts(p) {
			n++
		}
	}
	return n
}

// TakeProbe reports whether a connection that only shows whether a target can be reached may be opened
// now. While the node may be partitioned, one is allowed per interval, whatever the number of targets.
func (t *Tracker) TakeProbe(interval time.Duration, now time.Time) bool {
	if !t.MayBePartitioned(now) {
		return true
	}
	if now.Before(t.nextProbe) {
		return false
	}
	t.nextProbe = now.Add(interval)
	return true
}

// DirectOpened records that a direct attempt succeeded.
func (t *Tracker) DirectOpened(addr string, now time.Time) Change {
	t.openedAt = now
	p := t.paths[addr]
	tunneled := p != nil && !p.aliveAt.IsZero()
	delete(t.paths, addr)
	if !t.IsPartitioned() {
		if tunneled {
			return PathRestored
		}
		return Unchanged
	}
	if t.recoveringSince.IsZero() {
		t.recoveringSince = now
	}
	if now.Sub(t.recoveringSince) < t.recovery {
		return Unchanged
	}
	t.partitionedSince, t.recoveringSince, t.rejoinedAt = time.Time{}, time.Time{}, now
	clear(t.paths)
	return Rejoined
}

// DirectFailed records that a direct attempt failed, by a timeout if hung is set.
func (t *Tracker) DirectFailed(addr string, hung bool, now time.Time) Change {
	p := t.pathTo(addr)
	wasLost := p.lost(t.cfg)
	p.failedAt, p.hung = now, hung
	t.recoveringSince = time.Time{}
	return t.update(p, wasLost, now)
}

// DirectPending records that a direct attempt has not ended while another node has connected to the
// target.
func (t *Tracker) DirectPending(now time.Time) { t.suspectedUntil = now.Add(t.cfg.SuspicionTTL) }

// TunnelOpened records that another node connected to the target.
func (t *Tracker) TunnelOpened(addr string, now time.Time) Change {
	t.addRecent(addr)
	if t.IsPartitioned() {
		return Unchanged
	}
	p := t.pathTo(addr)
	wasLost := p.lost(t.cfg)
	p.aliveAt = now
	return t.update(p, wasLost, now)
}

func (t *Tracker) pathTo(addr string) *path {
	p, ok := t.paths[addr]
	if !ok {
		p = &path{}
		t.paths[addr] = p
	}
	return p
}

// update returns the change after an event of one path.
func (t *Tracker) update(p *path, wasLost bool, now time.Time) Change {
	lost := p.lost(t.cfg)
	if lost {
		t.DirectPending(now)
	}
	if t.IsPartitioned() {
		return Unchanged
	}
	if t.failures(now, func(p *path) bool { return p.lost(t.cfg) }) >= t.cfg.MinLost {
		t.partition(now)
		return Partitioned
	}
	t.expire(now)
	if lost && !wasLost {
		return PathLost
	}
	return Unchanged
}

// partition begins a partition.
func (t *Tracker) partition(now time.Time) {
	t.partitionedSince = now
	t.nextTrial = now.Add(t.cfg.TrialInterval)
	if !t.rejoinedAt.IsZero() && now.Sub(t.rejoinedAt) <= t.cfg.FlapWindow {
		t.recovery = min(2*t.recovery, t.cfg.MaxRecovery)
		return
	}
	t.recovery = t.cfg.MinRecovery
}

// expire forgets targets that were last heard of long ago: most have ended.
func (t *Tracker) expire(now time.Time) {
	for addr, p := range t.paths {
		heard := p.aliveAt
		if !p.lost(t.cfg) && p.failedAt.After(heard) {
			heard = p.failedAt
		}
		if now.Sub(heard) > t.cfg.ForgetAfter {
			delete(t.paths, addr)
		}
	}
}

// Hung reports whether the lost paths lose packets, so that open connections are dead too, in contrast to
// paths over which only new connections are refused.
func (t *Tracker) Hung() bool {
	for _, p := range t.paths {
		if p.hung {
			return true
		}
	}
	return false
}
