package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/targets"
)

// Only what a target itself did counts for or against it in admission.
func TestAttemptResults(t *testing.T) {
	const letter, chat = "POST /services/s/letters", "POST " + chatPath
	const answered, failed = admission.Answered, admission.Failed
	const unknown, overloaded = admission.Unknown, admission.Overloaded
	hanging, _ := hangingTarget()
	half := &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(4*maxBufferedResponse))
		_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedResponse))
		panic(http.ErrAbortHandler)
	}}
	for _, tt := range []struct {
		name    string
		call    string
		targets []*target
		want    []admission.Result
	}{
		{"answered", chat, []*target{okTarget()}, []admission.Result{answered}},
		{"caller's mistake", chat, []*target{statusTarget(400)}, []admission.Result{answered}},
		{"overloaded", chat, []*target{statusTarget(503), statusTarget(429), okTarget()}, []admission.Result{overloaded, overloaded, answered}},
		{"aborted", chat, []*target{abortTarget(), okTarget()}, []admission.Result{failed, answered}},
		{"failed", chat, []*target{statusTarget(500), okTarget()}, []admission.Result{failed, answered}},
		{"aborted, not repeatable", letter, []*target{abortTarget()}, []admission.Result{failed}},
		{"truncated after a part was delivered", letter, []*target{half}, []admission.Result{failed}},
		{"deadline", chat, []*target{hanging}, []admission.Result{unknown}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(t, handlers(tt.targets...))
			method, path, body := split(tt.call)
			if tt.name == "deadline" {
				n.send(t, method, path, keyA, body, HeaderRequestTimeout, "0.2")
			} else {
				n.send(t, method, path, keyA, body)
			}
			eventually(t, n.released)
			is.New(t).Equal(n.admitter.results, tt.want)
		})
	}
}

func TestResultOfUnreachableTarget(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(okTarget()))
	n.admitter.targets = append([]targets.Target{{ID: "down", Addr: closedAddr(t)}}, n.admitter.targets...)
	n.chat(t, chatBody)
	eventually(t, n.released)
	is.Equal(n.admitter.results, []admission.Result{admission.Failed, admission.Answered})
}
