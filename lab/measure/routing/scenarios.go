package routing

// targetName is the scenario of the summary line: a region of the target.
const targetName = "target"

// Bases of the scenarios: a region of the target, and a site of today with the
// target's load by engine. Cells have about 30 engines, or the fewest that
// leave no node over its bytes.
var (
	region = scenario{name: "steady", nodes: 53, engines: 786, lag: 2, cells: 26, way: wayCells}
	today  = scenario{name: "today", nodes: 8, engines: 18, lag: 2, cells: 2, way: wayCells}
)

var ways = []way{wayRandom, wayRoundRobin, wayTwoChoices, wayRendezvous, wayLocal, wayGossip, wayPerEngine, wayCells}

func scenarios() []scenario {
	var all []scenario
	all = append(all, wayScenarios()...)
	all = append(all, lagScenarios()...)
	all = append(all, sizeScenarios()...)
	all = append(all, faultScenarios()...)
	all = append(all, knobScenarios()...)
	all = append(all, siteScenarios()...)
	return append(all, target(wayCells))
}

// target is a region of the target under surge and churn.
func target(w way) scenario {
	return with(region, func(s *scenario) { s.name, s.way, s.surge, s.churn = targetName, w, 10, true })
}

func wayScenarios() []scenario {
	var all []scenario
	for _, w := range ways {
		all = append(all, with(region, func(s *scenario) { s.way = w }))
	}
	for _, w := range ways[:len(ways)-1] {
		all = append(all, target(w))
	}
	return all
}

// lagScenarios vary the age of reports; for owners, of what they tell each
// other.
func lagScenarios() []scenario {
	var all []scenario
	for _, w := range []way{wayLocal, wayCells} {
		for _, lag := range []float64{0, 0.5, 2, 5} {
			all = append(all, with(target(w), func(s *scenario) { s.name, s.lag, s.quiet = "lag", lag, max(lag, tickPeriod) }))
		}
	}
	return all
}

// sizeScenarios go from one node to the whole fleet as one pool, which is
// larger than any region.
func sizeScenarios() []scenario {
	var all []scenario
	for _, z := range []scenario{
		{nodes: 1, engines: 18, cells: 1},
		{nodes: 8, engines: 18, cells: 2},
		{nodes: 8, engines: 196, cells: 7},
		{nodes: 370, engines: 5500, cells: 185, warmup: 70, length: 40},
	} {
		for _, w := range []way{wayTwoChoices, wayLocal, wayCells} {
			all = append(all, with(z, func(s *scenario) { s.name, s.way, s.lag, s.churn = "size", w, 2, true }))
		}
	}
	return all
}

func faultScenarios() []scenario {
	faults := []struct {
		name string
		set  func(*scenario)
	}{
		{"surge", func(s *scenario) { s.surge = 10 }},
		{"churn", func(s *scenario) { s.churn = true }},
		{"flap", func(s *scenario) { s.flap = flapShare }},
		{"split", func(s *scenario) { s.split = true }},
		{"owner-loss", func(s *scenario) { s.ownerLoss = true }},
		{"frozen", func(s *scenario) { s.freeze = true }},
		{"loss+flap+surge", func(s *scenario) { s.surge, s.flap, s.ownerLoss = 10, flapShare, true }},
		{"full", func(s *scenario) { s.surge, s.maxInFlight = 10, 28 }},
	}
	var all []scenario
	for _, base := range []scenario{region, with(today, func(s *scenario) { s.engines = 20 })} {
		for _, f := range faults {
			all = append(all, with(base, func(s *scenario) { s.name = f.name; f.set(s) }))
		}
	}
	return append(all, with(region, func(s *scenario) { s.name, s.surge, s.maxInFlight, s.way = "full", 10, 28, wayLocal }))
}

// flapShare of the engines flap.
const flapShare = 0.05

func knobScenarios() []scenario {
	var all []scenario
	for _, c := range []float64{1.05, 1.1, 1.25, 1.5, 2} {
		all = append(all, with(region, func(s *scenario) { s.name, s.c = "knob", c }))
	}
	for _, f := range []float64{0.01, 0.75, 1.25} {
		all = append(all, with(region, func(s *scenario) { s.name, s.newFactor = "new-factor", f }))
	}
	return all
}

// siteScenarios are today's sites at both loads that their figures allow: the
// target's answers of 21 s, and 435 steps of 3 ms.
func siteScenarios() []scenario {
	const stepService, stepInFlight = 1.3, 4
	var all []scenario
	for _, site := range []struct {
		name  string
		nodes int
		c     []float64
	}{{"tuberias", 8, []float64{1.25, 1.5, 1.75}}, {"addressing", 7, []float64{1.1, 1.15, 1.25}}} {
		for _, c := range site.c {
			slow := with(today, func(s *scenario) { s.name, s.nodes, s.c, s.churn = site.name, site.nodes, c, true })
			quick := with(slow, func(s *scenario) { s.name, s.service, s.inFlight = s.name+"-3ms", stepService, stepInFlight })
			all = append(all, slow, quick)
		}
	}
	return all
}

func with(s scenario, change func(*scenario)) scenario {
	change(&s)
	return s
}
