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
	// Leaving says that the target gets no new work: it leaves, or it is
	// held down because it came and went too often.
	Leaving bool
}

// Snapshot is an immutable view of all targets. Pools are ordered by ID.
type Snapshot struct {
	// Version is that of the VM list. Snapshots of the same version differ
	// when a target was found to be leaving by other means.
	Version int64
	Pools   map[string][]Target
}

// Pool returns the targets of a pool, the leaving ones included.
func (s *Snapshot) Pool(name string) []Target { return s.Pools[name] }

// maxHeldShare is the part of a pool that may be held down at a time, so that
// a list that flaps as a whole does not leave a pool without targets.
const maxHeldShare = 4 // one in four

// build makes the snapshot of a list, given what is known besides. It also
// returns when the first hold of the snapshot ends, zero for none.
func build(list vmlist.List, b *book, d *damping.Damper, now time.Time) (*Snapshot, time.Time) {
	s := &Snapshot{Version: list.Version, Pools: make(map[string][]Target)}
	for _, vm := range list.VMs {
		if vm.Role == vmlist.RoleNode {
			continue
		}
		s.Pools[vm.Pool] = append(s.Pools[vm.Pool], fromVM(vm, b))
	}
	var next time.Time
	for _, pool := range s.Pools {
		slices.SortFunc(pool, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
		for _, end := range hold(pool, d, now) {
			if next.IsZero() || end.Before(next) {
				next = end
			}
		}
	}
	return s, next
}

func fromVM(vm vmlist.VM, b *book) Target {
	w := b.judge(wordOf(vm))
	return Target{
		ID: vm.ID, Addr: vm.Addr, Pool: vm.Pool, Role: vm.Role,
		FailureDomain: vm.FailureDomain, Region: vm.Region,
		Incarnation: vm.Incarnation, Capacity: max(vm.Capacity, 1),
		Leaving: w.Leaving,
	}
}

func wordOf(vm vmlist.VM) Word {
	return Word{Target: vm.ID, Incarnation: vm.Incarnation, Leaving: vm.State == vmlist.StateLeaving}
}

// hold marks the targets of a pool that are held down, the longest holds
// first, and returns when their holds end.
func hold(pool []Target, d *damping.Damper, now time.Time) []time.Time {
	var held []int
	for i, t := range pool {
		if !t.Leaving && d.Held(t.ID, now) {
			held = append(held, i)
		}
	}
	slices.SortStableFunc(held, func(a, b int) int {
		return d.HeldUntil(pool[b].ID).Compare(d.HeldUntil(pool[a].ID))
	})
	held = held[:min(len(held), len(pool)/maxHeldShare)]
	ends := make([]time.Time, len(held))
	for i, t := range held {
		pool[t].Leaving = true
		ends[i] = d.HeldUntil(pool[t].ID)
	}
	return ends
}
