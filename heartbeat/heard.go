package heartbeat

import "github.com/knapweedgw/knapweedgw/routing"

// A relay that gets no reports from a node of its group can't detect that its sum lacks that
// node, nor can the subscribers. Therefore each node reports from how many other nodes of its
// group it gets reports, and these numbers are added up like counts. If all n nodes in a sum
// get reports from each other and from no more nodes, the total is n*(n-1). If the total is
// larger, one of them gets reports from a node that the relay lacks.

// nodesHeardKey is the key of the number of nodes heard from among the targets of a report.
// Nodes of releases without this number still add it up and pass it on.
var nodesHeardKey = uint32(routing.Hash("nodes heard"))

// nodesHeardReport returns the report entry for the number of other nodes of the group from
// which this node gets reports.
func nodesHeardReport(others int) TargetReport {
	return TargetReport{Target: nodesHeardKey, Running: uint16(others)}
}

// lacksNode reports whether a sum over the given number of nodes lacks a node from which some
// of them get reports.
func lacksNode(nodes int, counts []targetSum) bool {
	for _, c := range counts {
		if c.target == nodesHeardKey {
			return c.Running > nodes*(nodes-1)
		}
	}
	return false // sum of a release that doesn't report the number
}
