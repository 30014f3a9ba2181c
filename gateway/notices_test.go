package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/problem"
)

// restingTarget turns requests away and asks for rest.
func restingTarget(seconds string) *target {
	return &target{answer: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}}
}

// Guards against: a target that had turned a node away with 503 and asked it for rest got
// further requests from that node within that time, by its callers' own interface.
func TestTargetThatAsksForRestIsLeftAlone(t *testing.T) {
	for name, tt := range map[string]struct{ path, body string }{
		"a chat":                    {chatPath, chatBody},
		"a repeatable service call": {"/services/s/search", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rests, works := restingTarget("60"), okTarget()
			n := newNode(t, handlers(rests, works))
			for range 20 {
				is.Equal(n.send(t, "POST", tt.path, keyA, tt.body).status, 200)
			}
			is.Equal(rests.count(), 1)
			is.Equal(works.count(), 20)
		})
	}
	t.Run("passed on", func(t *testing.T) {
		is := is.New(t)
		rests, works := restingTarget("60"), okTarget()
		n := newNode(t, handlers(rests, works))
		a := n.send(t, "POST", "/services/s/letters", keyA, "x")
		is.Equal(a.status, 503)
		is.Equal(a.header.Get("Retry-After"), "60") // the target's own
		is.Equal(n.send(t, "POST", "/services/s/letters", keyA, "x").status, 200)
		is.Equal(rests.count(), 1)
	})
	t.Run("if all rest", func(t *testing.T) {
		is := is.New(t)
		one, two := restingTarget("60"), restingTarget("30")
		n := newNode(t, handlers(one, two))
		n.chat(t, chatBody)
		a := n.chat(t, chatBody)
		is.True(a.is(problem.NoTarget, problem.RanNo))
		is.True(a.header.Get("Retry-After") == "30" || a.header.Get("Retry-After") == "31")
		is.Equal(one.count()+two.count(), 2)
	})
	t.Run("a later run gets work", func(t *testing.T) {
		is := is.New(t)
		rests := restingTarget("60")
		n := newNode(t, handlers(rests))
		n.chat(t, chatBody)
		is.Equal(rests.count(), 1)
		n.targets.pool[0].Incarnation++
		n.admitter.targets[0].Incarnation++
		n.chat(t, chatBody)
		is.Equal(rests.count(), 2)
	})
}

// Guards against: a request that waited for its place or connection reached a target that
// had said meanwhile that it leaves or rests.
func TestRequestIsNotSentAfterANotice(t *testing.T) {
	for name, said := range map[string]notice.Notice{
		"leaves": {Leaving: true}, "rests": {Rest: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := okTarget(), okTarget()
			n := newNode(t, handlers(first, second))
			granted := n.admitter.targets[0]
			n.notices.hear(granted, said, time.Now())
			n.targets.pool = nil // the owner of the places doesn't know
			is.Equal(n.chat(t, chatBody).status, 200)
			is.Equal(first.count(), 0)
			is.Equal(second.count(), 1)
			is.True(n.released())
		})
	}
}
