package soak

import (
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

// unframedEndings are how targets end answers that have neither a length nor chunks. None ends a stream
// between two events, or a plain answer in part, in order: no caller could tell these from whole ones.
var unframedEndings = []standin.Unframed{
	{Events: -1},
	{Events: 2, Inside: true},
	{Inside: true},
	{Events: standin.DefaultEvents - 1, Inside: true},
	{},
	{Events: 2, Reset: true},
	{Events: 2, Inside: true, Reset: true},
	{Reset: true},
}

// answerUnframed makes a target answer unframed during the step.
func (r *run) answerUnframed(s Step) {
	e := r.target(s).current()
	defer r.targetFaultsOf(e.ID).begin()()
	ending := unframedEndings[s.Variant%len(unframedEndings)]
	if e.Service == standin.ServicePool {
		ending.Reset = ending.Inside
	}
	e.AnswerUnframed(&ending)
	time.Sleep(s.For)
	e.AnswerUnframed(nil)
}
