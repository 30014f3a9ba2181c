package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxInForce is the time within which a change must be in force, from its acknowledgement.
const maxInForce = 2 * time.Second

// maxReads is how many reads a second the platform's store grants all nodes together.
const maxReads = 2000

// Guards against a change that is late at some nodes of a fleet, and against nodes that all list the store, when
// it comes back from an older copy: watches are cut or hang, and some nodes have no path to the store.
func TestFleetFollowsARestoredStore(t *testing.T) {
	for name, c := range map[string]struct {
		nodes, targets int
		hang, large    bool
		without        func(node int) bool
	}{
		"7 nodes":                      {nodes: 7, targets: 93},
		"7 nodes, watches hang":        {nodes: 7, targets: 93, hang: true},
		"66 nodes":                     {nodes: 66, targets: 900},
		"66 nodes, watches hang":       {nodes: 66, targets: 900, hang: true},
		"66 nodes, half without store": {nodes: 66, targets: 900, without: func(node int) bool { return node%2 == 0 }},
		"370 nodes, watches hang":      {nodes: 370, targets: 900, hang: true},
		"370 nodes, 5500 targets":      {nodes: 370, targets: 5500, large: true},
	} {
		t.Run(name, func(t *testing.T) {
			if c.large && !*large {
				t.Skip("only with -large")
			}
			const restored = 12 * time.Second
			var inForce [2]time.Duration // at the first and at the last node
			f := runFleet(t, c.nodes, restored+4*time.Second, 5, func(f *startFleet) {
				f.targets, f.restored, f.watchesHang, f.audits = c.targets, restored, c.hang, true
				f.pages = (c.targets + 499) / 500
				f.answers = func(node int, at time.Duration) bool {
					return at < 2*time.Second || c.without == nil || !c.without(node)
				}
				f.onConfigured = func(version int64, at time.Duration) {
					if version != 2 {
						return
					}
					if inForce[0] == 0 {
						inForce[0] = at
					}
					inForce[1] = max(inForce[1], at)
				}
			})
			is := is.New(t)
			calls := f.callsWithin(restored, restored+4*time.Second)
			calm := f.callsWithin(restored-4*time.Second, restored)
			t.Logf("in force %v to %v after the write; %d calls in 4 s (%d before), %d copies of %d bytes", inForce[0]-restored-restoreWrite,
				inForce[1]-restored-restoreWrite, calls, calm, f.copies, f.bytes)
			for at := time.Duration(0); at < restored+4*time.Second; at += time.Second {
				is.True(f.callsWithin(at, at+time.Second) <= maxReads)
			}
			for _, n := range f.all {
				catalogVersion, position := n.Versions()
				want, _ := f.storeAt(f.restored + restoreWrite)
				is.Equal(catalogVersion, int64(2))
				is.Equal(position, want)
			}
			is.True(inForce[1]-restored-restoreWrite <= maxInForce)
		})
	}
}
