package platform

import (
	"sort"
	"sync"
	"time"
)

// Faults are the platform's fault switches; the zero value is a healthy one.
type Faults struct {
	// Outage refuses every call and ends every watch.
	Outage bool `json:"outage"`
	// Hang leaves every call unanswered and every watch silent until it is
	// switched off.
	Hang bool `json:"hang"`
	// DelayMS delays every call and every batch of a watch.
	DelayMS int `json:"delay_ms"`
	// LoseEvery loses the answer of each n-th write after it took effect.
	LoseEvery int `json:"lose_every"`
	// LoseLeaseEvery loses the answer of each n-th lease call after it took
	// effect.
	LoseLeaseEvery int `json:"lose_lease_every"`
	// ReadsPerSecond and WritesPerSecond are rate limits, 0 for none. Opening
	// a watch counts as a read, a lease call as a write. A second's worth may
	// come at once.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
	// CompactNow forgets the watch history, so that late watches have a gap.
	CompactNow bool `json:"compact_now"`
	// CutWatchesNow ends the watches that are open.
	CutWatchesNow bool `json:"cut_watches_now"`

	// VMListOutage refuses reads of the VM list.
	VMListOutage bool `json:"vm_list_outage"`
	// VMListLagMS is how far the VM list lags.
	VMListLagMS int `json:"vm_list_lag_ms"`
	// VMListBack answers every other read of the VM list with the one of that
	// many versions ago, as from a replica that lags.
	VMListBack int `json:"vm_list_back"`
	// VMListHide are IDs of VMs that the list leaves out.
	VMListHide []string `json:"vm_list_hide,omitempty"`
}

// ScheduledFaults are switches that come into force at a time after the
// schedule was set.
type ScheduledFaults struct {
	AfterMS int    `json:"after_ms"`
	Faults  Faults `json:"faults"`
}

// schedule puts faults in force as their times come.
type schedule struct {
	mu    sync.Mutex
	timer *time.Timer
	steps []ScheduledFaults
}

// set replaces the schedule; apply is called in the order of the times.
func (s *schedule) set(steps []ScheduledFaults, apply func(Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	steps = append([]ScheduledFaults(nil), steps...)
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].AfterMS < steps[j].AfterMS })
	s.steps = steps
	s.arm(0, apply)
}

// arm waits for the first step; elapsed is how long the schedule has run.
func (s *schedule) arm(elapsed time.Duration, apply func(Faults)) {
	if len(s.steps) == 0 {
		return
	}
	at := time.Duration(s.steps[0].AfterMS) * time.Millisecond
	var timer *time.Timer
	timer = time.AfterFunc(at-elapsed, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.timer != timer {
			return // replaced meanwhile
		}
		apply(s.steps[0].Faults)
		s.steps = s.steps[1:]
		s.arm(at, apply)
	})
	s.timer = timer
}
