package completion_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/completion"
	"github.com/knapweedgw/knapweedgw/sse"
)

// Guards against the end of a body's bytes being taken for the end of the response.
func TestDecide(t *testing.T) {
	type ending = completion.Ending
	for name, tt := range map[string]struct {
		ending  ending
		verdict completion.Verdict
		reason  completion.Reason
	}{
		"framed":                       {ending{Framing: completion.ByLength}, completion.Complete, completion.Framed},
		"framed, failed":               {ending{Framing: completion.ByChunks, Failed: true}, completion.Truncated, completion.ReadFailed},
		"framed, inside an event":      {ending{Framing: completion.ByChunks, Events: true, Position: sse.Inside}, completion.Truncated, completion.InsideEvent},
		"framed, no event":             {ending{Framing: completion.ByChunks, Events: true}, completion.Complete, completion.Framed},
		"failed":                       {ending{Framing: completion.ByClose, Failed: true, Target: completion.TargetLeaves}, completion.Truncated, completion.ReadFailed},
		"inside an event":              {ending{Framing: completion.ByClose, Events: true, Position: sse.Inside, Target: completion.TargetLeaves}, completion.Truncated, completion.InsideEvent},
		"no event":                     {ending{Framing: completion.ByClose, Events: true, Target: completion.TargetLeaves}, completion.Truncated, completion.NoEvent},
		"no event, resumed":            {ending{Framing: completion.ByClose, Events: true, Resumed: true}, completion.ProbeTarget, completion.NotProbed},
		"no event, resumed, accepts":   {ending{Framing: completion.ByClose, Events: true, Resumed: true, Target: completion.TargetAccepts}, completion.Complete, completion.Accepts},
		"between events":               {ending{Framing: completion.ByClose, Events: true, Position: sse.Between}, completion.ProbeTarget, completion.NotProbed},
		"between events, leaves":       {ending{Framing: completion.ByClose, Events: true, Position: sse.Between, Target: completion.TargetLeaves}, completion.Complete, completion.Leaves},
		"between events, accepts":      {ending{Framing: completion.ByClose, Events: true, Position: sse.Between, Target: completion.TargetAccepts}, completion.Complete, completion.Accepts},
		"between events, terminated":   {ending{Framing: completion.ByClose, Events: true, Position: sse.Between, Target: completion.TargetTerminated}, completion.Truncated, completion.Terminated},
		"between events, not clear":    {ending{Framing: completion.ByClose, Events: true, Position: sse.Between, Target: completion.TargetUnclear}, completion.Complete, completion.Unclear},
		"a plain body":                 {ending{Framing: completion.ByClose}, completion.ProbeTarget, completion.NotProbed},
		"a plain body and terminated":  {ending{Framing: completion.ByClose, Target: completion.TargetTerminated}, completion.Truncated, completion.Terminated},
		"a plain body, not clear":      {ending{Framing: completion.ByClose, Target: completion.TargetUnclear}, completion.Complete, completion.Unclear},
		"a framed body and terminated": {ending{Framing: completion.ByLength, Target: completion.TargetTerminated}, completion.Complete, completion.Framed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			verdict, reason := completion.Decide(tt.ending)
			is.Equal(verdict, tt.verdict)
			is.Equal(reason, tt.reason)
		})
	}
}

// Guards against a response without a body being taken for one that ends with its connection.
func TestFramingOf(t *testing.T) {
	is := is.New(t)
	head := &http.Request{Method: http.MethodHead}
	is.Equal(completion.FramingOf(&http.Response{StatusCode: 200, ContentLength: -1}), completion.ByClose)
	is.Equal(completion.FramingOf(&http.Response{StatusCode: 200, ContentLength: 0}), completion.ByLength)
	is.Equal(completion.FramingOf(&http.Response{StatusCode: 200, ContentLength: -1, TransferEncoding: []string{"chunked"}}), completion.ByChunks)
	is.Equal(completion.FramingOf(&http.Response{StatusCode: 200, ContentLength: -1, Request: head}), completion.ByLength)
	is.Equal(completion.FramingOf(&http.Response{StatusCode: 204, ContentLength: -1}), completion.ByLength)
	is.Equal(completion.FramingOf(&http.Response{StatusCode: 304, ContentLength: -1}), completion.ByLength)
}

// Guards against an answer of another media type being judged by the events that it doesn't have.
func TestIsEventStream(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "application/json": false, "text/event-streams": false, "": true,
	} {
		resp := &http.Response{Header: http.Header{"Content-Type": {value}}}
		is.Equal(completion.IsEventStream(resp, true), want)
	}
	is.Equal(completion.IsEventStream(&http.Response{}, false), false)
}

func unframed(body io.Reader) *http.Response {
	return &http.Response{StatusCode: 200, ContentLength: -1, Body: io.NopCloser(body)}
}

// Guards against bytes being lost, or judged otherwise, when the reads of a body split it elsewhere.
func TestBodyFollowsEvents(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\nda"
	for name, r := range map[string]io.Reader{
		"whole": strings.NewReader(stream), "bytes": iotest.OneByteReader(strings.NewReader(stream)),
		"error with data": iotest.DataErrReader(strings.NewReader(stream)),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b completion.Body
			b.Start(unframed(r), true)
			read, err := io.ReadAll(&b)
			is.NoErr(err)
			is.Equal(string(read), stream)
			is.Equal(b.Received(), len(stream))
			is.Equal(b.LastEventID(), "1")
			is.Equal(b.Ending(), completion.Ending{Framing: completion.ByClose, Events: true, Position: sse.Inside})
		})
	}
	is := is.New(t)
	var b completion.Body
	b.Start(unframed(iotest.ErrReader(errors.New("reset"))), false)
	_, _ = io.ReadAll(&b)
	is.True(b.Ending().Failed)
}
