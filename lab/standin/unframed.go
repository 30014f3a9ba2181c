package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
)

// Unframed is how an engine ends an answer that has neither a length nor chunks, whose end only the end
// of its connection tells.
type Unframed struct {
	// Events is the number of whole events of a stream before the end, -1 for all.
	Events int
	// Inside sends half of the next event as well; of a plain answer, only the half.
	Inside bool
	// Reset ends the connection by a reset, otherwise it is closed in order.
	Reset bool
	// Crash ends the engine with the connection. Leave announces in the answer's header that it leaves.
	Crash, Leave bool
}

// AnswerUnframed makes the engine answer unframed from now on, or as usual for nil.
func (e *Engine) AnswerUnframed(u *Unframed) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unframed = u
}

func (e *Engine) unframedAnswer() *Unframed {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unframed
}

// writeUnframed writes an answer as u says.
func (e *Engine) writeUnframed(w http.ResponseWriter, r *http.Request, run *Run, u *Unframed, id string) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	header, leaving := "", u.Leave
	if r.Header.Get("Model") != "" {
		header += "Content-Type: text/event-stream\r\n"
	}
	if leaving {
		header += "Server-Leaving: 1\r\n"
	}
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nEngine-Signature: sig-%s\r\n%s\r\n", id, e.ID, header)
	_ = buf.Flush()
	for _, part := range e.unframedBody(r, u, id) {
		_, _ = conn.Write([]byte(part))
		if !e.sleep(r, run, headerTime(r, PaceHeader, e.Pace)) {
			return
		}
	}
	if u.Crash {
		e.Crash()
	}
	e.journal.markWhole(run, u.Events < 0 && !u.Inside && !u.Reset)
	if tcp, ok := conn.(*net.TCPConn); ok && u.Reset {
		_ = tcp.SetLinger(0)
	}
}

// unframedBody returns the parts of the body that are sent.
func (e *Engine) unframedBody(r *http.Request, u *Unframed, id string) (parts []string) {
	if r.Header.Get("Model") == "" {
		body := PlainBody(id)
		if u.Inside {
			body = body[:len(body)/2]
		}
		return []string{body}
	}
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	end := e.Events
	if u.Events >= 0 {
		end = min(first+u.Events, e.Events)
	}
	for n := first; n < end; n++ {
		parts = append(parts, e.event(r, id, n))
	}
	if u.Inside {
		next := e.event(r, id, end)
		parts = append(parts, next[:len(next)/2])
	}
	return parts
}
