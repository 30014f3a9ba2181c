// Package sse finds the boundaries of server-sent events in a stream of bytes (WHATWG HTML, section 9.2).
package sse

import "bytes"

// Position is where in a stream of events some bytes end.
type Position int

const (
	// BeforeFirst: no event has begun.
	BeforeFirst Position = iota
	// Between: after a complete event, with none begun since.
	Between
	// Inside: within an event or within any other line.
	Inside
)

var positionNames = [...]string{"before_first", "between", "inside"}

// String returns the position's name in logs.
func (p Position) String() string { return positionNames[p] }

// maxID is the longest event ID that is kept, in bytes.
const maxID = 128

var (
	byteOrderMark = []byte("\xEF\xBB\xBF")
	idPrefix      = []byte("id:")
)

// lineKind is what is known of a line from its bytes so far.
type lineKind int

const (
	lineEmpty lineKind = iota
	lineComment
	// lineField is any field but an ID.
	lineField
	// lineMaybeID begins like an ID field.
	lineMaybeID
	lineID
)

// Scanner follows a stream of events whose bytes it gets in parts of any size. The zero value is at the
// start of a stream.
type Scanner struct {
	events  int
	inEvent bool
	kind    lineKind
	// begun is the number of bytes of the line that were compared with idPrefix.
	begun int
	// afterCR means that a line feed would belong to the line end before it.
	afterCR bool
	// mark is the number of bytes of a byte order mark read, markDone that none can follow.
	mark     int
	markDone bool
	// ids holds the ID of the last complete event that had one, at index last, and that of the event in
	// progress.
	ids  [2]eventID
	last int
}

// eventID is an event ID of up to maxID bytes; a longer one counts as none.
type eventID struct {
	set    bool
	length int
	bytes  [maxID]byte
}

// next returns the ID of the event in progress.
func (s *Scanner) next() *eventID { return &s.ids[1-s.last] }

func (e *eventID) add(p []byte) {
	if e.length <= maxID {
		copy(e.bytes[min(e.length, maxID):], p)
	}
	e.length += len(p)
}

func (e *eventID) value() string {
	if e.length > maxID {
		return ""
	}
	return string(bytes.TrimSpace(e.bytes[:e.length]))
}

// Scan follows the next bytes of the stream. It returns the length of the longest prefix of p that ends
// outside of all events and lines, 0 if there is none.
func (s *Scanner) Scan(p []byte) (outside int) {
	rest := p
	for len(rest) > 0 {
		if !s.markDone {
			rest = s.scanMark(rest)
		} else {
			rest = s.scanLine(rest)
		}
		if s.Position() != Inside {
			outside = len(p) - len(rest)
		}
	}
	return outside
}

// scanMark skips the byte order mark that a stream may begin with.
func (s *Scanner) scanMark(p []byte) []byte {
	for len(p) > 0 && s.mark < len(byteOrderMark) && p[0] == byteOrderMark[s.mark] {
		s.mark++
		p = p[1:]
	}
	switch {
	case s.mark == len(byteOrderMark):
		s.markDone = true
	case len(p) > 0:
		s.markDone = true
		if s.mark > 0 {
			s.kind = lineField // part of a mark is an unknown field
		}
	}
	return p
}

// scanLine scans up to the end of a line, or all of p if it has none.
func (s *Scanner) scanLine(p []byte) []byte {
	if s.afterCR {
		s.afterCR = false
		if p[0] == '\n' {
			return p[1:]
		}
	}
	end := lineEnd(p)
	if end == len(p) {
		s.scanText(p)
		return nil
	}
	s.scanText(p[:end])
	s.endLine()
	s.afterCR = p[end] == '\r'
	return p[end+1:]
}

// lineEnd returns the index of the first byte of a line end in p, len(p) if there is none.
func lineEnd(p []byte) int {
	if i := bytes.IndexByte(p, '\n'); i >= 0 {
		p = p[:i]
	}
	if i := bytes.IndexByte(p, '\r'); i >= 0 {
		return i
	}
	return len(p)
}

// scanText scans bytes of one line.
func (s *Scanner) scanText(p []byte) {
	if len(p) == 0 {
		return
	}
	if s.kind == lineEmpty {
		s.kind = lineMaybeID
		if p[0] == ':' {
			s.kind = lineComment
		}
	}
	for s.kind == lineMaybeID && len(p) > 0 {
		if p[0] != idPrefix[s.begun] {
			s.kind = lineField
			break
		}
		p = p[1:]
		if s.begun++; s.begun == len(idPrefix) {
			s.kind = lineID
			next := s.next()
			next.set, next.length = true, 0
		}
	}
	if s.kind == lineID {
		s.next().add(p)
	}
}

func (s *Scanner) endLine() {
	switch s.kind {
	case lineEmpty:
		s.endEvent()
	case lineComment:
	default:
		s.inEvent = true
	}
	s.kind, s.begun = lineEmpty, 0
}

func (s *Scanner) endEvent() {
	if !s.inEvent {
		return
	}
	s.inEvent = false
	s.events++
	if s.next().set {
		s.last = 1 - s.last
		s.next().set = false
	}
}

// Position returns where in the stream the bytes so far end.
func (s *Scanner) Position() Position {
	switch {
	case s.inEvent || s.kind != lineEmpty || (!s.markDone && s.mark > 0):
		return Inside
	case s.events > 0:
		return Between
	}
	return BeforeFirst
}

// Events returns the number of complete events.
func (s *Scanner) Events() int { return s.events }

// LastID returns the ID of the last complete event that has one; empty if there is none, or if it has
// over 128 bytes.
func (s *Scanner) LastID() string { return s.ids[s.last].value() }
