package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelLoads are loads of eight nodes and 18 engines, as at the incident, with what may be mistaken for a part that
// ends engines, or hide it.
func modelLoads() map[string]fleetLoad {
	base := fleetLoad{
		nodes: 8, engines: 18, duration: 30 * time.Second, soundEvery: 5 * time.Millisecond, sessions: 350,
		longest: 2 * time.Second, culprits: 1, culpritEvery: 300 * time.Millisecond, delay: 30 * time.Millisecond, chanceCount: 1,
	}
	change := func(f func(l *fleetLoad)) fleetLoad {
		l := base
		f(&l)
		return l
	}
	return map[string]fleetLoad{
		"one part":                 base,
		"first part":               change(func(l *fleetLoad) { l.inFirst = true }),
		"every 20 ms":              change(func(l *fleetLoad) { l.culpritEvery = 20 * time.Millisecond }),
		"two parts":                change(func(l *fleetLoad) { l.culprits = 2 }),
		"few sound requests":       change(func(l *fleetLoad) { l.soundEvery = 50 * time.Millisecond }),
		"crashes by chance":        change(func(l *fleetLoad) { l.culprits, l.chanceEvery = 0, 400*time.Millisecond }),
		"beside crashes by chance": change(func(l *fleetLoad) { l.chanceEvery = 400 * time.Millisecond }),
		"beside a lost domain":     change(func(l *fleetLoad) { l.chanceEvery, l.chanceCount = 4*time.Second, 6 }),
		"all nodes killed":         change(func(l *fleetLoad) { l.killAllAt = time.Second }),
		"all killed, part known":   change(func(l *fleetLoad) { l.killAllAt = 5 * time.Second }),
		"nodes added":              change(func(l *fleetLoad) { l.addAt = 700 * time.Millisecond }),
		"nodes added, part known":  change(func(l *fleetLoad) { l.addAt = 6 * time.Second }),
		"a node frozen":            change(func(l *fleetLoad) { l.freezeFor = 6 * time.Second }),
		"long streams":             change(func(l *fleetLoad) { l.longest, l.chanceEvery = 15*time.Second, time.Second }),
		"table and message full": change(func(l *fleetLoad) {
			l.chanceEvery, l.chanceCount, l.maxEntries, l.maxRecords = 4*time.Second, 6, 200, 16
		}),
		"nodes killed in turn":     change(func(l *fleetLoad) { l.killEvery = 500 * time.Millisecond }),
		"nodes cut off":            change(func(l *fleetLoad) { l.cutFor = 8 * time.Second }),
		"a third of messages lost": change(func(l *fleetLoad) { l.loss = 0.33 }),
	}
}

// Guards against requests that share a harmful part ending engine after engine, and against innocent parts that were
// at the same terminations being taken for it.
func TestFleetKeepsHarmfulPartsFromEngines(t *testing.T) {
	t.Parallel()
	for name, l := range modelLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for l.seed = range *fleetSeeds {
				m := newModelFleet(l, DefaultConfig())
				m.play()
				t.Logf("%s, seed %d: %v", name, l.seed, m)
				m.check(t.Errorf)
				if l.maxEntries > 0 && (m.fullestTable < l.maxEntries*3/4 || m.fullestMessage < l.maxRecords) {
					t.Errorf("only %d entries and %d records: nothing had to be left out", m.fullestTable, m.fullestMessage)
				}
			}
		})
	}
}

// The same for loads, delays, losses and restarts at random.
func TestAnyFleetKeepsHarmfulPartsFromEngines(t *testing.T) {
	ms := func(r *rapid.T, from, to int, name string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(r, name)) * time.Millisecond
	}
	rapid.Check(t, func(r *rapid.T) {
		l := fleetLoad{
			seed: rapid.Uint64().Draw(r, "seed"), nodes: rapid.IntRange(2, 12).Draw(r, "nodes"), duration: 12 * time.Second,
			engines: rapid.IntRange(10, 30).Draw(r, "engines"), soundEvery: ms(r, 20, 200, "sound"),
			sessions: rapid.IntRange(20, 500).Draw(r, "sessions"), longest: ms(r, 0, 4000, "longest"),
			culprits: rapid.IntRange(0, 2).Draw(r, "culprits"), culpritEvery: ms(r, 200, 1000, "culprit"),
			inFirst: rapid.Bool().Draw(r, "first"), chanceCount: rapid.IntRange(1, 3).Draw(r, "together"),
			loss: rapid.Float64Range(0, 0.3).Draw(r, "loss"), delay: ms(r, 1, 100, "delay"),
		}
		// Half of the engines are up on average, or nothing can be answered.
		l.culpritEvery = max(l.culpritEvery, time.Duration(2*l.culprits)*engineDowntime/time.Duration(l.engines))
		if rapid.Bool().Draw(r, "chance") {
			l.chanceEvery = ms(r, 500, 3000, "chanceEvery")
		}
		switch rapid.IntRange(0, 3).Draw(r, "fault") {
		case 1:
			l.killAllAt = ms(r, 100, 10_000, "killAll")
		case 2:
			l.killEvery = ms(r, 1500, 5000, "kill")
		case 3:
			l.cutFrom, l.cutFor = ms(r, 0, 5000, "cutFrom"), ms(r, 100, 10_000, "cutFor")
		}
		m := newModelFleet(l, DefaultConfig())
		m.play()
		m.check(r.Fatalf)
	})
}

// Guards against a part that a release has mended being kept from engines for good, and against a trial that harms more
// than one engine while it isn't mended.
func TestMendedPartIsServedAgain(t *testing.T) {
	t.Parallel()
	l := modelLoads()["one part"]
	l.duration = 90 * time.Second
	for _, mended := range []bool{true, false} {
		if mended {
			l.mendAt = 20 * time.Second
		} else {
			l.mendAt = 0
		}
		m := newModelFleet(l, DefaultConfig())
		m.play()
		ended := len(m.ends[culpritBase])
		quarantined := m.nodes[0].guard.Quarantined(PartFingerprint("service", culpritBase))
		t.Logf("mended %t: %d engines ended, in quarantine at the end: %t", mended, ended, quarantined)
		if quarantined == mended {
			t.Errorf("mended %t: in quarantine %t at the end", mended, quarantined)
		}
		m.check(t.Errorf)
	}
}
