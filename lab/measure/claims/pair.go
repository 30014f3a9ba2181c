package claims

import "github.com/knapweedgw/knapweedgw/lab/measure"

// Assumptions of the arithmetic for claims in the memory of a pair of nodes.
// The letter gives the changes of VMs a day at 370 nodes.
const (
	changesPerDay    = 100 + 310 // VMs that fail, and are restarted or replaced
	changesNodes     = 370
	viewLagSeconds   = 5.0  // during which nodes hold different lists
	duplicateShare   = 0.01 // of the requests, that come again meanwhile
	messagesPerClaim = 8    // ask, copy, two replies; the same for the end
	entryBytes       = 150  // of a claim in memory
	retentionSeconds = 900
)

// pairRow tells what claims in the memory of a pair of nodes would cost: two
// nodes in different failure domains, picked for each key by rendezvous.
type pairRow struct{ load load }

// Fields implements measure.Row.
func (r pairRow) Fields() []measure.Field {
	nodes, claims := float64(r.load.nodes), r.load.claimsPerS()
	changes := changesPerDay * nodes / changesNodes
	moved := 2 / nodes // share of the keys whose pair a change touches
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
