package completion

import (
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/sse"
)

// Body reads the body of a response and follows what Decide needs. The zero value has no response.
type Body struct {
	reader   io.Reader
	framing  Framing
	isStream bool // of events
	events   sse.Scanner
	// received is the number of bytes read, outside how many of the last read end outside of events.
	received, outside int
	err               error // of the last read
}

// Start begins to read the body of a response; events means that it is a stream of events.
func (b *Body) Start(resp *http.Response, events bool) {
	*b = Body{reader: resp.Body, framing: FramingOf(resp), isStream: events}
}

// eventStream is the media type of streams of events.
const eventStream = "text/event-stream"

// IsEventStream reports whether a response is a stream of events, by its header. fallback is for one
// without a media type.
func IsEventStream(resp *http.Response, fallback bool) bool {
	value := resp.Header.Get("Content-Type")
	if value == "" {
		return fallback
	}
	media, _, _ := strings.Cut(value, ";")
	return strings.EqualFold(strings.TrimSpace(media), eventStream)
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.received += n
	b.err = err
	b.outside = n
	if b.isStream {
		b.outside = b.events.Scan(p[:n])
	}
	return n, err
}

// Outside returns how many bytes of the last Read end outside of events, all for a body without events.
func (b *Body) Outside() int { return b.outside }

// Received returns how many bytes were read.
func (b *Body) Received() int { return b.received }

// Err returns the error of the last Read.
func (b *Body) Err() error { return b.err }

// EndsConnection reports whether the connection ended with the body: it delimits the body, or failed.
func (b *Body) EndsConnection() bool {
	return b.framing == ByClose || b.Ending().Failed
}

// Events returns the number of complete events that were read.
func (b *Body) Events() int { return b.events.Events() }

// LastEventID returns the ID of the last complete event, empty for none.
func (b *Body) LastEventID() string {
	return b.events.LastID()
}

// Ending returns how the transfer ended. The caller adds what is known of the request and the target.
func (b *Body) Ending() Ending {
	e := Ending{Framing: b.framing, Failed: b.err != nil && !errors.Is(b.err, io.EOF)}
	if b.isStream {
		e.Events, e.Position = true, b.events.Position()
	}
	return e
}

// LogFields returns the log fields of the transfer.
func (b *Body) LogFields() []any {
	fields := []any{"framing", b.framing, "received", b.received, "ended", b.err}
	if b.isStream {
		fields = append(fields, "position", b.events.Position(), "last_event", b.events.LastID())
	}
	return fields
}
