package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/roster"
)

var leaves = notice.Notice{Leaving: true}

// Guards against a retry at a target that was abandoned as overdue and has since announced that
// it leaves.
func TestLeavingOverdueTargetIsNotRetried(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	l := p.take(t)
	back := criteria{service: service, parts: prompt, only: "a"}
	other, _, ok := p.acquire(back)
	is.True(ok)
	p.release(other, false)
	p.recordNotice(l, leaves)
	_, _, ok = p.acquire(back)
	is.True(!ok)
	is.True(!p.hasOther(criteria{service: service}))
}

// Guards against sending a request that waited for a connection to a target that has since
// announced that it leaves.
func TestRequestIsNotSentToALeavingTarget(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10), run("b", 10))
	waiting, other := p.take(t, "b"), p.take(t, "a")
	is.True(p.maySend(waiting.target))
	p.recordNotice(waiting, leaves)
	is.True(!p.maySend(waiting.target))
	is.True(p.maySend(other.target))
}

// Guards against losing the notice of a leaving target together with its entry, and against
// applying it to a later run.
func TestNoticeOutlivesTheEntryOfItsRun(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	l := p.take(t)
	p.registry.Remove("a", p.clock)
	p.clock = p.clock.Add(time.Minute)
	p.registry.Expire(p.clock)
	p.update(p.registry.TakeChanges())
	p.recordNotice(l, leaves) // the header of a late answer
	p.put(run("a", 10))
	_, _, ok := p.acquire(criteria{service: service})
	is.True(!ok)
	p.put(run("a", 11))
	_, _, ok = p.acquire(criteria{service: service})
	is.True(ok)
}

// The notice arrives when the run was removed and added again.
func TestNoticeAppliesToARunAddedAgain(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10), run("b", 10))
	l := p.take(t, "b")
	p.registry.Remove("a", p.clock)
	p.clock = p.clock.Add(time.Minute)
	p.registry.Expire(p.clock)
	p.update(p.registry.TakeChanges())
	p.put(run("a", 10))
	p.recordNotice(l, leaves)
	_, _, ok := p.acquire(criteria{service: service, tried: []string{"b"}})
	is.True(!ok)
}

// A leaving target still serves the parts that it keeps, as a draining one does.
func TestPartsAreFetchedFromATargetThatLeaves(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10), run("b", 10))
	l := p.take(t)
	p.settle()
	p.recordNotice(l, leaves)
	is.Equal(p.take(t).choice.FetchFrom.ID, l.target.ID)
}

func TestReplyIsFromTarget(t *testing.T) {
	tests := map[string]struct {
		reply  ReplyHeader
		status int
		own    bool
	}{
		"signed":                    {ReplyHeader{ID: "1", Signed: true}, 200, true},
		"unsigned":                  {ReplyHeader{ID: "1"}, 200, false},
		"a failure":                 {ReplyHeader{ID: "1", Signed: true}, 500, true},
		"an unsigned failure":       {ReplyHeader{ID: "1"}, 503, true},
		"not run":                   {ReplyHeader{ID: "1", NotRun: true}, 503, true},
		"not run, without an ID":    {ReplyHeader{NotRun: true}, 503, true},
		"another target":            {ReplyHeader{ID: "1", NotRun: true, WrongTarget: true}, 421, false},
		"another request":           {ReplyHeader{ID: "2", Signed: true}, 200, false},
		"not run, another request":  {ReplyHeader{ID: "2", NotRun: true}, 503, false},
		"a failure, without an ID":  {ReplyHeader{}, http.StatusInternalServerError, false},
		"a success, without an ID":  {ReplyHeader{Signed: true}, 200, false},
		"another target, no header": {ReplyHeader{WrongTarget: true}, 421, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tt.reply.isFromTarget(tt.status, "1"), tt.own) })
	}
}

var cooldown = notice.Notice{RetryAfter: 3 * time.Second}

// Guards against two ways of sending to a target that asked for a cooldown: a request that was
// already waiting for a connection, and a retry at a target that was abandoned as overdue.
func TestTargetInCooldownGetsNoRequests(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	l := p.take(t)
	p.recordNotice(l, cooldown)
	is.True(!p.maySend(l.target))
	_, _, ok := p.acquire(criteria{service: service, only: "a"})
	is.True(!ok)
	p.clock = p.clock.Add(4 * time.Second)
	is.True(p.maySend(l.target))
	p.take(t)
}

// Guards against the refusals of a target in a cooldown keeping it suspended for longer
// than the cooldown.
func TestCooldownIsNotExtendedBySuspension(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10), run("b", 10))
	l := p.take(t, "b")
	for range 20 {
		p.observe(l.member, health.Refused)
	}
	p.recordNotice(l, cooldown)
	for end := p.clock.Add(4 * time.Second); p.clock.Before(end); p.clock = p.clock.Add(100 * time.Millisecond) {
		p.candidateOf("a") // updates the suspensions
	}
	_, _, suspended := p.candidateOf("a")
	is.True(!suspended)
	p.take(t, "b")
}

// While all targets are in a cooldown, the Retry-After of refusals is the time until the first
// cooldown ends.
func TestShortestCooldownOfAllTargets(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10), run("b", 10))
	w := criteria{service: service}
	p.recordNotice(p.take(t, "b"), cooldown)
	is.Equal(p.shortestCooldown(w), time.Duration(0)) // b accepts requests
	p.recordNotice(p.take(t, "a"), notice.Notice{RetryAfter: time.Minute})
	is.True(p.shortestCooldown(w) >= 3*time.Second)
	is.True(p.shortestCooldown(w) < 4*time.Second)
	is.True(errors.Is(p.noTargetReason(w), errCoolingDown))
	p.put(leavingRun("a"))
	is.True(p.shortestCooldown(w) >= time.Minute)
}

func leavingRun(id string) roster.Target {
	t := run(id, 10)
	t.Draining = true
	return t
}

// Guards against losing a cooldown: a target restarts under the same ID and asks for a cooldown
// before the node has received the entry of the new run; when the entry arrives, the cooldown must
// still apply.
func TestCooldownOfARunAppliesAfterItsEntryArrives(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	p.recordNotice(p.take(t), cooldown)
	p.clock = p.clock.Add(500 * time.Millisecond)
	p.put(run("a", 11))
	w := criteria{service: service}
	_, _, ok := p.acquire(w)
	is.True(!ok)
	is.True(!p.maySend(p.members["a"].target))
	p.clock = p.clock.Add(3 * time.Second)
	_, _, ok = p.acquire(w)
	is.True(ok)
}

// A cooldown that was requested long before a restart belongs to the earlier run.
func TestCooldownOfAnEarlierRunEndsWithTheRun(t *testing.T) {
	is, p := is.New(t), newTestPool(run("a", 10))
	p.recordNotice(p.take(t), notice.Notice{RetryAfter: time.Hour})
	p.clock = p.clock.Add(time.Minute)
	p.put(run("a", 11))
	_, _, ok := p.acquire(criteria{service: service})
	is.True(ok)
}
