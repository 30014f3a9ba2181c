package claims

import (
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// response is the answer that a caller gets to a request.
type response int

const (
	responseNone response = iota // no answer came
	responseNotRun
	responseRun
	responseUnknown
	responseInProgress
	responseCount
)

// call is the state of one request at its entry node.
type call struct {
	node      *node
	attempt   *core.Attempt
	reply     func(response)
	began     core.Instant
	sends     int
	ranBefore int // number of runs of the key when the caller sent the request
}

// callShare is the share of the remaining time that the call to the first owner may
// take, and ownerShare the share of a call's time in which the owner must reply.
const (
	callShare  = 0.6
	ownerShare = 0.9
)

// serve handles a caller's request at a node.
func (n *node) serve(key core.KeyID, ranBefore int, reply func(response)) {
	h := n.history
	h.attempts++
	a := core.ClaimRequest{Key: key, Attempt: core.AttemptID(h.attempts), Holder: n.holder()}
	c := &call{node: n, reply: reply, began: h.now, ranBefore: ranBefore}
	c.attempt = core.NewAttempt(a, h.now, core.Forever, core.DefaultAttemptLimits())
	h.reach(pointAsk, n)
	c.ask()
}

func (c *call) ask() {
	n, h := c.node, c.node.history
	wait := max(0, c.attempt.Deadline()-h.now)
	if c.attempt.FailedCalls() == 0 {
		wait = time.Duration(float64(wait) * callShare)
	}
	tries := c.attempt.FailedCalls()
	shard := c.attempt.Ask.Key.Shard()
	m := n.owner(shard, tries)
	sent := n.send(m, func() {
		m.shardOwner(shard).ask(c.attempt.Ask, time.Duration(float64(wait)*ownerShare), func(r core.Reply) {
			m.send(n, func() { c.replied(r) })
		})
	})
	if !sent {
		h.on(n, netDelayMin, func() { c.failed(tries, false) })
		return
	}
	h.on(n, wait, func() { c.failed(tries, true) })
}

func (c *call) failed(tries int, seen bool) {
	if tries == c.attempt.FailedCalls() {
		c.act(c.attempt.Failed(c.node.history.now, seen))
	}
}

func (c *call) replied(r core.Reply) {
	h := c.node.history
	d := c.attempt.Replied(h.now, r)
	if h.mutation == mutateLateGrant && d.Action == core.ActionNothing && r.Status == core.Decided && r.State == core.Granted {
		c.send()
	}
	if h.mutation == mutateFailOpen && d.Action == core.ActionRefuse {
		c.send()
		return
	}
	c.act(d)
}

func (c *call) act(d core.Decision) {
	if d.MustRecordEnd {
		c.node.push(c.attempt.End(core.NotRun))
	}
	switch d.Action {
	case core.ActionAsk:
		c.ask()
	case core.ActionRefuse:
		c.refuse(d.NoEarlierRun)
	case core.ActionVerdict:
		c.verdict(d.State)
	}
}

// refuse answers a request whose attempt was never granted the claim.
func (c *call) refuse(clear bool) {
	h := c.node.history
	h.notRun[c.attempt.Ask.Attempt] = true
	if clear {
		h.result.Clear++
		c.respond(responseNotRun)
		return
	}
	c.respond(responseUnknown)
}

func (c *call) verdict(s core.State) {
	h := c.node.history
	switch s {
	case core.Granted:
		h.reach(pointGrant, c.node)
		h.on(c.node, h.between(0, time.Millisecond), c.check)
	case core.InProgress:
		c.respond(responseInProgress)
	case core.Done:
		c.respond(responseRun)
	default:
		c.respond(responseUnknown)
	}
}

// check checks that the ticket is valid right before the request is sent. The process
// may be frozen or killed between the check and the send.
func (c *call) check() {
	h := c.node.history
	if !c.attempt.Valid(h.now) {
		c.finish(core.NotRun)
		return
	}
	h.reach(pointValid, c.node)
	h.on(c.node, h.between(0, time.Millisecond), c.send)
}

// Behaviour of a target.
const (
	targetRefuses = 0.1
	targetDies    = 0.1
	runMax        = 3 * time.Second
	maxSends      = 3
)

// send sends the request to a target, which refuses it, runs it and answers, or runs
// it and dies without an answer.
func (c *call) send() {
	n, h := c.node, c.node.history
	c.sends++
	if h.now-c.began >= core.DefaultAttemptLimits().Life {
		h.result.LateSends++
	}
	h.reach(pointSent, n)
	arrive := h.between(netDelayMin, netDelayMax)
	if h.chance(targetRefuses) {
		h.on(n, 2*arrive, c.targetRefused)
		return
	}
	outcome := core.Ran
	if h.chance(targetDies) {
		outcome = core.PossiblyRun
	}
	h.after(arrive, func() {
		h.countRun(c.attempt.Ask)
		h.reach(pointRun, n)
	})
	h.on(n, 2*arrive+h.between(0, runMax), func() {
		h.reach(pointAnswer, n)
		c.finish(outcome)
	})
}

// targetRefused tries another target with the same ticket, up to maxSends sends.
func (c *call) targetRefused() {
	if c.sends < maxSends {
		c.check()
		return
	}
	c.finish(core.NotRun)
}

func (c *call) finish(o core.Outcome) {
	h := c.node.history
	if e, ok := c.attempt.Finish(o); ok {
		if h.mutation == mutateLostIsNotRun && o == core.PossiblyRun {
			e.Outcome = core.NotRun
		}
		c.node.push(e)
	}
	switch o {
	case core.NotRun:
		c.respond(responseNotRun)
	case core.Ran:
		c.respond(responseRun)
	default:
		c.respond(responseUnknown)
	}
}

func (n *node) push(e core.OutcomeRecord) {
	n.ends.Push(e)
	n.sendDueEnds()
}

// respond answers the caller.
func (c *call) respond(r response) {
	h := c.node.history
	if r == responseNotRun {
		h.recordNotRun(c)
	}
	c.reply(r)
}
