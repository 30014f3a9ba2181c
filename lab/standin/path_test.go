package standin_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// start returns a site with nodes that are ready.
func start(t *testing.T, nodes int) *Site {
	s := NewSite(t)
	s.Start(nodes)
	return s
}

func TestRequestsAreForwarded(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	for _, n := range s.Nodes {
		for _, path := range []string{StreamPath, ResumePath, UnsafePath, SafePath} {
			a := n.Do(Request{Path: path + "deep/?q=%2f", Body: "the body"})
			is.NoErr(a.Err)
			is.Equal(a.Status, http.StatusOK)
			is.Equal(a.Header.Get("Request-Id"), a.ID)
			is.True(strings.HasPrefix(a.Header.Get("Engine-Signature"), "sig-"))
			want := "whole answer to " + a.ID
			if path == StreamPath || path == ResumePath {
				want = WholeStream(a.ID, 5)
			}
			is.Equal(a.Body, want)
			runs := s.Journal.Runs(a.ID)
			is.Equal(len(runs), 1)
			is.Equal(runs[0].Path, path+"deep/?q=%2f")
			is.Equal(runs[0].Body, "the body")
			is.Equal(runs[0].Method, http.MethodPost)
		}
	}
}

// Engines get the workspace's name instead of the API key, the remaining time until the
// deadline, and none of the headers that only the node may set.
func TestHeadersOfARequest(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	forged := http.Header{
		"Tenant": {"other"}, "Expect-Instance": {"i-none"}, "Hold": {"h"}, "Pin-Ms": {"9"},
		"Kv-Backup": {"1.2.3.4:1"}, "Kv-From": {"1.2.3.4:1/h"}, "Kv-Fetch": {"1.2.3.4:1"},
		"Request-Priority": {"0"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Own": {"kept"},
	}
	a := s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x", Header: forged, Deadline: 2 * time.Second})
	is.Equal(a.Status, http.StatusOK)
	h := s.Journal.Runs(a.ID)[0].Header
	is.Equal(h.Get("Tenant"), Tenant)
	is.Equal(h.Get("Authorization"), "")
	is.Equal(h.Get("Expect-Instance"), s.Journal.Runs(a.ID)[0].Engine)
	is.Equal(h.Get("Request-Priority"), "2") // the workspace's priority overrides the route's
	is.Equal(h.Get("X-Own"), "kept")
	for _, name := range []string{"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch", "X-Hop"} {
		is.Equal(h.Get(name), "")
	}
	left, err := time.ParseDuration(h.Get("Deadline-Ms") + "ms")
	is.NoErr(err)
	is.True(left > 0 && left <= 2*time.Second)
}

func TestRefusalsOfTheCatalog(t *testing.T) {
	s := start(t, 1)
	for _, tt := range []struct {
		name string
		req  Request
		want int
	}{
		{"no route", Request{Path: "/none/"}, http.StatusNotFound},
		{"unknown key", Request{Path: SafePath, Key: "nobody's"}, http.StatusUnauthorized},
		{"no key", Request{Path: SafePath, NoKey: true}, http.StatusUnauthorized},
		{"no key on an open route", Request{Path: OpenPath, NoKey: true}, http.StatusOK},
		{"body over the limit", Request{Path: UnsafePath, Body: strings.Repeat("x", 2<<20)}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := s.Nodes[0].Do(tt.req)
			is.New(t).Equal(a.Status, tt.want)
			is.New(t).Equal(len(s.Journal.Runs(a.ID)) == 1, tt.want == http.StatusOK)
		})
	}
}

// A refusal has status 503 and a Retry-After only if no engine ran the request; else the node
// answers with another status.
func TestRefusalsStateWhetherTheRequestRan(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault Fault
		path  string
		want  int
		runs  int
	}{
		{"refused by all", Refuse, UnsafePath, http.StatusServiceUnavailable, 0},
		{"refused by all, stream", Refuse, StreamPath, http.StatusServiceUnavailable, 0},
		{"a 503 without Not-Executed", FakeRefuse, UnsafePath, http.StatusBadGateway, 1},
		{"dropped", Drop, UnsafePath, http.StatusBadGateway, 1},
		{"dropped stream", Drop, StreamPath, http.StatusBadGateway, 1},
		{"cut", Cut, UnsafePath, http.StatusBadGateway, 1},
		{"another's answer", WrongID, UnsafePath, http.StatusBadGateway, 1},
		{"unsigned", Unsigned, UnsafePath, http.StatusBadGateway, 1},
		{"the engine's own failure", Fail, UnsafePath, http.StatusInternalServerError, 1},
		{"idempotent, dropped twice", Drop, SafePath, http.StatusBadGateway, 2},
		{"idempotent, failed twice", Fail, SafePath, http.StatusInternalServerError, 2},
		{"without a length", NoLength, UnsafePath, http.StatusOK, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			s.AwaitRetrySlack()
			for _, e := range s.Engines() {
				e.SetFault(tt.fault, -1)
			}
			a := s.Nodes[0].Do(Request{Path: tt.path, Body: "x"})
			is.NoErr(a.Err)
			is.Equal(a.Status, tt.want)
			is.Equal(len(s.Journal.Runs(a.ID)), tt.runs)
			retryable := a.Status == http.StatusServiceUnavailable
			is.Equal(a.Header.Get("Retry-After") != "", retryable)
			signed := a.Header.Get("Engine-Signature") != ""
			is.Equal(signed, a.Status == http.StatusInternalServerError || a.Status == http.StatusOK)
		})
	}
}

// Retries mask a fault of one engine out of three, for requests that may be sent again.
func TestOneFaultyEngineIsMasked(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault Fault
		path  string
	}{
		{"refusal", Refuse, UnsafePath},
		{"refusal of a stream", Refuse, StreamPath},
		{"drop", Drop, SafePath},
		{"failure", Fail, SafePath},
		{"another's answer", WrongID, SafePath},
		{"hang", Hang, SafePath},
		{"drop of a resumable stream", Drop, ResumePath},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			s.AwaitRetrySlack()
			for range 6 {
				for _, e := range s.Engines() {
					e.SetFault(None, 0)
				}
				s.Model[1].SetFault(tt.fault, -1)
				s.Plain[1].SetFault(tt.fault, -1)
				a := s.Nodes[0].Do(Request{Path: tt.path, Body: "x"})
				is.NoErr(a.Err)
				is.Equal(a.Status, http.StatusOK)
			}
		})
	}
}

// If a stream is truncated, the node aborts the connection to the caller.
func TestTruncatedStreamIsAbortedAtTheCaller(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	for _, e := range s.Model {
		e.SetFault(Cut, -1)
	}
	a := s.Nodes[0].Do(Request{Path: StreamPath, Body: "x"})
	is.Equal(a.Status, http.StatusOK)
	is.True(a.Err != nil)
	is.Equal(len(s.Journal.Runs(a.ID)), 1)
}

// A resumable stream is resumed on another engine: each event once, in order.
func TestTruncatedStreamIsResumed(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.AwaitRetrySlack()
	for _, e := range s.Model {
		e.SetFault(Cut, 1)
	}
	a := s.Nodes[0].Do(Request{Path: ResumePath, Body: "x"})
	is.Equal(a.Status, http.StatusOK)
	runs := s.Journal.Runs(a.ID)
	is.Equal(len(runs), 2)
	is.Equal(runs[1].Header.Get("Last-Event-Id"), "1")
	// The second engine truncates the stream as well, at its third event; then both attempts
	// of the route are used up.
	is.True(strings.HasPrefix(WholeStream(a.ID, 5), a.Body))
	is.True(a.Err != nil)
	b := s.Nodes[0].Do(Request{Path: ResumePath, Body: "x"})
	is.NoErr(b.Err)
	is.Equal(b.Body, WholeStream(b.ID, 5))
}

// The address of an engine that is gone is reused by another engine.
func TestReusedAddress(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	for _, e := range s.Plain {
		e.ID = "other-" + e.ID
	}
	a := s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"})
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.Equal(len(s.Journal.Runs(a.ID)), 0)
	is.True(s.Journal.Rejected() > 0)
}

// A caller that disconnects cancels its run at once, before the first event and after.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	for name, fault := range map[string]Fault{"before the answer": Hang, "midway": None} {
		t.Run(name, func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			for _, e := range s.Model {
				e.Events, e.Pace = 1000, 20*time.Millisecond
				e.SetFault(fault, -1)
			}
			ctx, cancel := context.WithCancel(context.Background())
			id := NewID()
			go s.Nodes[0].DoContext(ctx, Request{Path: StreamPath, Body: "x", ID: id})
			s.Eventually("the request runs", func() bool { return len(s.Journal.Runs(id)) == 1 })
			cancel()
			s.Eventually("the run ends", func() bool { return s.Journal.Runs(id)[0].Canceled })
			is.Equal(len(s.Journal.Runs(id)), 1)
		})
	}
}

// The route's timeout ends a request even if the caller's deadline is later.
func TestRouteTimeout(t *testing.T) {
	is, s := is.New(t), NewSite(t)
	s.Configure(func(cfg map[string]any) {
		for _, r := range cfg["routes"].([]any) {
			r.(map[string]any)["timeout_ms"] = 300
		}
	})
	s.Start(1)
	for _, e := range s.Engines() {
		e.SetFault(Hang, -1)
	}
	for _, path := range []string{StreamPath, UnsafePath, SafePath} {
		a := s.Nodes[0].Do(Request{Path: path, Body: "x", Deadline: time.Minute})
		is.Equal(a.Status, http.StatusGatewayTimeout)
		is.Equal(a.Header.Get("Retry-After"), "")
	}
}

// The deadline of one request on a keep-alive connection must not end the next request.
func TestKeepAliveConnectionHasNoStaleDeadline(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	conn, err := net.Dial("tcp", s.Nodes[0].Config.Listen)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	send := func(path, deadline string) int {
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %s\r\nAuthorization: Bearer %s\r\n\r\n",
			path, Host, NewID(), deadline, Key)
		is.NoErr(err)
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode
	}
	is.Equal(send(SafePath, "100"), http.StatusOK)
	time.Sleep(500 * time.Millisecond) // beyond the deadline of the first request
	is.Equal(send("/none/", "3000"), http.StatusNotFound)
	is.Equal(send(SafePath, "3000"), http.StatusOK)
}

// If no workspace has a key left, requests with or without a key are refused with 401, except
// on open routes.
func TestWorkspaceWithoutKeys(t *testing.T) {
	is, s := is.New(t), NewSite(t)
	s.Configure(func(cfg map[string]any) {
		cfg["tenants"] = []any{map[string]any{"name": Tenant, "api_keys": []string{}}}
	})
	s.Start(1)
	is.Equal(s.Nodes[0].Do(Request{Path: SafePath}).Status, http.StatusUnauthorized)
	is.Equal(s.Nodes[0].Do(Request{Path: SafePath, NoKey: true}).Status, http.StatusUnauthorized)
	is.Equal(s.Nodes[0].Do(Request{Path: OpenPath, NoKey: true}).Status, http.StatusOK)
}
