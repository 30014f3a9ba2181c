package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	eventStream = "text/event-stream"
	// maxEvent is the largest event relayed, in bytes.
	maxEvent    = 1 << 20
	eventBuffer = 8 << 10
)

var errEventTooLarge = errors.New("event over the limit")

// noID is the ID of an event without a numeric one.
const noID = -1

type eventKind int

const (
	eventContent eventKind = iota
	eventDone              // the last of a whole stream
	eventError             // ends a failed stream
)

// event is one server-sent event. Its slices are valid until the next read.
type event struct {
	raw  []byte // with the closing blank line; IDs carry the reader's prefix
	data []byte // the first data line's value
	id   int    // the target's ID, or noID
	kind eventKind
}

// eventReader reads server-sent events and rewrites their IDs.
type eventReader struct {
	r      *bufio.Reader
	prefix string
	buf    []byte
}

func newEventReader(r io.Reader, prefix string) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer), prefix: prefix}
}

var (
	fieldID    = []byte("id:")
	fieldData  = []byte("data:")
	doneData   = []byte("[DONE]")
	errorData  = []byte(`{"error"`)
	errorEvent = []byte("event: error")
)

// next returns the next whole event. An event that the stream's end cuts off
// is an error.
func (er *eventReader) next() (event, error) {
	ev := event{id: noID}
	er.buf = er.buf[:0]
	dataAt, dataEnd := 0, 0
	for {
		start := len(er.buf)
		line, err := er.line()
		if err != nil {
			return ev, err
		}
		switch {
		case len(line) == 0:
			ev.raw = er.buf
			ev.data = er.buf[dataAt:dataEnd]
			ev.kind = kindOf(ev)
			return ev, nil
		case bytes.HasPrefix(line, fieldID):
			er.rewriteID(&ev, start, bytes.TrimSpace(line[len(fieldID):]))
		case dataEnd == 0 && bytes.HasPrefix(line, fieldData):
			dataAt = start + len(fieldData)
			if dataAt < start+len(line) && er.buf[dataAt] == ' ' {
				dataAt++
			}
			dataEnd = start + len(line)
		}
	}
}

// line appends the next line to the buffer and returns it without its end.
func (er *eventReader) line() ([]byte, error) {
	start := len(er.buf)
	for {
		part, err := er.r.ReadSlice('\n')
		er.buf = append(er.buf, part...)
		if len(er.buf) > maxEvent {
			return nil, errEventTooLarge
		}
		if err == nil {
			return bytes.TrimRight(er.buf[start:], "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// rewriteID puts the prefix before a numeric ID; another ID is dropped, as it
// couldn't be resumed from.
func (er *eventReader) rewriteID(ev *event, start int, value []byte) {
	n, err := strconv.Atoi(string(value))
	er.buf = er.buf[:start]
	if err != nil || n < 0 {
		return
	}
	ev.id = n
	er.buf = append(er.buf, "id: "...)
	er.buf = append(er.buf, er.prefix...)
	er.buf = strconv.AppendInt(er.buf, int64(n), 10)
	er.buf = append(er.buf, '\n')
}

// buffered says whether more of the stream is at hand.
func (er *eventReader) buffered() bool { return er.r.Buffered() > 0 }

func kindOf(ev event) eventKind {
	switch {
	case bytes.Equal(ev.data, doneData):
		return eventDone
	case bytes.HasPrefix(ev.data, errorData), bytes.HasPrefix(ev.raw, errorEvent):
		return eventError
	default:
		return eventContent
	}
}

// openingChunk is a completion chunk as far as it tells whether the chunk is
// empty.
type openingChunk struct {
	Choices []struct {
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason *string                    `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// isOpening says whether an event announces a stream without any output:
// comments, and chunks whose delta holds a role and at most empty text. The
// list is closed: whatever is not known to be empty counts as output.
func isOpening(ev event) bool {
	if ev.kind != eventContent {
		return false
	}
	if len(ev.data) == 0 {
		return bytes.HasPrefix(ev.raw, []byte(":")) || ev.id == noID && len(ev.raw) <= len("\r\n")
	}
	var chunk openingChunk
	if json.Unmarshal(ev.data, &chunk) != nil || len(chunk.Choices) == 0 {
		return false
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			return false
		}
		for name, value := range choice.Delta {
			empty := string(value) == `""` || string(value) == "null"
			if name != "role" && !(name == "content" && empty) {
				return false
			}
		}
	}
	return true
}

// overload codes by which engines refuse a request inside a stream.
var overloadCodes = map[string]bool{
	"server_is_overloaded": true, "rate_limit_exceeded": true, "slow_down": true,
}

type streamError struct {
	Error struct {
		Type string `json:"type"`
		Code string `json:"code"`
	} `json:"error"`
}

// isOverload says whether an error event is an engine's refusal for load.
func isOverload(ev event) bool {
	var e streamError
	if ev.kind != eventError || json.Unmarshal(ev.data, &e) != nil {
		return false
	}
	return overloadCodes[e.Error.Code] || e.Error.Type == "service_unavailable_error"
}
