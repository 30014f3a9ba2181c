package cell

import (
	"slices"
	"time"
)

// The requests and grants of the last second are counted in steps, so that the oldest step can be
// dropped.
const (
	flowStep  = 100 * time.Millisecond
	flowSteps = 10
)

// window counts events of the last flowSteps steps.
type window struct {
	steps [flowSteps]int32
	sum   int32
}

func (w *window) add(step int64) {
	w.steps[step%flowSteps]++
	w.sum++
}

// drop forgets the events of the oldest step, whose place the given step takes.
func (w *window) drop(step int64) {
	w.sum -= w.steps[step%flowSteps]
	w.steps[step%flowSteps] = 0
}

// flow counts requests and grants.
type flow struct {
	demand, grants window
	// deficit is how many grants are missing to the guaranteed part of the fair share.
	deficit float64
}

func (f *flow) drop(step int64) {
	f.demand.drop(step)
	f.grants.drop(step)
}

// workspaceFlow is the flow of one workspace.
type workspaceFlow struct {
	flow
	name    string
	weight  float64
	waiting int
	held    int     // places, while requests wait
	room    float64 // places to its fair share of them; negative if it holds more
}

// flows counts the requests and grants of the last second, in all and by urgency and workspace.
type flows struct {
	flow
	step       int64
	started    time.Time
	urgencies  [urgencies]flow
	byName     map[string]*workspaceFlow
	workspaces []*workspaceFlow // those with requests or grants in the last second, or that wait
}

func newFlows() flows { return flows{byName: make(map[string]*workspaceFlow)} }

// advance drops the steps that are older than a second.
func (f *flows) advance(now time.Time) {
	step := now.UnixNano() / int64(flowStep)
	if f.started.IsZero() {
		f.started, f.step = now, step
	}
	if step <= f.step {
		return
	}
	for s := max(f.step+1, step-flowSteps+1); s <= step; s++ {
		f.drop(s)
		for i := range f.urgencies {
			f.urgencies[i].drop(s)
		}
		for _, w := range f.workspaces {
			w.drop(s)
		}
	}
	f.step = step
	f.workspaces = slices.DeleteFunc(f.workspaces, func(w *workspaceFlow) bool {
		idle := w.waiting == 0 && w.demand.sum == 0 && w.grants.sum == 0
		if idle {
			delete(f.byName, w.name)
		}
		return idle
	})
}

// arrive counts a request and returns the flow of its workspace.
func (f *flows) arrive(now time.Time, a *AcquireRequest) *workspaceFlow {
	f.advance(now)
	w := f.byName[a.Workspace]
	if w == nil {
		w = &workspaceFlow{name: a.Workspace}
		f.byName[a.Workspace] = w
		f.workspaces = append(f.workspaces, w)
	}
	w.weight = orDefault(a.Weight, 1)
	f.demand.add(f.step)
	w.demand.add(f.step)
	f.urgencies[clampUrgency(a.Urgency)].demand.add(f.step)
	return w
}

// grant counts a grant.
func (f *flows) grant(a *AcquireRequest, w *workspaceFlow) {
	f.grants.add(f.step)
	w.grants.add(f.step)
	f.urgencies[clampUrgency(a.Urgency)].grants.add(f.step)
}

// demandUpTo returns the requests a second of an urgency and the more urgent ones.
func (f *flows) demandUpTo(now time.Time, urgency int) float64 {
	sum := int32(0)
	for i := range clampUrgency(urgency) + 1 {
		sum += f.urgencies[i].demand.sum
	}
	counted := min(max(now.Sub(f.started), flowStep), flowSteps*flowStep)
	return float64(sum) / counted.Seconds()
}

// holdSamples is the number of releases over which the time for which a place is held is learnt. With 100 the mean
// is within a tenth for times that vary by as much as their mean.
const holdSamples = 100
