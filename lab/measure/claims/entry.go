package claims

import (
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// told is what a caller was told of a request.
type told int

const (
	toldNothing told = iota // no answer came
	toldNotRun
	toldRun
	toldUnknown
	toldInProgress
	toldOutcomes
)

// call is one request as it passes through its entry node.
type call struct {
	node      *node
	attempt   *core.Attempt
	reply     func(told)
	began     core.Instant
	sends     int
	ranBefore int // runs of the key when the caller sent the request
}

// callShare is the share of the time left that the first owner gets, and
// ownerShare the share of that in which it must reply.
const (
	callShare  = 0.6
	ownerShare = 0.9
)

// serve handles a caller's request at a node.
func (n *node) serve(key core.KeyID, ranBefore int, reply func(told)) {
	w := n.w
	w.attempts++
	a := core.ClaimRequest{Key: key, Attempt: core.AttemptID(w.attempts), Holder: n.holder()}
	c := &call{node: n, reply: reply, began: w.now, ranBefore: ranBefore}
	c.attempt = core.NewAttempt(a, w.now, core.Forever, core.DefaultAttemptLimits())
	w.hit(pointAsk, n)
	c.ask()
}

func (c *call) ask() {
	n, w := c.node, c.node.w
	wait := max(0, c.attempt.Deadline()-w.now)
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
		w.on(n, netDelayMin, func() { c.failed(tries, false) })
		return
	}
	w.on(n, wait, func() { c.failed(tries, true) })
}

func (c *call) failed(tries int, seen bool) {
	if tries == c.attempt.FailedCalls() {
		c.act(c.attempt.Failed(c.node.w.now, seen))
	}
}

func (c *call) replied(r core.Reply) {
	w := c.node.w
	d := c.attempt.Replied(w.now, r)
	if w.mutation == mutateLateGrant && d.Action == core.ActionNothing && r.Status == core.Decided && r.State == core.Granted {
		c.send()
	}
	if w.mutation == mutateFailOpen && d.Action == core.ActionRefuse {
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

// refuse answers for an attempt that never had the claim.
func (c *call) refuse(clear bool) {
	w := c.node.w
	w.notRun[c.attempt.Ask.Attempt] = true
	if clear {
		w.result.Clear++
		c.tell(toldNotRun)
		return
	}
	c.tell(toldUnknown)
}

func (c *call) verdict(s core.State) {
	w := c.node.w
	switch s {
	case core.Granted:
		w.hit(pointGrant, c.node)
		w.on(c.node, w.between(0, time.Millisecond), c.check)
	case core.InProgress:
		c.tell(toldInProgress)
	case core.Done:
		c.tell(toldRun)
	default:
		c.tell(toldUnknown)
	}
}

// check looks at the ticket right before the request is sent. The process may
// be frozen or killed between the two.
func (c *call) check() {
	w := c.node.w
	if !c.attempt.Valid(w.now) {
		c.finish(core.NotRun)
		return
	}
	w.hit(pointValid, c.node)
	w.on(c.node, w.between(0, time.Millisecond), c.send)
}

// Behaviour of a target.
const (
	targetRefuses = 0.1
	targetDies    = 0.1
	runMax        = 3 * time.Second
	maxSends      = 3
)

// send passes the request to a target, which refuses it, runs it and answers,
// or runs it and is gone.
func (c *call) send() {
	n, w := c.node, c.node.w
	c.sends++
	if w.now-c.began >= core.DefaultAttemptLimits().Life {
		w.result.LateSends++
	}
	w.hit(pointSent, n)
	arrive := w.between(netDelayMin, netDelayMax)
	if w.chance(targetRefuses) {
		w.on(n, 2*arrive, c.refused)
		return
	}
	outcome := core.Ran
	if w.chance(targetDies) {
		outcome = core.PossiblyRun
	}
	w.after(arrive, func() {
		w.ran(c.attempt.Ask)
		w.hit(pointRun, n)
	})
	w.on(n, 2*arrive+w.between(0, runMax), func() {
		w.hit(pointAnswer, n)
		c.finish(outcome)
	})
}

// refused tries another target under the same ticket.
func (c *call) refused() {
	if c.sends < maxSends {
		c.check()
		return
	}
	c.finish(core.NotRun)
}

func (c *call) finish(o core.Outcome) {
	w := c.node.w
	if e, ok := c.attempt.Finish(o); ok {
		if w.mutation == mutateLostIsNotRun && o == core.PossiblyRun {
			e.Outcome = core.NotRun
		}
		c.node.push(e)
	}
	switch o {
	case core.NotRun:
		c.tell(toldNotRun)
	case core.Ran:
		c.tell(toldRun)
	default:
		c.tell(toldUnknown)
	}
}

func (n *node) push(e core.OutcomeRecord) {
	n.ends.Push(e)
	n.pumpEnds()
}

// tell answers the caller.
func (c *call) tell(t told) {
	w := c.node.w
	if t == toldNotRun {
		w.refused(c)
	}
	c.reply(t)
}
