package heartbeat

import (
	"math"
	"math/bits"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// Config sets the message rate and the timeouts of the exchange.
type Config struct {
	// Interval is the time between two reports to the same node in a small
	// fleet.
	Interval time.Duration
	// MaxInbound is the maximum number of reports and sums that a node should receive per
	// second; a fleet in which Interval would exceed it uses a longer interval.
	MaxInbound float64
	// Batch is the maximum number of nodes that are sent a message at the same moment: 12
	// messages of 600 bytes take 3 ms on a link of 20 Mbit/s. Each batch costs one pass over
	// all known nodes and targets.
	Batch int
	// CountTTLIntervals is the number of intervals after which the counts of a silent node are
	// dropped, and MinCountTTL the lower bound on that time: nodes that wait for CPU time
	// report late.
	CountTTLIntervals int
	MinCountTTL       time.Duration
	// MinSumTTL is the minimum time after which the sum of another group is dropped unless it
	// is renewed.
	MinSumTTL time.Duration
	// LostIntervals is the number of intervals after which a silent node counts as lost, and
	// MinLostTimeout the lower bound on that time.
	LostIntervals  int
	MinLostTimeout time.Duration
	// RelayTimeoutIntervals is the number of intervals without a sum after which another relay
	// is asked for it.
	RelayTimeoutIntervals float64
	// Lease is how long a relay sends a group's sum after a subscription. A relay is replaced
	// when its lease has been renewed maxRenewals times, which bounds how long a node may be
	// missing from the counts because this relay gets no reports from it.
	Lease time.Duration
	// AnnounceFanout is the number of nodes that are sent a version change at once.
	AnnounceFanout int
	// AddressTTL is how long the address of a lost node is kept and retried.
	AddressTTL time.Duration
}

// DefaultConfig results in 30 inbound reports per second at 7 nodes: within 200 ms a node of a
// small fleet starts about 7 requests, which the load bound allows for. With 87 messages per
// second, subscriptions and version announcements still fit under 100.
func DefaultConfig() Config {
	return Config{
		Interval: 200 * time.Millisecond, MaxInbound: 87, Batch: 12,
		CountTTLIntervals: 3, MinCountTTL: 800 * time.Millisecond, LostIntervals: 4, MinLostTimeout: 1600 * time.Millisecond,
		MinSumTTL: 1100 * time.Millisecond, RelayTimeoutIntervals: 2, Lease: 2200 * time.Millisecond, AnnounceFanout: 8, AddressTTL: time.Minute,
	}
}

// maxMeshSize is the maximum number of nodes that form a full mesh: in a larger fleet, 200 ms
// between reports would result in more than 85 messages per second.
const maxMeshSize = 16

// groupsFor returns the number of groups for a fleet of n nodes. It is a power of two close to
// the number of nodes in a group, which minimizes the number of messages.
func groupsFor(n int) int {
	if n <= maxMeshSize {
		return 1
	}
	return 1 << int(math.Round(math.Log2(float64(n))/2))
}

// groupShrinkRatio is the fraction of the size limit below which a fleet goes back to fewer
// groups, so that a single node that joins and leaves doesn't change the groups each time.
const groupShrinkRatio = 0.75

// nextGroups returns the number of groups for a fleet of n nodes that has current groups now.
func nextGroups(n, current int) int {
	if up := groupsFor(n); up >= current {
		return up
	}
	return min(current, groupsFor(int(float64(n)/groupShrinkRatio)))
}

// groupKey returns the hash that determines a node's group. It depends on the address only, so
// all nodes compute the same group, whichever other addresses they have.
func groupKey(node string) uint64 { return routing.Key(routing.Hash(node)) }

// groupOf returns the group of the node with the given key, taken from the key's leading bits.
func groupOf(key uint64, groups int) int {
	return int(key >> 1 >> (63 - bits.Len(uint(groups-1))))
}

// inboundPerInterval returns the number of messages that a node receives in an interval: the
// reports of the other nodes of its group, and one sum of each other group.
func inboundPerInterval(n int) float64 {
	groups := groupsFor(n)
	return float64(n)/float64(groups) + float64(groups-1)
}

// IntervalFor returns the time between two messages to the same node in a fleet of n nodes.
func (c Config) IntervalFor(n int) time.Duration {
	paced := time.Duration(inboundPerInterval(n) / c.MaxInbound * float64(time.Second))
	return max(c.Interval, paced)
}

// CountAgeFor returns the maximum age of other nodes' counts in a fleet of n nodes while no
// message is lost. Counts of other groups take two hops.
func (c Config) CountAgeFor(n int) time.Duration {
	if groupsFor(n) == 1 {
		return c.IntervalFor(n)
	}
	return 2 * c.IntervalFor(n)
}

// countTTL returns how long counts are kept without a new report.
func (c Config) countTTL(interval time.Duration) time.Duration {
	return max(c.MinCountTTL, time.Duration(c.CountTTLIntervals)*interval)
}

// lostTimeout returns how long a node may be silent before it counts as lost.
func (c Config) lostTimeout(interval time.Duration) time.Duration {
	return max(c.MinLostTimeout, time.Duration(c.LostIntervals)*interval)
}

// sumTTL returns how long the sum of another group is kept. It covers the time until the first
// sum of the next relay arrives if a relay falls silent.
func (c Config) sumTTL(interval time.Duration) time.Duration {
	return max(c.MinSumTTL, c.relayTimeout(interval)+interval)
}

// relayTimeout returns how long a relay may be silent before another one is asked.
func (c Config) relayTimeout(interval time.Duration) time.Duration {
	return time.Duration(c.RelayTimeoutIntervals * float64(interval))
}
