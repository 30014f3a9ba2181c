package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listServer serves a list with an entity tag and counts full responses.
type listServer struct {
	list          List
	etag          string
	fullResponses int
}

func (s *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("ETag", s.etag)
	if s.etag != "" && r.Header.Get("If-None-Match") == s.etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	s.fullResponses++
	_ = json.NewEncoder(w).Encode(s.list)
}

func TestFetchReadsAnUnchangedListOnce(t *testing.T) {
	is := is.New(t)
	s := &listServer{etag: `"1"`, list: List{Version: 1, VMs: []VM{{ID: "a"}}}}
	server := httptest.NewServer(s)
	defer server.Close()
	c := NewClient(server.URL, time.Minute)
	for range 3 {
		l, err := c.Fetch(context.Background())
		is.NoErr(err)
		is.Equal(l, s.list)
	}
	is.Equal(s.fullResponses, 1)
	s.etag, s.list = `"2"`, List{Version: 2, VMs: []VM{{ID: "b"}}}
	l, err := c.Fetch(context.Background())
	is.NoErr(err)
	is.Equal(l, s.list)
}

func TestFetchFails(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"status":                  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		"not JSON":                func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) },
		"304 without a condition": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(h)
			defer server.Close()
			_, err := NewClient(server.URL, time.Minute).Fetch(context.Background())
			is.New(t).True(err != nil)
		})
	}
}
