package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"testing"
	"time"
)

// fixedResponse is a transport that answers every request with the same body.
type fixedResponse []byte

func (r fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	h := http.Header{"Etag": {`"1"`}}
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(bytes.NewReader(r))}, nil
}

// FuzzFetch checks the decoding of arbitrary response bodies: an invalid body is an
// error and is not cached, and a decoded list is equal after being encoded and
// fetched again.
func FuzzFetch(f *testing.F) {
	for _, seed := range []string{
		`{"version":1,"vms":[]}`,
		`{"version":7,"vms":[{"id":"e1","role":"engine","addr":"10.0.0.1:80","pool":"p","region":"r","failure_domain":"d","state":"live","incarnation":3,"capacity":2}]}`,
		`{"version":-1,"vms":[{"id":"","state":"gone"},{"id":""}]}`,
		`{"version":9223372036854775808}`,
		`{"version":1,"vms":{}}`,
		`{"version":1,"vms":[null]}`,
		`{"version":1,"vms":[{"id":"\ud800"}]}`,
		`{"version":1,"vms":[{"id":"e1"`,
		`null`, `[]`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := fetch(t, raw)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		if list2, err := fetch(t, encoded); err != nil || !reflect.DeepEqual(list, list2) {
			t.Fatalf("%+v became %+v, %v", list, list2, err)
		}
	})
}

// fetch decodes one response body with a new client.
func fetch(t *testing.T, raw []byte) (List, error) {
	c := NewClient("http://192.0.2.1/v1/vms", time.Minute)
	c.http.Transport = fixedResponse(raw)
	list, err := c.Fetch(context.Background())
	if etag, _ := c.cached(); err != nil && etag != "" {
		t.Fatal("a list that cannot be decoded was cached")
	}
	return list, err
}
