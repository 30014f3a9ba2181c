package gateway

import (
	"bytes"
	"iter"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/routing"
)

// openingMessages is the largest number of messages of a chat without a reply so far: the
// system's and the caller's first.
const openingMessages = 2

// messages is what the gateway keeps of a chat's messages. A slice of them would take many times
// the length of a body of many short ones.
type messages struct {
	count int
	// opening is the text of the first openingMessages messages.
	opening string
	// shared holds the hashes of the first messages that other chats may share, all but the last:
	// as many as the quarantine considers.
	shared []uint64
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *messages) UnmarshalJSON(raw []byte) error {
	*m = messages{}
	if string(raw) == "null" {
		return nil
	}
	if raw[0] != '[' {
		return errors.New("\"messages\" is not an array")
	}
	for range arrayElements(raw) {
		m.count++
	}
	shared := min(m.count-1, quarantine.MaxParts)
	i := 0
	for e := range arrayElements(raw) {
		if i >= max(shared, openingMessages) {
			break
		}
		if i < openingMessages {
			m.opening += string(e)
		}
		if i < shared {
			m.shared = append(m.shared, routing.Hash(string(e)))
		}
		i++
	}
	return nil
}

// arrayElements returns the elements of a valid JSON array, without the space around them.
func arrayElements(array []byte) iter.Seq[[]byte] {
	const space = " \t\r\n"
	return func(yield func([]byte) bool) {
		inside := bytes.Trim(array[1:len(array)-1], space)
		for len(inside) > 0 {
			end := elementEnd(inside)
			if !yield(bytes.Trim(inside[:end], space)) {
				return
			}
			inside = inside[min(end+1, len(inside)):]
		}
	}
}

// elementEnd returns the length of the first of the elements, up to the comma after it.
func elementEnd(elements []byte) int {
	depth, quoted := 0, false
	for i := 0; i < len(elements); i++ {
		switch b := elements[i]; {
		case quoted && b == '\\':
			i++
		case b == '"':
			quoted = !quoted
		case quoted:
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 0:
			return i
		}
	}
	return len(elements)
}
