package routing

// Periods of the faults, in seconds; they are far more frequent than the
// target's, so that a short run meets many. Lives are of one engine, so that
// a pool meets as many as its size brings.
const (
	leaveNotice  = 120.0   // from the first word until the engine stops
	leaveLife    = 12000.0 // an engine leaves once in this time on average
	killLife     = 36000.0 // and is killed once in this
	flapPeriod   = 20.0
	flapHidden   = 5.0
	splitLength  = 10.0
	lossPeriod   = 60.0
	restartDelay = 20.0
	detectDelay  = 1.5 // until the first node notices a dead one
	freezeLength = 10.0
)

func (s *sim) scheduleFaults() {
	if s.surge > 1 {
		s.queue.push(s.warmup+surgeAfter, s.startSurge)
	}
	if s.churn {
		s.queue.push(s.warmup/2, s.leaveOne)
		s.queue.push(s.warmup, s.killOne)
	}
	for i := range int(s.flap * float64(s.scenario.engines)) {
		e := s.engines[i*int(1/s.flap)]
		s.queue.push(s.warmup/2+s.rng.Float64()*flapPeriod, func() { s.hide(e) })
	}
	if s.split {
		s.queue.push(s.warmup+surgeAfter+20, s.startSplit)
	}
	if s.ownerLoss {
		s.queue.push(s.warmup/2, s.loseNode)
	}
	if s.freeze {
		s.queue.push(s.warmup+surgeAfter+20, s.freezeNode)
	}
}

func (s *sim) startSurge() {
	s.surging = true
	extra := int((s.surge - 1) * surgeShare * s.chats())
	for range extra {
		c := s.newChat(true)
		s.after(s.rng.Float64()*(s.service+meanThink), func() { s.turn(c) })
	}
	s.after(surgeLength, func() { s.surging = false })
}

func (s *sim) pickLive() *engine {
	for {
		if e := s.engines[s.rng.IntN(len(s.engines))]; e.state == engineLive {
			return e
		}
	}
}

// leaveOne makes an engine leave and another join.
func (s *sim) leaveOne() {
	e := s.pickLive()
	e.state, e.since = engineLeaving, s.now
	s.addEngine()
	s.publish()
	s.after(leaveNotice, func() { s.stop(e) })
	s.after(leaveLife/float64(s.scenario.engines), s.leaveOne)
}

func (s *sim) killOne() {
	s.stop(s.pickLive())
	s.addEngine()
	s.after(killLife/float64(s.scenario.engines), s.killOne)
}

func (s *sim) stop(e *engine) {
	e.state, e.since = engineGone, s.now
	s.cut(e.inFlight)
	s.after(detectDelay, s.publish)
}

// hide takes a flapping engine off the lists; it goes on running.
func (s *sim) hide(e *engine) {
	if e.state != engineLive {
		return
	}
	e.state, e.since = engineHidden, s.now
	s.publish()
	s.after(flapHidden, func() {
		e.state, e.since = engineLive, s.now
		s.publish()
		s.after(flapPeriod-flapHidden, func() { s.hide(e) })
	})
}

// startSplit lets the second half of the nodes miss a tenth of the nodes and
// engines for a while; both halves go on serving.
func (s *sim) startSplit() {
	split := &splitView{nodes: make(map[int]bool), engines: make(map[int]bool)}
	for i := 0; i < len(s.nodes); i += 10 {
		split.nodes[i] = true // even, so that these see themselves
	}
	for i := 0; i < len(s.engines); i += 10 {
		split.engines[i] = true
	}
	s.views.split = split
	s.publish()
	s.after(splitLength, func() {
		s.views.split = nil
		s.publish()
	})
}

// loseNode kills a node with its memory; it comes back empty.
func (s *sim) loseNode() {
	n := s.nodes[s.pickNode()]
	n.state = nodeDown
	s.cut(n.inFlight)
	s.policy.nodeLost(n)
	s.after(detectDelay, s.publish)
	s.after(restartDelay, func() {
		n.state = nodeUp
		n.incarnation++
		s.views.version++
		s.deliver(n, s.buildView(false))
		s.publish()
	})
	s.after(lossPeriod, s.loseNode)
}

// freezeNode stops a node that comes back believing what it believed.
func (s *sim) freezeNode() {
	n := s.nodes[s.pickNode()]
	n.state = nodeFrozen
	s.after(detectDelay, s.publish)
	s.after(freezeLength, func() {
		n.state = nodeUp
		s.after(detectDelay, s.publish)
	})
}
