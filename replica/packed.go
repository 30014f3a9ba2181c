package replica

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/flate"
)

const (
	// packFrom is the shortest value that is packed, in bytes. A configuration
	// of 1,600 routes has half a megabyte and packs to a tenth; each step of a
	// call between nodes holds it once more, in base64.
	packFrom = 4 << 10
	// maxValue bounds an unpacked value, in bytes; the store's have 1 MB at most.
	maxValue = 8 << 20
)

// errUnpack is for a packed value that is no packed value, or too large.
var errUnpack = errors.New("replica: packed value can't be unpacked; run the same release on all nodes")

// pack returns the entry with its value packed, if that makes it smaller.
func (e Entry) pack() Entry {
	if e.Packed || len(e.Value) < packFrom {
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

// unpacked returns the value as the store has it.
func (e Entry) unpacked() ([]byte, error) {
	if !e.Packed {
		return e.Value, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(e.Value)), maxValue+1))
	if err != nil {
		return nil, errors.Wrap(errUnpack, err.Error())
	}
	if len(value) > maxValue {
		return nil, errors.Wrapf(errUnpack, "over %d bytes", maxValue)
	}
	return value, nil
}
