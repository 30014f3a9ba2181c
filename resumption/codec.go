package resumption

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// Entry is a record as nodes send it to each other.
type Entry struct {
	Key    Key
	Origin Origin
}

// Packed entries are grouped by origin: the number of groups, and for each the length of its origin, the
// origin, the number of keys and the keys, 8 bytes each, big-endian. Numbers are varints.
const (
	keyBytes = 8
	// maxOrigin is the longest origin that is accepted, in bytes.
	maxOrigin = 128
)

// maxEntries is the largest accepted number of entries.
const maxEntries = maxRecords

var errPacked = errors.New("resumption: packed records are truncated or out of range")

// pack encodes entries; none are encoded as nil.
func pack(entries []Entry) []byte {
	if len(entries) == 0 {
		return nil
	}
	var origins []Origin
	keys := make(map[Origin][]Key)
	for _, e := range entries {
		if _, ok := keys[e.Origin]; !ok {
			origins = append(origins, e.Origin)
		}
		keys[e.Origin] = append(keys[e.Origin], e.Key)
	}
	out := binary.AppendUvarint(nil, uint64(len(origins)))
	for _, o := range origins {
		out = binary.AppendUvarint(out, uint64(len(o)))
		out = append(out, o...)
		out = binary.AppendUvarint(out, uint64(len(keys[o])))
		for _, k := range keys[o] {
			out = binary.BigEndian.AppendUint64(out, uint64(k))
		}
	}
	return out
}

// unpack decodes entries. It returns an error if b isn't what pack returns for at most maxEntries entries.
func unpack(b []byte) ([]Entry, error) {
	if len(b) == 0 {
		return nil, nil
	}
	groups, b, ok := cutUvarint(b, maxEntries)
	var out []Entry
	for range groups {
		var group []Entry
		if group, b, ok = unpackGroup(b); !ok || len(out)+len(group) > maxEntries {
			return nil, errPacked
		}
		out = append(out, group...)
	}
	if !ok || len(b) > 0 {
		return nil, errPacked
	}
	return out, nil
}

func unpackGroup(b []byte) (out []Entry, rest []byte, ok bool) {
	size, b, ok := cutUvarint(b, maxOrigin)
	if !ok || size == 0 || len(b) < size {
		return nil, nil, false
	}
	o, b := Origin(b[:size]), b[size:]
	n, b, ok := cutUvarint(b, maxEntries)
	if !ok || n == 0 || len(b) < n*keyBytes {
		return nil, nil, false
	}
	out = make([]Entry, n)
	for i := range out {
		out[i] = Entry{Key(binary.BigEndian.Uint64(b[i*keyBytes:])), o}
	}
	return out, b[n*keyBytes:], true
}

// cutUvarint decodes a number up to most.
func cutUvarint(b []byte, most int) (n int, rest []byte, ok bool) {
	v, size := binary.Uvarint(b)
	if size <= 0 || v > uint64(most) {
		return 0, nil, false
	}
	return int(v), b[size:], true
}
