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
	eventDone              // the last event of a complete stream
	eventError             // terminates a failed stream
)

// event is one server-sent event. Its slices are valid until the next read.
type event struct {
	raw  []byte // with the final blank line and the reader's prefix before the ID
	data []byte // the value of the first data line
	id   int    // the engine's event ID, or noID
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

// next returns the next complete event. It returns an error for an event that is truncated by
// the end of the stream, and errEventTooLarge for one over maxEvent.
func (er *eventReader) next() (event, error) {
	ev := event{id: noID}
	er.buf = er.buf[:0]
	dataStart, dataEnd := 0, 0
	for {
		start := len(er.buf)
		line, err := er.line()
		if err != nil {
			return ev, err
		}
		switch {
		case len(line) == 0:
			ev.raw = er.buf
			ev.data = er.buf[dataStart:dataEnd]
			ev.kind = kindOf(ev)
			return ev, nil
		case bytes.HasPrefix(line, fieldID):
			er.rewriteID(&ev, start, bytes.TrimSpace(line[len(fieldID):]))
		case dataEnd == 0 && bytes.HasPrefix(line, fieldData):
			dataStart = start + len(fieldData)
			if dataStart < start+len(line) && er.buf[dataStart] == ' ' {
				dataStart++
			}
			dataEnd = start + len(line)
		}
	}
}

// line appends the next line to the buffer and returns it without its line ending.
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

// rewriteID inserts the prefix before a numeric ID. It drops any other ID, from which the stream
// couldn't be resumed.
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

// buffered reports whether more of the stream can be read without blocking.
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

// openingChunk is the part of a completion chunk that shows whether it has any output.
type openingChunk struct {
	Choices []struct {
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason *string                    `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// isOpening reports whether an event precedes the output: a comment, or a chunk whose deltas
// hold a role and at most empty text. Anything not recognized as empty counts as output.
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

// overloadCodes are the error codes with which engines refuse a request inside a stream.
var overloadCodes = map[string]bool{
	"server_is_overloaded": true, "rate_limit_exceeded": true, "slow_down": true,
}

type streamError struct {
	Error struct {
		Type string `json:"type"`
		Code string `json:"code"`
	} `json:"error"`
}

// isOverload reports whether an error event is an engine's refusal because of overload.
func isOverload(ev event) bool {
	var e streamError
	if ev.kind != eventError || json.Unmarshal(ev.data, &e) != nil {
		return false
	}
	return overloadCodes[e.Error.Code] || e.Error.Type == "service_unavailable_error"
}
