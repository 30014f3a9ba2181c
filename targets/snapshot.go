package targets

import (
	"slices"
	"strings"
	"time"

	"github.com/knapweedgw/knapweedgw/damping"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// Target is an engine or a plain service.
type Target struct {
	ID            string
	Addr          string
	Pool          string
	Role          vmlist.Role
	FailureDomain string
	Region        string
	Incarnation   int64
	Capacity      int
	// Leaving means that the target gets no new requests: it is shutting down, or
	// it is held down because it came and went too often.
	Leaving bool
}

// Snapshot is an immutable view of all targets. Pools are ordered by ID.
type Snapshot struct {
	// Version is the version of the VM list. Two snapshots of the same version
	// may differ, since a target's own responses and other nodes also report that
	// a target is leaving.
	Version int64
	Pools   map[string][]Target
}

// Pool returns the targets of a pool, including those that are leaving.
func (s *Snapshot) Pool(name string) []Target { return s.Pools[name] }

// maxHeldDivisor limits the targets of a pool that are held down at a time to one
// in four, so that a VM list in which all targets flap does not leave a pool
// without targets.
const maxHeldDivisor = 4

// build returns the snapshot of a VM list merged with the leaving records, and the
// end of the hold that ends first; zero if no target is held down.
func build(list vmlist.List, records *leavingRecords, d *damping.Damper, now time.Time) (*Snapshot, time.Time) {
	s := &Snapshot{Version: list.Version, Pools: make(map[string][]Target)}
	for _, vm := range list.VMs {
		if vm.Role == vmlist.RoleNode {
			continue
		}
		s.Pools[vm.Pool] = append(s.Pools[vm.Pool], fromVM(vm, records))
	}
	var firstEnd time.Time
	for _, pool := range s.Pools {
		slices.SortFunc(pool, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
		for _, end := range markHeld(pool, d, now) {
			if firstEnd.IsZero() || end.Before(firstEnd) {
				firstEnd = end
			}
		}
	}
	return s, firstEnd
}

func fromVM(vm vmlist.VM, records *leavingRecords) Target {
	merged := records.merge(reportFromVM(vm))
	return Target{
		ID: vm.ID, Addr: vm.Addr, Pool: vm.Pool, Role: vm.Role,
		FailureDomain: vm.FailureDomain, Region: vm.Region,
		Incarnation: vm.Incarnation, Capacity: max(vm.Capacity, 1),
		Leaving: merged.Leaving,
	}
}

func reportFromVM(vm vmlist.VM) Report {
	return Report{Target: vm.ID, Incarnation: vm.Incarnation, Leaving: vm.State == vmlist.StateLeaving}
}

// markHeld marks the held-down targets of a pool as leaving, up to the share that
// maxHeldDivisor allows and those held longest first. It returns when their holds
// end.
func markHeld(pool []Target, d *damping.Damper, now time.Time) []time.Time {
	var held []int
	for i, t := range pool {
		if !t.Leaving && d.Held(t.ID, now) {
			held = append(held, i)
		}
	}
	slices.SortStableFunc(held, func(a, b int) int {
		return d.HeldUntil(pool[b].ID).Compare(d.HeldUntil(pool[a].ID))
	})
	held = held[:min(len(held), len(pool)/maxHeldDivisor)]
	ends := make([]time.Time, len(held))
	for i, index := range held {
		pool[index].Leaving = true
		ends[i] = d.HeldUntil(pool[index].ID)
	}
	return ends
}
