package load

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPlanFollowsSeedAndShares(t *testing.T) {
	is := is.New(t)
	cfg := Config{
		Seed: 7, Keys: []string{"a", "b", "c", "d"}, Emergency: 0.1, Batch: 0.3,
		SurgeWorkspaces: 1, SurgeFactor: 10,
	}
	const chats = 10_000
	workspaces, urgencies := map[int]int{}, map[urgency]int{}
	for n := range chats {
		p, again := cfg.plan(n), cfg.plan(n)
		is.Equal(p.workspace, again.workspace)
		is.Equal(p.urgency, again.urgency)
		workspaces[p.workspace]++
		urgencies[p.urgency]++
	}
	checkShare := func(got int, share float64) { is.True(math.Abs(float64(got)/chats-share) < 0.02) }
	checkShare(workspaces[0], 10.0/13)
	for ws := 1; ws < 4; ws++ {
		checkShare(workspaces[ws], 1.0/13)
	}
	checkShare(urgencies[urgencyEmergency], 0.1)
	checkShare(urgencies[urgencyBatch], 0.3)
}

func TestValidateNamesTheFlag(t *testing.T) {
	good := Config{Nodes: []string{"n"}, Keys: []string{"k"}, MaxTries: 1, Window: 1}
	tests := map[string]func(*Config){
		"":             func(*Config) {},
		"--nodes":      func(c *Config) { c.Nodes = nil },
		"--keys":       func(c *Config) { c.Keys = nil },
		"--emergency":  func(c *Config) { c.Emergency, c.Batch = 0.6, 0.6 },
		"--notices":    func(c *Config) { c.Notices = -1 },
		"--surge":      func(c *Config) { c.SurgeWorkspaces, c.SurgeFactor = 2, 10 },
		"--max-tries":  func(c *Config) { c.MaxTries = 0 },
		"--window":     func(c *Config) { c.Window = 0 },
		"surge-factor": func(c *Config) { c.SurgeWorkspaces = 1 },
	}
	for want, change := range tests {
		c := good
		change(&c)
		err := c.Validate()
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func TestSkewIsWeighedByWindow(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	samples := []struct {
		second int
		loads  []float64
	}{
		{0, []float64{50, 50}},
		{1, []float64{54, 50}}, // skew 2 for 1 s
		{4, []float64{57, 53}}, // skew 1 for 3 s
		{5, []float64{57, 54}}, // below one request per engine
		{6, []float64{57, 54}}, // idle
	}
	var m skewMeter
	for _, s := range samples {
		m.add(start.Add(time.Duration(s.second)*time.Second), s.loads)
	}
	is.Equal(m.mean(), (2.0*1+1*3)/4)
	is.Equal(m.worst, 2.0)
	is.Equal(m.total(), 7.0*2/11) // the whole run as one window
}

func TestResultRows(t *testing.T) {
	is := is.New(t)
	r := newResult()
	r.add(nil, true)
	r.Reusable, r.Reused = 200, 150
	surge := Config{SurgeWorkspaces: 1}
	r.recordLatency(surge.classesOf(chatPlan{urgency: urgencyBatch, workspace: 1}), 20*time.Millisecond, time.Second)
	is.Equal(surge.classesOf(chatPlan{urgency: urgencyEmergency}), []class{classEmergency, classSurging})
	is.Equal(Config{}.classesOf(chatPlan{urgency: urgencyNormal}), []class{classNormal})
	var table, lines bytes.Buffer
	is.NoErr(r.Write(&table, &lines))
	is.True(strings.Contains(lines.String(), `{"name":"prefix reuse","section":"load","value":0.75}`))
	for _, c := range classes {
		want := c == classBatch || c == classOther
		is.Equal(strings.Contains(lines.String(), `"chats of":"`+string(c)+`"`), want)
	}
	is.Equal(r.Summary(), "demo: requests=1 whole=1 lost=0 doubled=0 reuse=0.75 skew=0.00")
}
