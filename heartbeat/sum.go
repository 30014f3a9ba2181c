package heartbeat

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

// kind is the first byte of a datagram that is not a Report. A Report is a CBOR array, which
// begins with a different byte.
type kind byte

const (
	kindSum          kind = 1
	kindSubscription kind = 2
)

// GroupSum is the sum of the reports of all live nodes of a group. One of them, the relay,
// sends it to nodes of other groups.
type GroupSum struct {
	_ struct{} `cbor:",toarray"`
	// From is the relay's brief report, with the uses of its group.
	From Report
	// Groups is the number of groups that the relay uses, Wanted the number that suits the
	// fleet as the relay sees it.
	Groups, Wanted int
	Group          int
	// Nodes is the number of nodes in the sum.
	Nodes int
	// Counts are the packed sums.
	Counts []byte
	// Members are the live nodes of the group. Only some sums list them.
	Members []Member
}

// Member is a live node of a group.
type Member struct {
	_       struct{} `cbor:",toarray"`
	Address []byte
	// Last reports that the node can't reach the store or is leaving, so that it ranks last as
	// a watcher.
	Last bool
}

// Subscription asks a node for the sums of its group for the duration of a lease.
type Subscription struct {
	_      struct{} `cbor:",toarray"`
	From   Report
	Wanted int
}

func encode(k kind, message any, t tail) ([]byte, error) {
	raw, err := marshal(message, t)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(k)}, raw...), nil
}

// textAddress is the first byte of a packed address that is not an ip:port. No host has an IPv4
// address that begins with it.
const textAddress = 0

// packAddress returns the binary form of an ip:port, which for IPv4 takes 6 bytes instead of up
// to 21 as text.
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

// targetSum is the sum for one target.
type targetSum struct {
	target uint32
	Sum
}

// Packed sums are sorted by the targets' hashes. Each starts with a varint that holds the
// distance to the previous hash and, in its lowest bit, whether more follows; if not, the sum
// is a single request in progress. Otherwise a byte follows that holds Running if it is less
// than packedRunning, and flags for the other numbers present, then these numbers as varints.
// An entry takes 4 to 6 bytes, compared with 11 in CBOR.
const (
	packedRunning  = 15
	hasAnswered    = 1 << 4
	hasFailed      = 1 << 5
	hasUnreachable = 1 << 6
)

// maxSums is the maximum number of targets in one message, which then takes less than 10 kB. A
// group of 23 nodes with 40 requests in progress per node uses that many targets.
const maxSums = 1000

// pack returns the sums in wire format. If there are too many for one message, those with the
// most requests are included.
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
	const typicalSize = 6 // bytes per target
	out := make([]byte, 0, typicalSize*len(all))
	previous := uint32(0)
	for _, t := range all {
		out = t.append(out, previous)
		previous = t.target
	}
	return out
}

// oneRunning is the most common sum, which is encoded without a byte of its own.
var oneRunning = Sum{Running: 1}

func (t targetSum) append(b []byte, previous uint32) []byte {
	head := uint64(t.target-previous) << 1
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

var errPackedSums = errors.New("heartbeat: packed sums are truncated or out of range")

// unpack decodes packed sums.
func unpack(b []byte) ([]targetSum, error) {
	var out []targetSum
	previous := uint32(0)
	for len(b) > 0 {
		t, rest, ok := unpackOne(b, previous)
		if !ok || len(out) == maxSums {
			return nil, errors.WithHint(errPackedSums, "run the same version on all nodes")
		}
		out, b, previous = append(out, t), rest, t.target
	}
	return out, nil
}

func unpackOne(b []byte, previous uint32) (t targetSum, rest []byte, ok bool) {
	head, size := binary.Uvarint(b)
	if size <= 0 || head>>1 > math.MaxUint32-uint64(previous) {
		return t, nil, false
	}
	t.target, b = previous+uint32(head>>1), b[size:]
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

// maxCount is far more than a group can run at a target; a larger number is invalid.
const maxCount = 1 << 24

func unpackCount(b []byte) (n int, rest []byte, ok bool) {
	v, size := binary.Uvarint(b)
	if size <= 0 || v > maxCount {
		return 0, nil, false
	}
	return int(v), b[size:], true
}
