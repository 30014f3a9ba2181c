package heartbeat

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/quarantine"
)

// kind is the first byte of a datagram that is no Report. A Report is a CBOR array,
// whose first byte is another.
type kind byte

const (
	kindSum          kind = 1
	kindSubscription kind = 2
)

// GroupSum is what all live nodes of a group together run and saw, told to nodes of
// other groups by one of them, the relay.
type GroupSum struct {
	_ struct{} `cbor:",toarray"`
	// From is the relay's brief report of itself, with the uses of its group.
	From Report
	// Groups is the number of groups by which the relay goes, Wanted the number it
	// finds right for the nodes that it knows.
	Groups, Wanted int
	Group          int
	// Nodes is the number of nodes that are added up.
	Nodes int
	// Counts are the packed sums.
	Counts []byte
	// Members are the live nodes of the group, in some sums only.
	Members []Member
}

// Member is a live node of a group.
type Member struct {
	_       struct{} `cbor:",toarray"`
	Address []byte
	// Last says that the node can't reach the store or leaves, so that it comes last
	// in the order of the watchers.
	Last bool
}

// Subscription asks a node for the sums of its group until a lease is over.
type Subscription struct {
	_      struct{} `cbor:",toarray"`
	From   Report
	Wanted int
}

func encode(k kind, message any, requests []quarantine.Record) ([]byte, error) {
	raw, err := marshal(message, requests)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(k)}, raw...), nil
}

// textAddress is the first byte of a packed address that is no ip:port. No host has
// an IPv4 address that begins with it.
const textAddress = 0

// packAddress returns the binary form of an ip:port, 6 bytes for IPv4 where the
// text has up to 21.
func packAddress(node string) []byte {
	addr, err := netip.ParseAddrPort(node)
	if err != nil {
		return append([]byte{textAddress}, node...)
	}
	raw, err := addr.MarshalBinary()
	if err != nil {
		return append([]byte{textAddress}, node...)
	}
	return raw
}

func unpackAddress(raw []byte) string {
	if len(raw) > 0 && raw[0] == textAddress {
		return string(raw[1:])
	}
	var addr netip.AddrPort
	if err := addr.UnmarshalBinary(raw); err != nil {
		return ""
	}
	return addr.String()
}

// targetSum is a target's sum.
type targetSum struct {
	target uint32
	Sum
}

// Packed sums are in the order of the targets' hashes. Each is a variable-length
// integer that holds the distance to the hash before and, in its lowest bit, whether
// more follows than that one request is in progress: a byte that holds Running, if
// that is under packedRunning, and which of the other numbers follow, and those as
// variable-length integers. It takes 4 to 6 bytes where CBOR takes 11.
const (
	packedRunning  = 15
	hasAnswered    = 1 << 4
	hasFailed      = 1 << 5
	hasUnreachable = 1 << 6
)

// maxSums is the most targets in one message, which are under 10 kB: as many as
// a group of 23 nodes uses at 40 requests in progress a node.
const maxSums = 1000

// pack returns the sums in wire form, those with the most requests if there are too
// many for one message.
func (m sums) pack() []byte {
	all := make([]targetSum, 0, len(m))
	for t, s := range m {
		all = append(all, targetSum{t, s})
	}
	if len(all) > maxSums {
		slices.SortFunc(all, func(a, b targetSum) int { return cmp.Compare(b.Running, a.Running) })
		all = all[:maxSums]
	}
	slices.SortFunc(all, func(a, b targetSum) int { return cmp.Compare(a.target, b.target) })
	const usualSize = 6 // bytes a target
	out := make([]byte, 0, usualSize*len(all))
	before := uint32(0)
	for _, t := range all {
		out = t.append(out, before)
		before = t.target
	}
	return out
}

// oneRunning is the commonest sum, which takes no byte of its own.
var oneRunning = Sum{Running: 1}

func (t targetSum) append(b []byte, before uint32) []byte {
	head := uint64(t.target-before) << 1
	if t.Sum == oneRunning {
		return binary.AppendUvarint(b, head)
	}
	b = binary.AppendUvarint(b, head|1)
	at := len(b)
	b = append(b, byte(min(t.Running, packedRunning)))
	if t.Running >= packedRunning {
		b = binary.AppendUvarint(b, uint64(t.Running))
	}
	for _, f := range []struct {
		n   int
		bit byte
	}{{t.Counts.Answered, hasAnswered}, {t.Counts.Failed, hasFailed}, {t.Unreachable, hasUnreachable}} {
		if f.n > 0 {
			b[at] |= f.bit
			b = binary.AppendUvarint(b, uint64(f.n))
		}
	}
	return b
}

var errPackedSums = errors.New("packed sums are cut short or out of range")

// unpack reads packed sums.
func unpack(b []byte) ([]targetSum, error) {
	var out []targetSum
	before := uint32(0)
	for len(b) > 0 {
		t, rest, ok := unpackOne(b, before)
		if !ok || len(out) == maxSums {
			return nil, errors.WithHint(errPackedSums, "run the same version on all nodes")
		}
		out, b, before = append(out, t), rest, t.target
	}
	return out, nil
}

func unpackOne(b []byte, before uint32) (t targetSum, rest []byte, ok bool) {
	head, size := binary.Uvarint(b)
	if size <= 0 || head>>1 > math.MaxUint32-uint64(before) {
		return t, nil, false
	}
	t.target, b = before+uint32(head>>1), b[size:]
	if head&1 == 0 {
		t.Sum = oneRunning
		return t, b, true
	}
	if len(b) == 0 {
		return t, nil, false
	}
	flags := b[0]
	b = b[1:]
	t.Running = int(flags & packedRunning)
	if t.Running == packedRunning {
		if t.Running, b, ok = unpackCount(b); !ok {
			return t, nil, false
		}
	}
	for _, f := range []struct {
		n   *int
		bit byte
	}{{&t.Counts.Answered, hasAnswered}, {&t.Counts.Failed, hasFailed}, {&t.Unreachable, hasUnreachable}} {
		if flags&f.bit == 0 {
			continue
		}
		if *f.n, b, ok = unpackCount(b); !ok {
			return t, nil, false
		}
	}
	return t, b, true
}

// maxCount is far above what a group can run at a target; more is a fault.
const maxCount = 1 << 24

func unpackCount(b []byte) (n int, rest []byte, ok bool) {
	v, size := binary.Uvarint(b)
	if size <= 0 || v > maxCount {
		return 0, nil, false
	}
	return int(v), b[size:], true
}
