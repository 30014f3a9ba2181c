package capacity

import (
	"fmt"
	"io"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// Cost is what one role takes of a node at the target, on average.
type Cost struct {
	Role      string
	Mechanism string
	CPU       float64 // share of one core
	Memory    float64 // bytes
	BytesIn   float64 // a second
	BytesOut  float64 // a second
	Messages  float64 // a second, in and out
}

const (
	nanosecond = 1e-9
	// callsPerAdmission is an acquire with its answer and a release, which is
	// half a call; messagesPerAdmission are the three messages of them.
	callsPerAdmission    = 1.5
	messagesPerAdmission = 3
	acquireBytes         = 230 // a usual acquire, for the CPU of its call
	enginesPerCell       = 12
	// A conditional read of the VM list that finds no change, headers
	// included.
	conditionalRequestBytes = 130
	conditionalAnswerBytes  = 110
	pollsPerSec             = 2
	vmListEntryBytes        = 400 // list and snapshot in memory
	// unrepeatableShare is the share of requests that need a claim;
	// claimRetention is the default of --claim-retention in seconds.
	unrepeatableShare = 0.10
	claimRetention    = 15 * 60
	callsPerClaim     = 2 // the claim and its outcome
	claimCallBytes    = 350
	claimShards       = core.Shards
	claimsPerShard    = RequestsPerSec * unrepeatableShare / claimShards
	// cellsOfBusiest is the most cells that routing.Assign gives one node.
	cellsOfBusiest = 2
	// relayFollowers is the followers of one of a failure domain's two relays.
	relayFollowers = float64(Nodes) / FailureDomains / 2
)

// Model works out each role's cost at the target from the measured slopes.
func Model(r *Results) []Cost {
	return []Cost{
		rankingCost(r), admissionCost(r), membershipCost(r), claimsCost(r),
		settingsCost(r), vmListCost(r),
	}
}

func rankingCost(r *Results) Cost {
	return Cost{
		Role:      "entry: ranking",
		Mechanism: "rendezvous order of the region's pool, computed by each node",
		CPU:       requestsPerNode * r.At(RankCPU, enginesPerPool) * nanosecond,
	}
}

// admissionCost counts a node both as entry (asks) and as owner (answers);
// each message leaves one node and reaches another.
func admissionCost(r *Results) Cost {
	bytes := requestsPerNode * r.At(ControlRequest, nodesPerRegion)
	calls := requestsPerNode * callsPerAdmission * r.At(PeerCPU, acquireBytes)
	decisions := requestsPerNode * r.At(CellCPU, enginesPerCell)
	return Cost{
		Role:      "admission: entry and owner",
		Mechanism: "one owner a cell, picked by rendezvous, counts requests in flight",
		CPU:       (calls + decisions) * nanosecond,
		Memory:    2 * r.At(CellMemory, inFlightPerNode), // entry's and owner's record
		BytesIn:   bytes,
		BytesOut:  bytes,
		Messages:  requestsPerNode * 2 * messagesPerAdmission,
	}
}

func membershipCost(r *Results) Cost {
	return Cost{
		Role:      "membership",
		Mechanism: "probes of random nodes of the region, with piggybacked news",
		CPU:       r.At(MembershipCPU, nodesPerRegion) * nanosecond,
		BytesIn:   r.At(MembershipBytes, nodesPerRegion),
		BytesOut:  r.At(MembershipBytes, nodesPerRegion),
		Messages:  2 * r.At(MembershipMessages, nodesPerRegion),
	}
}

// claimsCost is an entry's share and the owned shards spread over all nodes.
func claimsCost(r *Results) Cost {
	return claimsAt(r, requestsPerNode*unrepeatableShare)
}

// claimsAt is the cost of so many claims a second.
func claimsAt(r *Results, claims float64) Cost {
	kept := claims * claimRetention
	bytes := claims * r.At(ControlClaim, nodesPerRegion)
	calls := claims * callsPerClaim
	return Cost{
		Role:      "claims: entry and shard owner",
		Mechanism: "shards of claims, written in groups by compare-and-swap",
		CPU:       (calls*r.At(PeerCPU, claimCallBytes) + claims*r.At(ClaimCPU, kept)) * nanosecond,
		Memory:    r.At(ClaimMemory, kept),
		BytesIn:   bytes,
		BytesOut:  bytes,
		Messages:  calls * 2,
	}
}

// Busiest is what a node costs that holds the most of each duty at once: two
// cells' share of admission, one shard of claims and a relay of the settings.
func Busiest(r *Results) []Cost {
	admission := admissionCost(r).times(cellsOfBusiest, "admission: two cells")
	shard := claimsAt(r, claimsPerShard)
	shard.Role = "claims: owner of one shard"
	relay := settingsCost(r)
	relay.Role = "settings: relay"
	relay.BytesOut = changesPerSec * settingsDocument(r) * relayFollowers
	return []Cost{rankingCost(r), admission, membershipCost(r), shard, relay, vmListCost(r)}
}

func (c Cost) times(n float64, role string) Cost {
	c.Role = role
	c.CPU *= n
	c.Memory *= n
	c.BytesIn *= n
	c.BytesOut *= n
	c.Messages *= n
	return c
}

// settingsDocument is the mean size of a team's document in bytes.
func settingsDocument(r *Results) float64 {
	return r.At(SettingsBytes, Workspaces) / (Workspaces / workspacesPerTeam)
}

func settingsCost(r *Results) Cost {
	return Cost{
		Role:      "settings: follower",
		Mechanism: "accepted revisions pushed by relays, healed by anti-entropy",
		CPU:       changesPerSec * r.At(SettingsCPU, Workspaces) * nanosecond,
		Memory:    r.At(SettingsMemory, Workspaces),
		BytesIn:   changesPerSec * settingsDocument(r),
		Messages:  changesPerSec,
	}
}

// vmListCost counts a whole read for each change and a conditional one at each
// poll.
func vmListCost(r *Results) Cost {
	vms := float64(Engines + Nodes)
	return Cost{
		Role:      "VM list: reader",
		Mechanism: "conditional GET with gzip, each node by itself",
		CPU:       vmChangesPerSec * r.At(VMListCPU, vms) * nanosecond,
		Memory:    vms * vmListEntryBytes,
		BytesIn:   vmChangesPerSec*r.At(VMListChangedBytes, vms) + pollsPerSec*conditionalAnswerBytes,
		BytesOut:  pollsPerSec * conditionalRequestBytes,
		Messages:  pollsPerSec * 2,
	}
}

// WriteModel prints the roles and their sum against the limits as a Markdown
// table.
func WriteModel(w io.Writer, costs []Cost) {
	fmt.Fprintln(w, "| role | carried by | CPU, % of a core | memory, MB | in, B/s | out, B/s | messages/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	var sum Cost
	for _, c := range costs {
		writeCost(w, c)
		sum.add(c)
	}
	sum.Role = "**sum**"
	writeCost(w, sum)
	fmt.Fprintf(w, "| **limit** | | %.1f | %d | %d together | | |\n",
		100*LimitControlCPU, LimitControlMem>>20, LimitControlBytes)
}

func writeCost(w io.Writer, c Cost) {
	fmt.Fprintf(w, "| %s | %s | %.3f | %.2f | %.0f | %.0f | %.2f |\n",
		c.Role, c.Mechanism, 100*c.CPU, c.Memory/(1<<20), c.BytesIn, c.BytesOut, c.Messages)
}

func (c *Cost) add(d Cost) {
	c.CPU += d.CPU
	c.Memory += d.Memory
	c.BytesIn += d.BytesIn
	c.BytesOut += d.BytesOut
	c.Messages += d.Messages
}
