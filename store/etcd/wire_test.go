package etcd_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// newStoreAt serves a new store, into which each key was put once, and returns its
// URL.
func newStoreAt(t *testing.T, keys ...string) string {
	s := memory.New(time.Now)
	for _, k := range keys {
		_, _, err := s.Commit(context.Background(), store.Txn{Ops: []store.Op{{Key: k}}})
		is.New(t).NoErr(err)
	}
	return serve(t, s)
}

func post(t *testing.T, url, body string) *http.Response {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func rangeRevision(t *testing.T, url, key string) string {
	body := `{"key":"` + base64.StdEncoding.EncodeToString([]byte(key)) + `"}`
	var resp struct {
		Header struct {
			Revision string `json:"revision"`
		} `json:"header"`
	}
	is.New(t).NoErr(json.NewDecoder(post(t, url+"/v3/kv/range", body).Body).Decode(&resp))
	return resp.Header.Revision
}

// TestServerRejections checks that the server rejects requests that it doesn't support,
// with etcd's status and error body.
func TestServerRejections(t *testing.T) {
	url := newStoreAt(t)
	tests := map[string]struct{ path, body string }{
		"not JSON":         {"/v3/kv/range", "{"},
		"range, no prefix": {"/v3/kv/range", `{"key":"YQ==","range_end":"eg=="}`},
		"watch, no prefix": {"/v3/watch", `{"create_request":{"key":"YQ==","range_end":"eg=="}}`},
		"delete of range":  {"/v3/kv/txn", `{"success":[{"request_delete_range":{"key":"YQ==","range_end":"eg=="}}]}`},
		"empty operation":  {"/v3/kv/txn", `{"success":[{}]}`},
		"other compare":    {"/v3/kv/txn", `{"compare":[{"key":"YQ==","target":"VERSION","result":"EQUAL"}]}`},
		"key put twice":    {"/v3/kv/txn", `{"success":[{"request_put":{"key":"YQ=="}},{"request_put":{"key":"YQ=="}}]}`},
		"body too large":   {"/v3/kv/txn", `{"x":"` + string(bytes.Repeat([]byte("x"), 5<<20)) + `"}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp := post(t, url+tt.path, tt.body)
			is.Equal(resp.StatusCode, http.StatusBadRequest)
			var e struct {
				Code    int    `json:"code"`
				Message string `json:"message"`
			}
			is.NoErr(json.NewDecoder(resp.Body).Decode(&e))
			is.Equal(e.Code, 3)
			is.True(e.Message != "")
		})
	}
}
