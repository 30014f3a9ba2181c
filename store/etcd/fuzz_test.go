package etcd

import (
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzResponses decodes generated responses of every type. A batch of a watch must be
// equal after it is encoded and decoded again.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{
		`{"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"7","lease":"3"}]}`,
		`{"header":{"revision":7},"succeeded":true}`,
		`{"result":{"ID":"3","TTL":"10"}}`,
		`{"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"aw==","mod_revision":"9"}}]}}`,
		`{"result":{"canceled":true,"compact_revision":"4"}}`,
		`{"result":{"canceled":true,"cancel_reason":"permission"}}`,
		`{"error":{"code":14,"message":"etcdserver: no leader"}}`,
		`{"header":{"revision":"9223372036854775808"}}`,
		`{"header":{"revision":"\""}}`,
		`{"kvs":[{"key":"!"}]}`,
		`null`, `[]`, `"`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, resp := range []any{&rangeResponse{}, &txnResponse{}, &leaseResponse{}, &keepAliveResponse{}} {
			_ = json.Unmarshal(raw, resp)
		}
		var w watchResponse
		if json.Unmarshal(raw, &w) != nil {
			return
		}
		b := batchFromWire(w)
		if b.Err != nil {
			return
		}
		again, err := json.Marshal(batchToWire(b))
		if err != nil {
			t.Fatal(err)
		}
		var w2 watchResponse
		if err := json.Unmarshal(again, &w2); err != nil {
			t.Fatal(err)
		}
		if b2 := batchFromWire(w2); !reflect.DeepEqual(b, b2) {
			t.Fatalf("%+v became %+v", b, b2)
		}
	})
}
