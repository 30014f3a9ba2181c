package dispatch

import (
	"encoding/json"
	"math"
	"strconv"
	"sync"

	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// maxNames limits the names that are kept to be shared by messages.
const maxNames = 4096

// names has the names of nodes, services, workspaces, targets and domains, which recur in all
// messages, so that decoding doesn't allocate them again.
type names struct {
	mu    sync.RWMutex
	known map[string]string
}

func (n *names) of(raw []byte) string {
	n.mu.RLock()
	s, ok := n.known[string(raw)]
	n.mu.RUnlock()
	if ok {
		return s
	}
	s = string(raw)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.known) >= maxNames {
		clear(n.known)
	}
	n.known[s] = s
	return s
}

// decoder decodes asks as nodes of this release encode them: without white space, escapes, floating
// point numbers and lists that most asks don't have. For all else it gives up, and encoding/json
// decodes the message. It takes a quarter of the time and two allocations instead of 18.
type decoder struct {
	raw   []byte
	at    int
	names *names
	bad   bool
}

// decodeAcquire decodes an ask.
func decodeAcquire(raw []byte, n *names) (acquireMessage, error) {
	d := decoder{raw: raw, names: n}
	var m acquireMessage
	if d.object(func(key string) { d.acquireField(key, &m) }); !d.bad && d.at == len(raw) {
		return m, nil
	}
	m = acquireMessage{}
	err := json.Unmarshal(raw, &m)
	return m, err
}

func (d *decoder) acquireField(key string, m *acquireMessage) {
	switch key {
	case "n":
		m.Node = d.name()
	case "i":
		m.Incarnation = d.int()
	case "q":
		m.Seq = d.uint()
	case "h":
		m.Chat = d.uint()
	case "w":
		m.Workspace = d.name()
	case "u":
		m.Urgency = int(d.int())
	case "x":
		m.Exclude = d.nameList(m.Exclude)
	case "rm":
		m.RemainingMS = d.int()
	case "sw": // sent by the earlier release; not used
		d.int()
	case "rt":
		d.bool()
	case "d":
		m.Domain = d.name()
	case "e":
		m.Ended = d.ended(m.Ended)
	case "su":
		m.Suspects = d.nameList(m.Suspects)
	case "hm":
		m.HoldMicros = d.int()
	default:
		d.cellField(key, &m.CellKey)
	}
}

func (d *decoder) cellField(key string, k *holds.CellKey) {
	switch key {
	case "p":
		k.Pool = d.name()
	case "c":
		k.Cell = int(d.int())
	case "o":
		k.Of = int(d.int())
	default:
		d.bad = true
	}
}

// ended and the other lists give up if the key comes twice.
func (d *decoder) ended(old []holds.EndedPlaces) []holds.EndedPlaces {
	d.bad = d.bad || old != nil
	out := []holds.EndedPlaces{}
	d.list(func() {
		var e holds.EndedPlaces
		d.object(func(key string) {
			switch key {
			case "q":
				e.Seqs = d.seqs(e.Seqs)
			case "f":
				e.Failed = d.seqs(e.Failed)
			case "v":
				e.Unknown = d.seqs(e.Unknown)
			case "z":
				e.Overloaded = d.seqs(e.Overloaded)
			default:
				d.cellField(key, &e.CellKey)
			}
		})
		out = append(out, e)
	})
	return out
}

func (d *decoder) seqs(old holds.Seqs) holds.Seqs {
	d.bad = d.bad || old != nil
	out, last := holds.Seqs{}, uint64(0)
	d.list(func() {
		last += d.uint()
		out = append(out, last)
	})
	return out
}

func (d *decoder) nameList(old []string) []string {
	d.bad = d.bad || old != nil
	out := []string{}
	d.list(func() { out = append(out, d.name()) })
	return out
}

// next consumes a byte if it comes next.
func (d *decoder) next(c byte) bool {
	if d.bad || d.at >= len(d.raw) || d.raw[d.at] != c {
		return false
	}
	d.at++
	return true
}

func (d *decoder) expect(c byte) {
	if !d.next(c) {
		d.bad = true
	}
}

// object calls field for each key, which must consume the value.
func (d *decoder) object(field func(key string)) {
	d.expect('{')
	if d.next('}') {
		return
	}
	for !d.bad {
		key := d.string()
		d.expect(':')
		if d.bad {
			return
		}
		field(d.key(key))
		if d.next('}') {
			return
		}
		d.expect(',')
	}
}

// key returns a key without allocating it; all keys have one or two bytes.
func (d *decoder) key(raw []byte) string {
	if len(raw) == 0 || len(raw) > 2 {
		d.bad = true
		return ""
	}
	return d.names.of(raw)
}

func (d *decoder) list(element func()) {
	d.expect('[')
	if d.next(']') {
		return
	}
	for !d.bad {
		element()
		if d.next(']') {
			return
		}
		d.expect(',')
	}
}

// string returns the content of a string of printable ASCII without escapes.
func (d *decoder) string() []byte {
	d.expect('"')
	begin := d.at
	for !d.bad && d.at < len(d.raw) {
		switch c := d.raw[d.at]; {
		case c == '"':
			d.at++
			return d.raw[begin : d.at-1]
		case c < ' ' || c > '~' || c == '\\':
			d.bad = true
		}
		d.at++
	}
	d.bad = true
	return nil
}

func (d *decoder) name() string {
	raw := d.string()
	if d.bad || len(raw) > maxNameBytes {
		d.bad = true
		return ""
	}
	return d.names.of(raw)
}

func (d *decoder) uint() uint64 {
	begin, n := d.at, uint64(0)
	for !d.bad && d.at < len(d.raw) && d.raw[d.at] >= '0' && d.raw[d.at] <= '9' {
		digit := uint64(d.raw[d.at] - '0')
		if n > (math.MaxUint64-digit)/10 {
			d.bad = true
		}
		n = n*10 + digit
		d.at++
	}
	if d.at == begin || d.raw[begin] == '0' && d.at > begin+1 {
		d.bad = true
	}
	return n
}

func (d *decoder) int() int64 {
	if d.next('-') {
		begin := d.at
		d.uint()
		if d.bad {
			return 0
		}
		n, err := strconv.ParseInt(string(d.raw[begin-1:d.at]), 10, 64)
		d.bad = err != nil
		return n
	}
	n := d.uint()
	if n > math.MaxInt64 {
		d.bad = true
	}
	return int64(n)
}

func (d *decoder) bool() bool {
	for _, word := range [...]string{"true", "false"} {
		if d.at+len(word) <= len(d.raw) && string(d.raw[d.at:d.at+len(word)]) == word {
			d.at += len(word)
			return word == "true"
		}
	}
	d.bad = true
	return false
}
