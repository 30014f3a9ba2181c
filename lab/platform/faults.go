package platform

import (
	"sort"
	"sync"
	"time"
)

// Faults are the platform's fault switches; the zero value injects none.
type Faults struct {
	// Outage fails every call to the key-value service and ends every watch.
	Outage bool `json:"outage"`
	// Hang blocks every call and every watch until it is switched off.
	Hang bool `json:"hang"`
	// DelayMS delays every call and every batch of a watch, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseEvery drops the response of every n-th write after the write took effect.
	LoseEvery int `json:"lose_every"`
	// LoseLeaseEvery drops the response of every n-th lease call after the call took effect.
	LoseLeaseEvery int `json:"lose_lease_every"`
	// ReadsPerSecond and WritesPerSecond are rate limits, 0 for none. Opening a watch counts as a
	// read, a lease call as a write. The burst is the calls of one second.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
	// CompactNow compacts the watch history, so that a watch from an older revision fails with
	// store.ErrCompacted.
	CompactNow bool `json:"compact_now"`
	// CutWatchesNow ends all open watches.
	CutWatchesNow bool `json:"cut_watches_now"`

	// VMListOutage answers reads of the VM list with status 503.
	VMListOutage bool `json:"vm_list_outage"`
	// VMListLagMS is the age of the VM list in milliseconds.
	VMListLagMS int `json:"vm_list_lag_ms"`
	// VMListBack answers every other read of the VM list with the list of that many versions ago,
	// like a replica that lags.
	VMListBack int `json:"vm_list_back"`
	// VMListHide lists the IDs of VMs that are missing from the list.
	VMListHide []string `json:"vm_list_hide,omitempty"`
}

// ScheduledFaults are fault switches to apply AfterMS milliseconds after the schedule is set.
type ScheduledFaults struct {
	AfterMS int    `json:"after_ms"`
	Faults  Faults `json:"faults"`
}

// schedule applies faults at their times.
type schedule struct {
	mu    sync.Mutex
	timer *time.Timer
	steps []ScheduledFaults // not yet applied, by time
}

// set replaces the schedule and calls apply for its steps in the order of their times.
func (s *schedule) set(steps []ScheduledFaults, apply func(Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	steps = append([]ScheduledFaults(nil), steps...)
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].AfterMS < steps[j].AfterMS })
	s.steps = steps
	s.startTimer(0, apply)
}

// startTimer starts the timer of the first step; elapsed is the time since the schedule was set.
// The caller holds s.mu.
func (s *schedule) startTimer(elapsed time.Duration, apply func(Faults)) {
	if len(s.steps) == 0 {
		return
	}
	at := time.Duration(s.steps[0].AfterMS) * time.Millisecond
	var timer *time.Timer
	timer = time.AfterFunc(at-elapsed, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.timer != timer {
			return // the schedule was replaced after the timer fired
		}
		apply(s.steps[0].Faults)
		s.steps = s.steps[1:]
		s.startTimer(at, apply)
	})
	s.timer = timer
}
