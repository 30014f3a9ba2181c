package experiment

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

func TestRunAppliesStepsInOrder(t *testing.T) {
	is := is.New(t)
	var bodies []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		bodies = append(bodies, r.Method+r.URL.Path+string(raw))
		if string(raw) == `{"bad":1}` {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer srv.Close()
	child := exec.Command("sleep", "1000")
	is.NoErr(child.Start())
	put := func(body string) *Put { return &Put{URL: srv.URL + "/lab/faults", Body: json.RawMessage(body)} }
	plan := Plan{Steps: []Step{
		{AfterMS: 20, Name: "kill", Signal: &Signal{PIDs: []int{child.Process.Pid}, Signal: "KILL"}},
		{AfterMS: 2, Name: "refused", Put: put(`{"bad":1}`)},
		{AfterMS: 1, Name: "outage", Put: put(`{"outage":true}`)},
	}}
	var names []string
	res, err := Run(context.Background(), plan, func(o Outcome) { names = append(names, o.Name) })
	is.NoErr(err)
	is.Equal(names, []string{"outage", "refused", "kill"})
	is.Equal(bodies, []string{`PUT/lab/faults{"outage":true}`, `PUT/lab/faults{"bad":1}`})
	is.Equal(res.Summary(), "experiment: steps=3 failed=1")
	_ = child.Wait()
	is.Equal(child.ProcessState.Sys().(syscall.WaitStatus).Signal(), syscall.SIGKILL)
}

func TestValidateReportsEachError(t *testing.T) {
	put := &Put{URL: "http://127.0.0.1:1/lab/faults"}
	tests := map[string]Step{
		"after_ms is negative": {AfterMS: -1, Put: put},
		"give one of":          {},
		"one of put and":       {Put: put, Signal: &Signal{}},
		"has no url":           {Put: &Put{}},
		`"HUP" is unknown`:     {Signal: &Signal{PIDs: []int{99}, Signal: "HUP"}},
		"has no pids":          {Signal: &Signal{Signal: "KILL"}},
		"pid -1 is not":        {Signal: &Signal{Signal: "KILL", PIDs: []int{-1}}},
		"pid 0 is not":         {Signal: &Signal{Signal: "KILL", PIDs: []int{0}}},
	}
	var all Plan
	for want, step := range tests {
		all.Steps = append(all.Steps, step)
		err := Plan{Steps: []Step{step}}.Validate()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	_, err := Run(context.Background(), all, func(Outcome) { t.Fatal("a step of an invalid plan was applied") })
	for want := range tests {
		is.New(t).True(strings.Contains(err.Error(), want))
	}
}
