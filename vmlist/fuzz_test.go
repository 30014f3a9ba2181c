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

// answers is a transport that gives one body to every request.
type answers []byte

func (a answers) RoundTrip(*http.Request) (*http.Response, error) {
	h := http.Header{"Etag": {`"1"`}}
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(bytes.NewReader(a))}, nil
}

// FuzzFetch feeds the decoder of the list: a fault is an error and leaves
// nothing behind, and a list survives being encoded and fetched again.
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
		again, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		if list2, err := fetch(t, again); err != nil || !reflect.DeepEqual(list, list2) {
			t.Fatalf("%+v became %+v, %v", list, list2, err)
		}
	})
}

// fetch reads one answer with a new client.
func fetch(t *testing.T, raw []byte) (List, error) {
	c := NewClient("http://192.0.2.1/v1/vms", time.Minute)
	c.http.Transport = answers(raw)
	list, err := c.Fetch(context.Background())
	if etag, _ := c.cached(); err != nil && etag != "" {
		t.Fatal("a list that can't be read was kept")
	}
	return list, err
}
