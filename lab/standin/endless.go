package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// Endless is where an engine sends bytes that never end, until its caller closes the connection.
type Endless int

// The ways of an engine that sends bytes without end.
const (
	// EndlessRefusal refuses without running the request, by an answer whose body drips on.
	EndlessRefusal Endless = iota + 1
	// EndlessHead sends the fields of a header.
	EndlessHead
	// EndlessLine sends bytes without a line end in place of a header.
	EndlessLine
	// EndlessInterim sends interim answers (status 103).
	EndlessInterim
	// EndlessBody sends an answer of the engine's own whose body goes on.
	EndlessBody
)

// EndlessWays lists the ways in which no byte is an answer.
var EndlessWays = []Endless{EndlessRefusal, EndlessHead, EndlessLine, EndlessInterim}

// SendEndlessly makes the engine answer each request by bytes without end, or as usual for 0.
func (e *Engine) SendEndlessly(way Endless) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endless = way
}

func (e *Engine) endlessWay() Endless {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endless
}

// dripPause is the time between two pieces of a body that drips on.
const dripPause = 5 * time.Millisecond

// sendEndlessly sends bytes until the caller closes the connection.
func (e *Engine) sendEndlessly(w http.ResponseWriter, way Endless, id string) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = buf.Flush()
	begin, piece, pause := "", "", time.Duration(0)
	switch way {
	case EndlessRefusal:
		e.journal.reject()
		begin = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: %s\r\n\r\n", id)
		piece, pause = "no ", dripPause
	case EndlessHead:
		begin, piece = "HTTP/1.1 200 OK\r\n", "Field: some value of a header that never ends\r\n"
	case EndlessLine:
		piece = "bytes of no protocol without the end of a line "
	case EndlessInterim:
		piece = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
	case EndlessBody:
		begin = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nEngine-Signature: sig-%s\r\n\r\n", id, e.ID)
		piece, pause = "more ", dripPause
	}
	_, err = io.WriteString(conn, begin)
	for err == nil {
		_, err = io.WriteString(conn, piece)
		time.Sleep(pause)
	}
}
