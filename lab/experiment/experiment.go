// Package experiment applies a planned sequence of faults to running processes: fault settings sent
// to stand-ins (the laboratory's servers in place of the platform, engines and plain services), and
// signals.
package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// callTimeout is the timeout of one Put.
const callTimeout = 5 * time.Second

// Plan is a sequence of faults.
type Plan struct {
	Steps []Step `json:"steps"`
}

// Step is one fault: a Put or a Signal, AfterMS milliseconds after the start.
type Step struct {
	AfterMS int     `json:"after_ms"`
	Name    string  `json:"name"`
	Put     *Put    `json:"put,omitempty"`
	Signal  *Signal `json:"signal,omitempty"`
}

// Put is a PUT request with Body to URL, a stand-in's /lab/faults or /lab/schedule.
type Put struct {
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
}

// Signal is a signal to the processes with the given IDs.
type Signal struct {
	PIDs   []int  `json:"pids"`
	Signal string `json:"signal"` // STOP, CONT, TERM or KILL
}

// signals maps the names in a plan to the signals.
var signals = map[string]syscall.Signal{
	"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL,
}

// Validate returns all errors of a plan, joined.
func (p Plan) Validate() error {
	var errs error
	for i, s := range p.Steps {
		if err := s.validate(); err != nil {
			errs = errors.Join(errs, errors.Wrapf(err, "step %d (%s)", i+1, s.Name))
		}
	}
	return errs
}

func (s Step) validate() error {
	switch {
	case s.AfterMS < 0:
		return errors.New("after_ms is negative: use 0 or more")
	case (s.Put == nil) == (s.Signal == nil):
		return errors.New("give one of put and signal, and not both")
	case s.Put != nil && s.Put.URL == "":
		return errors.New("put has no url: give the URL of a stand-in's /lab/faults")
	case s.Signal != nil:
		return s.Signal.validate()
	}
	return nil
}

// validate rejects the IDs that kill(2) interprets as process groups, and process 1.
func (s Signal) validate() error {
	if _, ok := signals[s.Signal]; !ok {
		return errors.Newf("signal %q is unknown: use STOP, CONT, TERM or KILL", s.Signal)
	}
	if len(s.PIDs) == 0 {
		return errors.New("signal has no pids: give the IDs of the processes")
	}
	for _, pid := range s.PIDs {
		if pid <= 1 {
			return errors.Newf("pid %d is not the ID of a single process to signal: use an ID greater than 1", pid)
		}
	}
	return nil
}

// Outcome is the outcome of one step, written as a JSON line.
type Outcome struct {
	AtMS  int64  `json:"at_ms"` // start of the step, in milliseconds after the plan's start
	Name  string `json:"name"`
	Error string `json:"error,omitempty"`
}

// Result counts the steps that were applied and those of them that failed.
type Result struct{ Steps, Failed int }

// Summary returns the last line of the output.
func (r Result) Summary() string {
	return fmt.Sprintf("experiment: steps=%d failed=%d", r.Steps, r.Failed)
}

// Run applies the steps in the order of their times, calls report after each, and continues after a
// step that fails. It returns an error if the plan is invalid or ctx is done before the last step.
func Run(ctx context.Context, p Plan, report func(Outcome)) (Result, error) {
	if err := p.Validate(); err != nil {
		return Result{}, err
	}
	steps := append([]Step(nil), p.Steps...)
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].AfterMS < steps[j].AfterMS })
	start := time.Now()
	var r Result
	for _, s := range steps {
		due := start.Add(time.Duration(s.AfterMS) * time.Millisecond)
		select {
		case <-ctx.Done():
			return r, ctx.Err()
		case <-time.After(time.Until(due)):
		}
		o := Outcome{AtMS: time.Since(start).Milliseconds(), Name: s.Name}
		r.Steps++
		if err := s.apply(ctx); err != nil {
			o.Error = err.Error()
			r.Failed++
		}
		report(o)
	}
	return r, nil
}

func (s Step) apply(ctx context.Context) error {
	if s.Put != nil {
		return s.Put.apply(ctx)
	}
	return s.Signal.apply()
}

func (p Put) apply(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, p.URL, bytes.NewReader(p.Body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", p.URL, resp.StatusCode)
	}
	return nil
}

func (s Signal) apply() error {
	var errs error
	for _, pid := range s.PIDs {
		if err := syscall.Kill(pid, signals[s.Signal]); err != nil {
			errs = errors.Join(errs, errors.Wrapf(err, "pid %d", pid))
		}
	}
	return errs
}
