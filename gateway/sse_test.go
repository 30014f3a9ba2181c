package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Events are read completely however the stream is split into reads, with their IDs prefixed. An
// event truncated by the end of the stream is never returned.
func TestEventReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(t, "events")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var in strings.Builder
		var want []string
		for i := range n {
			data := rapid.StringMatching(`[a-z{}":]{0,40}`).Draw(t, "data")
			_, _ = fmt.Fprintf(&in, "id: %d%sdata: %s%s%s", i, end, data, end, end)
			want = append(want, fmt.Sprintf("id: p.%d\ndata: %s%s%s", i, data, end, end))
		}
		tail := rapid.SampledFrom([]string{"", "id: 9", "data: x\n", ": c\nid: 7\n"}).Draw(t, "tail")
		_, _ = in.WriteString(tail)
		var r io.Reader = strings.NewReader(in.String())
		if rapid.Bool().Draw(t, "byte by byte") {
			r = iotest.OneByteReader(r)
		}
		er := newEventReader(r, "p.")
		for i, w := range want {
			ev, err := er.next()
			if err != nil || string(ev.raw) != w || ev.id != i {
				t.Fatalf("event %d: %q, id %d, err %v; want %q", i, ev.raw, ev.id, err, w)
			}
		}
		if _, err := er.next(); !errors.Is(err, io.EOF) {
			t.Fatalf("after the last event: %v", err)
		}
	})
}

func TestEventTooLarge(t *testing.T) {
	er := newEventReader(strings.NewReader("data: "+strings.Repeat("x", maxEvent)+"\n\n"), "")
	_, err := er.next()
	is.New(t).True(errors.Is(err, errEventTooLarge))
}

func TestEventKinds(t *testing.T) {
	tests := []struct {
		in       string
		kind     eventKind
		opening  bool
		overload bool
	}{
		{"data: [DONE]", eventDone, false, false},
		{"data:[DONE]", eventDone, false, false},
		{": keepalive", eventContent, true, false},
		{"event: ping", eventContent, false, false},
		{`data: {"choices":[{"delta":{"role":"assistant"}}]}`, eventContent, true, false},
		{`data: {"choices":[{"delta":{"role":"assistant","content":""}}]}`, eventContent, true, false},
		{`data: {"choices":[{"delta":{"content":null}}]}`, eventContent, true, false},
		{`data: {"choices":[{"delta":{"content":"x"}}]}`, eventContent, false, false},
		{`data: {"choices":[{"delta":{"refusal":""}}]}`, eventContent, false, false},
		{`data: {"choices":[{"delta":{},"finish_reason":"stop"}]}`, eventContent, false, false},
		{`data: {"choices":[]}`, eventContent, false, false},
		{`data: {"choices":[{"delta":{"role":"a"}},{"delta":{"content":"x"}}]}`, eventContent, false, false},
		{`data: not JSON`, eventContent, false, false},
		{`data: {"error":{"code":"server_is_overloaded"}}`, eventError, false, true},
		{`data: {"error":{"type":"service_unavailable_error"}}`, eventError, false, true},
		{`data: {"error":{"code":"context_length_exceeded"}}`, eventError, false, false},
		{"event: error\ndata: x", eventError, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.in, func(t *testing.T) {
			is := is.New(t)
			ev, err := newEventReader(strings.NewReader(tt.in+"\n\n"), "").next()
			is.NoErr(err)
			is.Equal(ev.kind, tt.kind)
			is.Equal(isOpening(ev), tt.opening)
			is.Equal(isOverload(ev), tt.overload)
		})
	}
}
