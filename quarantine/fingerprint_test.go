package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// The same request has the same fingerprint. A change of any field, or a shifted boundary between
// two fields, changes the fingerprint.
func TestFingerprint(t *testing.T) {
	base := Request{Caller: "team", Method: "POST", Host: "site.example", URI: "/draft/1?x=2", Body: []byte("body")}
	change := func(f func(*Request)) Request {
		r := base
		f(&r)
		return r
	}
	for name, tt := range map[string]struct {
		other Request
		same  bool
	}{
		"again":              {base, true},
		"another caller":     {change(func(r *Request) { r.Caller = "other" }), false},
		"another method":     {change(func(r *Request) { r.Method = "PUT" }), false},
		"another host":       {change(func(r *Request) { r.Host = "other.example" }), false},
		"another path":       {change(func(r *Request) { r.URI = "/draft/2?x=2" }), false},
		"another query":      {change(func(r *Request) { r.URI = "/draft/1?x=3" }), false},
		"another body":       {change(func(r *Request) { r.Body = []byte("other") }), false},
		"no body":            {change(func(r *Request) { r.Body = nil }), false},
		"shifted boundaries": {change(func(r *Request) { r.Caller, r.Method = "teamP", "OST" }), false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tt.other.Fingerprint() == base.Fingerprint(), tt.same)
		})
	}
}
