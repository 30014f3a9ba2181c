package claims

import "github.com/knapweedgw/knapweedgw/lab/measure"

// Assumptions of the calculated costs of claims held in the memory of a pair of nodes.
// The brief of the product gives the changes of VMs per day with 370 nodes.
const (
	changesPerDay    = 100 + 310 // VMs that fail, and VMs that are restarted or replaced
	changesNodes     = 370
	viewLagSeconds   = 5.0  // time for which nodes have different views after a change
	duplicateShare   = 0.01 // of the requests that are repeated during that time
	messagesPerClaim = 8    // ask, copy and two replies; as many for the outcome
	entryBytes       = 150  // of a claim in memory
	retentionSeconds = 900
)

// pairRow is the calculated cost of claims held in the memory of a pair of nodes: two
// nodes in different failure domains, selected for each key by rendezvous hashing.
type pairRow struct{ load load }

// Fields implements measure.Row.
func (r pairRow) Fields() []measure.Field {
	nodes, claims := float64(r.load.nodes), r.load.claimsPerS()
	changes := changesPerDay * nodes / changesNodes
	moved := 2 / nodes // share of the keys whose pair changes with one node
	return []measure.Field{
		{Name: "way", Value: "pair memory"},
		{Name: "nodes", Value: r.load.nodes},
		{Name: "claims_per_s", Value: claims},
		{Name: "writes_per_s", Value: 0},
		{Name: "messages_per_s_node", Value: messagesPerClaim * claims / nodes},
		{Name: "memory_MB_node", Value: 2 * claims * retentionSeconds * entryBytes / nodes / 1e6},
		{Name: "exposed_repeats_per_day", Value: claims * duplicateShare * changes * viewLagSeconds * moved},
	}
}
