// Package experiment applies a planned sequence of faults to processes that
// run already: fault switches put to stand-ins, and signals.
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

const callTimeout = 5 * time.Second

// Plan is a sequence of faults.
type Plan struct {
	Steps []Step `json:"steps"`
}

// Step is one fault, a Put or a Signal, at a time after the start.
type Step struct {
	AfterMS int     `json:"after_ms"`
	Name    string  `json:"name"`
	Put     *Put    `json:"put,omitempty"`
	Signal  *Signal `json:"signal,omitempty"`
}

// Put sends Body to URL, a stand-in's /lab/faults or /lab/schedule.
type Put struct {
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
}

// Signal sends a signal to the processes with the given IDs.
type Signal struct {
	PIDs   []int  `json:"pids"`
	Signal string `json:"signal"` // STOP, CONT, TERM or KILL
}

var signals = map[string]syscall.Signal{
	"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL,
}

// Validate reports every fault of a plan at once.
func (p Plan) Validate() error {
	var faults error
	for i, s := range p.Steps {
		if err := s.validate(); err != nil {
			faults = errors.Join(faults, errors.Wrapf(err, "step %d (%s)", i+1, s.Name))
		}
	}
	return faults
}

func (s Step) validate() error {
	switch {
	case s.AfterMS < 0:
		return errors.New("after_ms is negative: use 0 or more")
	case (s.Put == nil) == (s.Signal == nil):
		return errors.New("give one of put and signal")
	case s.Put != nil && s.Put.URL == "":
		return errors.New("put has no url: name a stand-in's /lab/faults")
	case s.Signal != nil:
		return s.Signal.validate()
	}
	return nil
}

// validate refuses IDs that kill(2) takes for process groups.
func (s Signal) validate() error {
	if _, ok := signals[s.Signal]; !ok {
		return errors.Newf("signal %q is unknown: use STOP, CONT, TERM or KILL", s.Signal)
	}
	if len(s.PIDs) == 0 {
		return errors.New("signal has no pids: name the processes")
	}
	for _, pid := range s.PIDs {
		if pid <= 1 {
			return errors.Newf("pid %d is not a process of yours: use an ID over 1", pid)
		}
	}
	return nil
}

// Outcome is what came of one step.
type Outcome struct {
	AtMS  int64  `json:"at_ms"`
	Name  string `json:"name"`
	Error string `json:"error,omitempty"`
}

// Result is what came of a plan.
type Result struct{ Steps, Failed int }

// Summary is the closing line.
func (r Result) Summary() string {
	return fmt.Sprintf("experiment: steps=%d failed=%d", r.Steps, r.Failed)
}

// Run applies the steps in the order of their times, and goes on after one
// that fails. It ends early with ctx.
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
