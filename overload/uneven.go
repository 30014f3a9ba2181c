package overload

import (
	"math"
	"time"
)

const (
	// unevenDecay is the time constant of the measured part: within a second a node sees that it gets most requests.
	unevenDecay = 500 * time.Millisecond
	// unevenSamples is the number of requests in progress at which the measured and an equal part have equal weight.
	unevenSamples = 20
	// unevenFactor is how many times an equal part a node must have for the load to count as uneven. Below, chance and the
	// age of the counts make such differences.
	unevenFactor = 2
)

// fleetPart measures this node's part of the fleet's requests in progress.
type fleetPart struct {
	// own and equal are the decaying sums of the requests in progress of this node and of an equal part of all, as
	// of at.
	own, equal float64
	at         time.Time
}

// observe adds a count.
func (p *fleetPart) observe(l Load, now time.Time, decay time.Duration) {
	left := math.Exp(-now.Sub(p.at).Seconds() / decay.Seconds())
	p.own = p.own*left + float64(l.Own)
	p.equal = p.equal*left + float64(l.Running)/float64(max(l.Nodes, 1))
	p.at = now
}

// of returns the part of this node among nodes, with an equal one weighing as much as the given number of samples.
func (p *fleetPart) of(nodes int, samples float64) float64 {
	return min((p.own+samples)/(p.equal+samples)/float64(max(nodes, 1)), 1)
}

// unevenPart returns this node's part of the fleet's requests if it is much larger than an equal one, else false. Callers'
// new connections may all be handed to one node for some seconds.
func (g *Gate) unevenPart(l Load) (float64, bool) {
	part := g.part.of(l.Nodes, unevenSamples)
	return part, part*float64(l.Nodes) >= unevenFactor
}
