package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/problem"
)

// retryAfterTarget refuses requests with status 503 and a Retry-After.
func retryAfterTarget(seconds string) *target {
	return &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}}
}

// Guards against sending a target further requests during its cooldown, that is, before the
// Retry-After of its 503 response to this node has passed.
func TestTargetInCooldownGetsNoRequests(t *testing.T) {
	for name, tt := range map[string]struct{ path, body string }{
		"a chat":                    {chatPath, chatBody},
		"a repeatable service call": {"/services/s/search", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			coolingDown, available := retryAfterTarget("60"), okTarget()
			n := newNode(t, handlers(coolingDown, available))
			for range 20 {
				is.Equal(n.send(t, "POST", tt.path, keyA, tt.body).status, 200)
			}
			is.Equal(coolingDown.count(), 1)
			is.Equal(available.count(), 20)
		})
	}
	t.Run("response passed to the caller", func(t *testing.T) {
		is := is.New(t)
		coolingDown, available := retryAfterTarget("60"), okTarget()
		n := newNode(t, handlers(coolingDown, available))
		a := n.send(t, "POST", "/services/s/letters", keyA, "x")
		is.Equal(a.status, 503)
		is.Equal(a.header.Get("Retry-After"), "60") // the target's own value
		is.Equal(n.send(t, "POST", "/services/s/letters", keyA, "x").status, 200)
		is.Equal(coolingDown.count(), 1)
	})
	t.Run("all targets in a cooldown", func(t *testing.T) {
		is := is.New(t)
		one, two := retryAfterTarget("60"), retryAfterTarget("30")
		n := newNode(t, handlers(one, two))
		n.chat(t, chatBody)
		a := n.chat(t, chatBody)
		is.True(a.isRefusal(problem.NoTarget, problem.NotRun))
		is.True(a.header.Get("Retry-After") == "30" || a.header.Get("Retry-After") == "31")
		is.Equal(one.count()+two.count(), 2)
	})
	t.Run("a later run of the target gets requests", func(t *testing.T) {
		is := is.New(t)
		coolingDown := retryAfterTarget("60")
		n := newNode(t, handlers(coolingDown))
		n.chat(t, chatBody)
		is.Equal(coolingDown.count(), 1)
		n.targets.pool[0].Incarnation++
		n.admitter.targets[0].Incarnation++
		n.chat(t, chatBody)
		is.Equal(coolingDown.count(), 2)
	})
}

// Guards against sending a request to a target that announced, while the request waited for its
// place or connection, that it is leaving or asked for a cooldown.
func TestRequestIsNotSentAfterANotice(t *testing.T) {
	for name, announced := range map[string]notice.Notice{
		"leaving": {Leaving: true}, "cooldown": {RetryAfter: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := okTarget(), okTarget()
			n := newNode(t, handlers(first, second))
			granted := n.admitter.targets[0]
			n.notices.record(granted, announced, time.Now())
			n.targets.pool = nil // admission grants the target although it announced this
			is.Equal(n.chat(t, chatBody).status, 200)
			is.Equal(first.count(), 0)
			is.Equal(second.count(), 1)
			is.True(n.released())
		})
	}
}
