package heartbeat

import "github.com/knapweedgw/knapweedgw/routing"

// A relay that can't hear a node of its group can't know that it lacks that node, and who
// gets its sums can't either. So each node tells its group how many others of it it
// hears, and these numbers are added up as counts are: where all hear all, the nodes of a
// sum together hear each of them from each other one, and no more. If they hear more,
// one of them hears a node that the relay doesn't.

// heardKey names the number of nodes heard among the targets of a report. Nodes of
// releases that don't know of it add it up for others all the same.
var heardKey = uint32(routing.Hash("nodes heard"))

// heardReport tells how many others of its group a node hears.
func heardReport(others int) TargetReport {
	return TargetReport{Target: heardKey, Running: uint16(others)}
}

// lacksNode says whether a sum of so many nodes lacks one that some of them hear.
func lacksNode(nodes int, counts []targetSum) bool {
	for _, c := range counts {
		if c.target == heardKey {
			return c.Running > nodes*(nodes-1)
		}
	}
	return false // of a release that doesn't tell
}
