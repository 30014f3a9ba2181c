package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// call sends a request and returns the status, 0 if there was no response, and whether the response
// is complete and matches the request.
func call(t *testing.T, url, id, key string) (status int, complete bool) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+"/notices/1", strings.NewReader("{}"))
	is.New(t).NoErr(err)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var a Answer
	err = json.NewDecoder(resp.Body).Decode(&a)
	return resp.StatusCode, err == nil && a.RequestID == id && a.Path == "/notices/1"
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults      Faults
		status      int
		complete    bool
		takesEffect bool
	}{
		"healthy":            {Faults{}, 200, true, true},
		"delayed":            {Faults{DelayBeforeMS: 1, DelayMS: 1}, 200, true, true},
		"refused":            {Faults{RefuseEvery: 1}, 503, false, false},
		"dropped before run": {Faults{DropEvery: 1}, 0, false, false},
		"answer lost":        {Faults{LoseEvery: 1}, 0, false, true},
		"answer cut":         {Faults{CutEvery: 1}, 200, false, true},
		"refused, not lost":  {Faults{RefuseEvery: 1, LoseEvery: 1}, 503, false, false},
		"leaving still runs": {Faults{Leaving: true}, 200, true, true},
		"not the n-th call":  {Faults{RefuseEvery: 2, LoseEvery: 3}, 200, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New("s1")
			srv := httptest.NewServer(s.Handler())
			defer srv.Close()
			s.SetFaults(tt.faults)
			status, complete := call(t, srv.URL, "r1", "k1")
			is.Equal(status, tt.status)
			is.Equal(complete, tt.complete)
			want := 0
			if tt.takesEffect {
				want = 1
			}
			is.Equal(s.Runs().ByRequest["r1"], want)
			is.Equal(s.Runs().ByKey["k1"], want)
		})
	}
}

// TestRepeatsOfEvictedIDsStayCounted checks that evicting an ID doesn't reduce the number of
// repeated runs, which would hide that a call ran twice.
func TestRepeatsOfEvictedIDsStayCounted(t *testing.T) {
	is := is.New(t)
	c := newCounter(2)
	for _, id := range []string{"a", "a", "b", "c", "d", "d", ""} {
		c.add(id)
	}
	is.Equal(c.counts(), map[string]int{"c": 1, "d": 2})
	is.Equal(c.repeats, 2) // one of a, which was evicted, and one of d
}
