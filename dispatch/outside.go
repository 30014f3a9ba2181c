package dispatch

import "time"

// Requests outside are the minimum over outsideSpan, in steps of outsideStep: counts of heartbeats
// are up to 1.6 s old, so that their excess over the known places is often that of requests which
// have ended; what a node runs without asking is there all the time.
const (
	outsideSpan  = time.Second
	outsideStep  = 100 * time.Millisecond
	outsideSteps = int64(outsideSpan / outsideStep)
)

// outsideCounts has, for each target, the requests that heartbeats report above the known places.
type outsideCounts map[string]*minimum

// observe records one comparison. counted are the requests that heartbeats report and known the
// places that the same nodes hold.
func (o outsideCounts) observe(target string, now time.Time, counted, known int) {
	m := o[target]
	if m == nil {
		m = &minimum{}
		o[target] = m
	}
	m.observe(now, max(counted-known, 0))
}

// at returns the requests outside at a target, 0 while it has been observed for less than
// outsideSpan.
func (o outsideCounts) at(target string, now time.Time) int {
	if m := o[target]; m != nil {
		return m.value(now)
	}
	return 0
}

// keep removes all targets but those listed.
func (o outsideCounts) keep(listed func(string) bool) {
	for id := range o {
		if !listed(id) {
			delete(o, id)
		}
	}
}

// minimum is the smallest value in each of the last steps.
type minimum struct {
	steps [outsideSteps + 1]struct {
		step  int64
		value int
	}
}

func (m *minimum) observe(now time.Time, value int) {
	step := now.UnixNano() / int64(outsideStep)
	s := &m.steps[step%int64(len(m.steps))]
	if s.step != step {
		s.step, s.value = step, value
	}
	s.value = min(s.value, value)
}

// value returns the minimum of the last outsideSteps complete steps and the present one, 0 if one
// of the complete steps has no observation.
func (m *minimum) value(now time.Time) int {
	last := now.UnixNano() / int64(outsideStep)
	least := -1
	for step := last - outsideSteps; step <= last; step++ {
		s := m.steps[step%int64(len(m.steps))]
		switch {
		case s.step == step && (least < 0 || s.value < least):
			least = s.value
		case s.step != step && step < last:
			return 0
		}
	}
	return max(least, 0)
}
