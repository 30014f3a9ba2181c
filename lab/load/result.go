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

// Section is the section name in the result's JSON lines.
const Section = "load"

// Result holds the figures of a run. A whole answer is a complete one that belongs to the request.
type Result struct {
	Requests    int // requests, each counted once regardless of its tries
	Whole       int // whole answers
	Refused     int // requests whose last try was reported as not run
	Failed      int // requests with a reported error instead of a whole answer
	Lost        int // requests cut or unanswered, with no error reported
	Unanswered  int // notices reported as run or of unknown outcome, whose answer can't be had
	Wrong       int // complete answers to another request
	Retries     int // tries after the first, over all requests
	Doubled     int // disallowed runs after the first, by request ID or by idempotency key
	Repeated    int // runs of repeatable requests after the first, with Config.UnderFaults
	FalseNotRun int // attempts reported as not run that the targets ran
	Reusable    int // prompt tokens of turns after a chat's first that an engine had processed before
	Reused      int // Reusable tokens served from a prefix cache

	// Reasons counts the failed tries by reason; "" stands for a failure without a problem
	// document.
	Reasons map[problem.Reason]int

	skew     skewMeter
	classes  map[class]*classLatency
	failures map[outcome]string // the first failure of each outcome, for the printed result
}

// class is a set of chats whose latencies are reported together. Each chat belongs to one class by
// its urgency and, if workspaces surge, to another by its workspace.
type class string

const (
	classEmergency class = "urgency 0"
	classNormal    class = "urgency 3"
	classBatch     class = "urgency 7"
	classSurging   class = "surging workspaces"
	classOther     class = "other workspaces"
)

var classes = []class{classEmergency, classNormal, classBatch, classSurging, classOther}

// classLatency holds the latencies of one class in microseconds: to the first token of streamed
// answers, and to the end of whole answers.
type classLatency struct{ firstToken, whole *hdrhistogram.Histogram }

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

// add counts a finished request and returns its outcome. correct is whether the answer is the one
// expected for the request.
func (r *Result) add(fail *failure, correct bool) outcome {
	o := outcomeOf(fail, correct)
	r.Requests++
	count := map[outcome]*int{
		outcomeWhole: &r.Whole, outcomeRefused: &r.Refused, outcomeLost: &r.Lost,
		outcomeFailed:            &r.Failed,
		outcomeAnswerUnavailable: &r.Unanswered, outcomeWrong: &r.Wrong,
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

func outcomeOf(fail *failure, correct bool) outcome {
	switch {
	case fail == nil && correct:
		return outcomeWhole
	case fail == nil:
		return outcomeWrong
	case fail.ran == problem.NotRun:
		return outcomeRefused
	case fail.reason == problem.ClaimUnknown, fail.reason == problem.ClaimAnswerExpired:
		return outcomeAnswerUnavailable
	case fail.reported:
		return outcomeFailed
	default:
		return outcomeLost
	}
}

// recordLatency records the latencies of a whole answer; firstToken is 0 if it was not streamed.
func (r *Result) recordLatency(chatClasses []class, firstToken, whole time.Duration) {
	for _, c := range chatClasses {
		if firstToken > 0 {
			_ = r.classes[c].firstToken.RecordValue(firstToken.Microseconds())
		}
		_ = r.classes[c].whole.RecordValue(whole.Microseconds())
	}
}

// Reuse returns the share of the Reusable prompt tokens that were served from a prefix cache; 0 if
// there were none.
func (r Result) Reuse() float64 {
	if r.Reusable == 0 {
		return 0
	}
	return float64(r.Reused) / float64(r.Reusable)
}

// Skew returns the load of the busiest engine divided by the mean load: the time-weighted mean over
// the windows with at least one request in flight per engine on average.
func (r Result) Skew() float64 { return r.skew.mean() }

// OK reports whether every request got its whole answer, none ran more often than allowed, and no
// request that ran was reported as not run. Under faults a request may also fail if an error was
// reported to its caller.
func (r Result) OK(underFaults bool) bool {
	good := r.Whole
	if underFaults {
		good += r.Unanswered + r.Failed
	}
	return good == r.Requests && r.Doubled == 0 && r.FalseNotRun == 0
}

// Summary returns the last line of the output. In it, each request without a whole answer counts as
// lost.
func (r Result) Summary() string {
	return fmt.Sprintf("demo: requests=%d whole=%d lost=%d doubled=%d reuse=%.2f skew=%.2f",
		r.Requests, r.Whole, r.Requests-r.Whole, r.Doubled, r.Reuse(), r.Skew())
}

// Write writes the result as a table to w and, if jsonLines is not nil, the same rows to it as JSON
// lines. It returns the first error of writing a row.
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
		figureRow{"requests", r.Requests},
		figureRow{"whole answers", r.Whole},
		figureRow{"refused, not run", r.Refused},
		figureRow{"failed by an error", r.Failed},
		figureRow{"lost or cut silently", r.Lost},
		figureRow{"notices with answer gone", r.Unanswered},
		figureRow{"another caller's answer", r.Wrong},
		figureRow{"callers' retries", r.Retries},
		figureRow{"run more than once", r.Doubled},
		figureRow{"repeatable ones run again", r.Repeated},
		figureRow{"told not run, but run", r.FalseNotRun},
		figureRow{"prefix reuse", r.Reuse()},
		figureRow{"max/mean load, mean of windows", r.Skew()},
		figureRow{"max/mean load, worst window", r.skew.worst},
		figureRow{"max/mean load, whole run", r.skew.total()},
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		name := string(reason)
		if name == "" {
			name = "no problem document"
		}
		rows = append(rows, figureRow{"failed tries, " + name, r.Reasons[reason]})
	}
	for _, c := range classes {
		if l := r.classes[c]; l.whole.TotalCount() > 0 {
			rows = append(rows, classRow{c, l})
		}
	}
	return rows
}

// figureRow is a row with one figure.
type figureRow struct {
	name  string
	value any
}

// Fields implements measure.Row.
func (t figureRow) Fields() []measure.Field {
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
		f := ms(c.latency.firstToken, q)
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
