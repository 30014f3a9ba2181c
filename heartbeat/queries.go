package heartbeat

import "time"

// Targets calls f for each hash with the sum of what the other nodes report about that target.
func (e *Exchange) Targets(hashes []uint64, f func(i int, s Sum)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, h := range hashes {
		f(i, e.machine.view.Target(h))
	}
}

// LiveNodes returns the number of live nodes, including this one. It is at most an interval and a
// step old.
func (e *Exchange) LiveNodes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.liveNodes
}

// KnownNodes returns the number of nodes, including this one, that are live or were within the last
// minute. For a node that has lost contact with the others, or has just started, it is still
// the size of the whole fleet: each node's share of a fleet-wide limit must not grow then.
func (e *Exchange) KnownNodes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.machine.view.size()
	if e.now().Sub(e.started) < discoveryTime {
		return max(known, assumedFleetSize)
	}
	return known
}

const (
	// discoveryTime is how long a node needs after its start to discover all other nodes.
	discoveryTime = time.Second
	// assumedFleetSize is the largest fleet size that the design supports.
	assumedFleetSize = 370
)

// Interval returns the time between two messages to the same node.
func (e *Exchange) Interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.interval()
}

// CountAge returns the maximum age of the other nodes' counts while no message is lost.
func (e *Exchange) CountAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.CountAgeFor(e.machine.view.size())
}

// Ahead returns a live node with a newer configuration than catalog or newer targets than those
// at position; ok is false if there is none.
func (e *Exchange) Ahead(catalog, position int64) (node string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.Ahead(catalog, position, e.now(), e.machine.subs.rng)
}

// WatcherRank returns how many live nodes precede this one in the order of the store's watchers,
// and how many other live nodes there are.
func (e *Exchange) WatcherRank(storeUnreachable bool) (rank, heard int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.WatcherRank(storeUnreachable, e.leaving, e.now())
}

// KnownRank returns how many known nodes, live or not, precede this one in a fixed order, how many
// other nodes are known, and from how many of these a message was received.
func (e *Exchange) KnownRank() (rank, known, heard int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.KnownRank()
}

// Self returns this node's address and the number of its run.
func (e *Exchange) Self() (node string, incarnation int64) { return e.self, e.machine.incarnation }

// Owners returns up to limit live nodes that aren't leaving, this one included, in the rendezvous
// order of key.
func (e *Exchange) Owners(key uint64, limit int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.Owners(key, limit, e.leaving, e.now())
}

// Groups returns the other live nodes that aren't leaving by their groups, this node's group first, each in
// the rendezvous order of key. A small fleet is a single group. Nodes report to all nodes of their group.
func (e *Exchange) Groups(key uint64) (own []string, others [][]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.Groups(key, e.now())
}

// StreamHolders returns up to limit other live nodes of this node's group that take records of streams and
// aren't leaving, in the rendezvous order of key.
func (e *Exchange) StreamHolders(key uint64, limit int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.StreamHolders(key, limit, e.now())
}

// LiveAddresses returns the addresses of the other live nodes.
func (e *Exchange) LiveAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.LiveAddresses(e.now(), e.machine.view.size())
}

// StayingAddresses returns the addresses of the other live nodes that haven't announced that they leave.
func (e *Exchange) StayingAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	e.machine.view.live(e.now(), func(node string, p *peer) {
		if !p.report.Leaving {
			out = append(out, node)
		}
	})
	return out
}

// IsLive reports whether another node is live.
func (e *Exchange) IsLive(node string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.isLive(node, e.now())
}

// HeardAt returns when the last message of a node arrived, zero for never.
func (e *Exchange) HeardAt(node string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.heardAt(node)
}

// FleetSize returns the number of nodes, this one included, that are live or were within the last
// minute, without those that have announced that they leave. Unlike KnownNodes it is small at the
// start of a node.
func (e *Exchange) FleetSize() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.staying()
}

// Position returns this node's position, from 0, in an order of all nodes for key on which they agree, and
// the number of nodes. Nodes that were lost lately are included, so that a node that has lost contact with
// the others doesn't take their positions. A node that has just started is last of the largest fleet.
func (e *Exchange) Position(key uint64) (position, nodes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	position, nodes = e.machine.view.position(key)
	if e.now().Sub(e.started) < discoveryTime {
		nodes = max(nodes, assumedFleetSize)
		position = nodes - 1
	}
	return position, nodes
}

// ConfirmedAt returns when a node at the given position last confirmed that it is the store's
// newest. It is zero if none has.
func (e *Exchange) ConfirmedAt(position int64) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.ConfirmedAt(position)
}

// LaterConfirmedAt returns when a live node at a later position than the given one last
// confirmed that its position is the store's newest. It is zero if none has.
func (e *Exchange) LaterConfirmedAt(position int64) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.view.LaterConfirmedAt(position, e.now())
}
