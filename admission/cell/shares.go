package cell

import "math"

// shares counts requests in flight by workspace.
type shares struct {
	active  map[string]share
	weights float64 // sum over the active workspaces
	// knownWeights are the weights of all workspaces seen so far, since the lists of a Resync
	// don't carry them.
	knownWeights map[string]float64
}

type share struct {
	inFlight int
	weight   float64
}

func newShares() shares {
	return shares{active: make(map[string]share), knownWeights: make(map[string]float64)}
}

// add counts n more requests of a workspace; n may be negative.
func (s *shares) add(workspace string, n int) {
	w, ok := s.active[workspace]
	if !ok {
		w.weight = orDefault(s.knownWeights[workspace], 1)
		s.weights += w.weight
	}
	w.inFlight += n
	if w.inFlight <= 0 {
		s.weights -= w.weight
		delete(s.active, workspace)
		return
	}
	s.active[workspace] = w
}

// setWeight sets the weight of a workspace; 0 means 1.
func (s *shares) setWeight(workspace string, weight float64) {
	weight = orDefault(weight, 1)
	s.knownWeights[workspace] = weight
	w, ok := s.active[workspace]
	if !ok {
		return
	}
	s.weights += weight - w.weight
	w.weight = weight
	s.active[workspace] = w
}

// exceedsShare reports whether one more request takes a workspace beyond its weighted share
// of a capacity that is divided among the active workspaces. A cell gets only a part of each
// workspace's requests, so the share has a margin: one request and the standard deviation of
// a Poisson count.
func (s *shares) exceedsShare(workspace string, weight float64, capacity int) bool {
	weight = orDefault(weight, 1)
	w, ok := s.active[workspace]
	weights := s.weights + weight - w.weight
	if !ok {
		weights = s.weights + weight
	}
	fair := float64(capacity) * weight / weights
	return float64(w.inFlight+1) > fair+1+math.Sqrt(fair)
}
