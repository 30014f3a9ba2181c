package router

import (
	"net/http"

	"github.com/knapweedgw/knapweedgw/sse"
)

// transfer is what is known of the body of an answer.
type transfer struct {
	framing string
	// events follows the events of a stream, nil for a plain answer.
	events *sse.Scanner
	bytes  int
	err    error
}

// Framings of a body: what tells its end.
const (
	framedByLength = "length"
	framedByChunks = "chunked"
	framedByClose  = "close"
)

func newTransfer(resp *http.Response, stream bool) *transfer {
	t := &transfer{framing: framedByClose}
	if stream {
		t.events = &sse.Scanner{}
	}
	switch {
	case len(resp.TransferEncoding) > 0:
		t.framing = framedByChunks
	case resp.ContentLength >= 0:
		t.framing = framedByLength
	}
	return t
}

// record records a part of the body and the error of reading it.
func (t *transfer) record(p []byte, err error) {
	if t.events != nil {
		t.events.Scan(p)
	}
	t.bytes += len(p)
	if err != nil {
		t.err = err
	}
}

// transferFields returns the log fields of an answer whose end only the connection tells.
func (x *exchange) transferFields() []any {
	t := x.summary.transfer
	if t == nil || t.framing != framedByClose {
		return nil
	}
	fields := []any{"framing", t.framing, "received", t.bytes, "ended", t.err}
	if t.events != nil {
		fields = append(fields, "position", t.events.Position(), "last_event", t.events.LastID())
	}
	if c := x.summary.conn; c != nil && c.WriteError() != nil {
		fields = append(fields, "write_error", c.WriteError())
	}
	return fields
}
