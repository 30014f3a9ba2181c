package replica

import "time"

// After a stop of all nodes, the store may be silent when they start again: it accepts calls or
// drops them and answers nothing, and calls that began meanwhile hang until their timeout, also
// when the store answers new ones again. A node without a configuration therefore doesn't wait
// for the end of a call, but begins further reads, which overlap. Each is a billed call and the
// first node that is answered passes its copy on, so the nodes take turns: in a cycle whose
// length grows with the fleet each node has one slot, by its rank and the time of day. Nodes
// whose clocks or ranks differ read at another time of the cycle, which changes the number of
// reads little and makes the times between them less even.
const (
	// probeSlot is the length of a slot: all nodes together begin 50 reads a second, the store
	// has been answering for 10 ms on average when the next one begins, and a store that answers
	// only a tenth of the nodes is found within 0.2 s on average.
	probeSlot = 20 * time.Millisecond
	// minProbeCycle is the minimum length of the cycle, for small fleets.
	minProbeCycle = 150 * time.Millisecond
	// unheardProbeCycle is the length of the cycle for a node that knows other nodes' addresses
	// but has heard from none, so that it knows only a part of the fleet: 295 such nodes begin
	// a tenth of the reads that the store allows.
	unheardProbeCycle = 500 * time.Millisecond
	// minProbeGap is the minimum time between two reads of a node. The store normally answers
	// in milliseconds.
	minProbeGap = 50 * time.Millisecond
	// probeTick is the time between two decisions whether to begin a read.
	probeTick = 10 * time.Millisecond
)

// probeTurn is when a node without a configuration begins its reads of the store: at offset in
// each cycle, counted from the Unix epoch.
type probeTurn struct{ cycle, offset time.Duration }

// probeTurnOf returns the turn of a node. rank is the number of known nodes that precede it in an
// order which doesn't depend on their state, since each change of rank would leave slots empty.
// known is the number of other nodes, heard the number of those from which heartbeats were
// received.
func probeTurnOf(rank, known, heard int) probeTurn {
	cycle := max(minProbeCycle, time.Duration(roundFleet(known+1))*probeSlot)
	if heard == 0 && known > 0 {
		cycle = max(cycle, unheardProbeCycle)
	}
	return probeTurn{cycle, cycle * time.Duration(rank) / time.Duration(known+1)}
}

// roundFleet returns the size of a fleet rounded up by less than a quarter, so that nodes that see
// slightly different sizes agree on the length of the cycle.
func roundFleet(fleet int) int {
	step := 1
	for step*8 < fleet {
		step *= 2
	}
	return (fleet + step - 1) / step * step
}

// begins reports whether the turn begins after the time of the last decision, and at now at the
// latest.
func (p probeTurn) begins(last, now time.Time) bool {
	index := func(t time.Time) int64 { return (t.UnixNano() - int64(p.offset)) / int64(p.cycle) }
	return index(now) > index(last)
}
