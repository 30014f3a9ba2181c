package routing

// targetName is the scenario of the summary line: a region of the target.
const targetName = "target"

// region is a region of the target; today is one of today's sites.
var (
	region = scenario{name: "steady", nodes: 53, engines: 786, lag: 2, cells: 26, way: wayCells}
	today  = scenario{name: "today", nodes: 8, engines: 18, lag: 2, cells: 2, way: wayCells}
)

var ways = []way{wayRandom, wayRoundRobin, wayTwoChoices, wayRendezvous, wayLocal, wayGossip, wayPerEngine, wayCells}

func scenarios() []scenario {
	var all []scenario
	for _, w := range ways {
		all = append(all, with(region, func(s *scenario) { s.way = w }))
	}
	all = append(all, today)
	all = append(all, faultScenarios()...)
	all = append(all, with(region, func(s *scenario) { s.name, s.surge, s.churn = targetName, 10, true }))
	return all
}

func faultScenarios() []scenario {
	return []scenario{
		with(region, func(s *scenario) { s.name, s.surge = "surge", 10 }),
		with(region, func(s *scenario) { s.name, s.churn = "churn", true }),
		with(region, func(s *scenario) { s.name, s.flap = "flap", 0.05 }),
		with(region, func(s *scenario) { s.name, s.split = "split", true }),
		with(region, func(s *scenario) { s.name, s.ownerLoss = "owner-loss", true }),
		with(region, func(s *scenario) { s.name, s.freeze = "frozen", true }),
		with(region, func(s *scenario) {
			s.name, s.surge, s.flap, s.ownerLoss = "loss+flap+surge", 10, 0.05, true
		}),
	}
}

func with(s scenario, change func(*scenario)) scenario {
	change(&s)
	return s
}
