package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/knapweedgw/knapweedgw/lab/measure"
	"github.com/knapweedgw/knapweedgw/problem"
)

// Section is the name of the result's rows.
const Section = "load"

// Result is what came of a run.
type Result struct {
	Requests    int // each counts once, whatever its tries
	Whole       int // own answer, whole
	Refused     int // told "not run" at every try
	Failed      int // told by an error that there is no whole answer
	Lost        int // cut or unanswered without a word
	Unanswered  int // notices told as run or of unknown outcome, their answer gone
	Wrong       int // another caller's answer
	Retries     int // further tries by callers
	Doubled     int // runs after the first of a request or idempotency key
	Repeated    int // the same of repeatable requests, where allowed
	FalseNotRun int // attempts told "not run" that the targets ran
	CouldReuse  int // prompt tokens of returning turns that an engine had held
	Reused      int // those that came from a cache

	// Reasons counts the failures of attempts by reason; "" is a failure
	// without a problem document.
	Reasons map[problem.Reason]int

	skew     skewMeter
	classes  map[class]*classLatency
	failures map[outcome]string // the first of each kind, for people
}

// class is a set of chats whose latencies are reported together. Each chat
// belongs to one by its urgency, and in a surge to one by its workspace.
type class string

const (
	classEmergency class = "urgency 0"
	classNormal    class = "urgency 3"
	classBatch     class = "urgency 7"
	classSurging   class = "surging workspaces"
	classOther     class = "other workspaces"
)

var classes = []class{classEmergency, classNormal, classBatch, classSurging, classOther}

// classLatency has the latencies of one class, in microseconds.
type classLatency struct{ first, whole *hdrhistogram.Histogram }

func newHistogram() *hdrhistogram.Histogram {
	const lowest, highest, digits = 1, 600_000_000, 3 // 1 µs to 10 minutes
	return hdrhistogram.New(lowest, highest, digits)
}

func newResult() Result {
	r := Result{Reasons: make(map[problem.Reason]int), classes: make(map[class]*classLatency), failures: make(map[outcome]string)}
	for _, c := range classes {
		r.classes[c] = &classLatency{newHistogram(), newHistogram()}
	}
	return r
}

// add counts a request's end.
func (r *Result) add(fail *failure, own bool) outcome {
	o := outcomeOf(fail, own)
	r.Requests++
	count := map[outcome]*int{
		outcomeWhole: &r.Whole, outcomeRefused: &r.Refused, outcomeLost: &r.Lost,
		outcomeFailed:     &r.Failed,
		outcomeUnanswered: &r.Unanswered, outcomeWrong: &r.Wrong,
	}
	*count[o]++
	if fail == nil {
		return o
	}
	r.Reasons[fail.reason]++
	if r.failures[o] == "" {
		r.failures[o] = fail.Error()
	}
	return o
}

func outcomeOf(fail *failure, own bool) outcome {
	switch {
	case fail == nil && own:
		return outcomeWhole
	case fail == nil:
		return outcomeWrong
	case fail.ran == problem.NotRun:
		return outcomeRefused
	case fail.reason == problem.ClaimUnknown, fail.reason == problem.ClaimAnswerExpired:
		return outcomeUnanswered
	case fail.told:
		return outcomeFailed
	default:
		return outcomeLost
	}
}

func (r *Result) latency(of []class, first, whole time.Duration) {
	for _, c := range of {
		if first > 0 {
			_ = r.classes[c].first.RecordValue(first.Microseconds())
		}
		_ = r.classes[c].whole.RecordValue(whole.Microseconds())
	}
}

// Reuse is the share of the prompt tokens which an engine had held that came
// from a cache.
func (r Result) Reuse() float64 {
	if r.CouldReuse == 0 {
		return 0
	}
	return float64(r.Reused) / float64(r.CouldReuse)
}

// Skew is the load of the busiest engine over the mean, averaged by time over
// the windows of the run with at least one request an engine.
func (r Result) Skew() float64 { return r.skew.mean() }

// OK says whether every request got its own answer, whole and once, and
// nobody was told wrongly that nothing was run. Under faults a
// request may fail if its caller is told so.
func (r Result) OK(underFaults bool) bool {
	good := r.Whole
	if underFaults {
		good += r.Unanswered + r.Failed
	}
	return good == r.Requests && r.Doubled == 0 && r.FalseNotRun == 0
}

// Summary is the closing line; each request without its own whole answer
// counts as lost there.
func (r Result) Summary() string {
	return fmt.Sprintf("demo: requests=%d whole=%d lost=%d doubled=%d reuse=%.2f skew=%.2f",
		r.Requests, r.Whole, r.Requests-r.Whole, r.Doubled, r.Reuse(), r.Skew())
}

// Write writes the result as a table and, if jsonLines is not nil, the same
// rows as JSON lines.
func (r Result) Write(w, jsonLines io.Writer) error {
	rep := measure.NewReporter(w, jsonLines)
	for _, row := range r.rows() {
		if err := rep.Add(Section, row); err != nil {
			return err
		}
	}
	if err := rep.Flush(); err != nil {
		return err
	}
	for _, o := range slices.Sorted(maps.Keys(r.failures)) {
		fmt.Fprintf(w, "\nfirst %s: %s\n", o, r.failures[o])
	}
	fmt.Fprintln(w)
	return nil
}

func (r Result) rows() []measure.Row {
	rows := []measure.Row{
		total{"requests", r.Requests},
		total{"whole answers", r.Whole},
		total{"refused, not run", r.Refused},
		total{"failed by an error", r.Failed},
		total{"lost or cut silently", r.Lost},
		total{"notices with answer gone", r.Unanswered},
		total{"another caller's answer", r.Wrong},
		total{"callers' retries", r.Retries},
		total{"run more than once", r.Doubled},
		total{"repeatable ones run again", r.Repeated},
		total{"told not run, but run", r.FalseNotRun},
		total{"prefix reuse", r.Reuse()},
		total{"max/mean load, mean of windows", r.Skew()},
		total{"max/mean load, worst window", r.skew.worst},
		total{"max/mean load, whole run", r.skew.total()},
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		name := string(reason)
		if name == "" {
			name = "no problem document"
		}
		rows = append(rows, total{"failed tries, " + name, r.Reasons[reason]})
	}
	for _, c := range classes {
		if l := r.classes[c]; l.whole.TotalCount() > 0 {
			rows = append(rows, classRow{c, l})
		}
	}
	return rows
}

// total is a row with one figure.
type total struct {
	name  string
	value any
}

// Fields implements measure.Row.
func (t total) Fields() []measure.Field {
	return []measure.Field{{Name: "name", Value: t.name}, {Name: "value", Value: t.value}}
}

// classRow is a row with the latencies of one class.
type classRow struct {
	class   class
	latency *classLatency
}

// Fields implements measure.Row.
func (c classRow) Fields() []measure.Field {
	ms := func(h *hdrhistogram.Histogram, quantile float64) measure.Field {
		return measure.Field{Value: float64(h.ValueAtQuantile(quantile)) / 1000}
	}
	fields := []measure.Field{
		{Name: "chats of", Value: string(c.class)},
		{Name: "turns", Value: c.latency.whole.TotalCount()},
	}
	for _, q := range []float64{50, 95, 99} {
		f := ms(c.latency.first, q)
		f.Name = fmt.Sprintf("first token p%g ms", q)
		fields = append(fields, f)
	}
	for _, q := range []float64{50, 99} {
		f := ms(c.latency.whole, q)
		f.Name = fmt.Sprintf("whole p%g ms", q)
		fields = append(fields, f)
	}
	return fields
}
