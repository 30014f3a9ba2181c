package replica

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/flate"
)

const (
	// minPackSize is the size of the shortest value that is packed, in bytes. A configuration
	// of 1,600 routes has half a megabyte and packs to a tenth; each step of a call between
	// nodes holds one more copy of it, in base64.
	minPackSize = 4 << 10
	// maxUnpackedSize bounds an unpacked value, in bytes; values in the store have 1 MB at
	// most.
	maxUnpackedSize = 8 << 20
)

// errUnpack is returned for a packed value that is malformed or too large when unpacked.
var errUnpack = errors.New("replica: packed value can't be unpacked; run the same release on all nodes")

// pack returns the entry with its value compressed, if the value has at least minPackSize bytes
// and compression makes it smaller.
func (e Entry) pack() Entry {
	if e.Packed || len(e.Value) < minPackSize {
		return e
	}
	var buf bytes.Buffer
	// Writes to a buffer don't fail.
	_ = flate.StatelessDeflate(&buf, e.Value, true, nil)
	if buf.Len() >= len(e.Value) {
		return e
	}
	e.Value, e.Packed = bytes.Clone(buf.Bytes()), true
	return e
}

// unpacked returns the value as it is in the store.
func (e Entry) unpacked() ([]byte, error) {
	if !e.Packed {
		return e.Value, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(e.Value)), maxUnpackedSize+1))
	if err != nil {
		return nil, errors.Wrap(errUnpack, err.Error())
	}
	if len(value) > maxUnpackedSize {
		return nil, errors.Wrapf(errUnpack, "over %d bytes", maxUnpackedSize)
	}
	return value, nil
}
