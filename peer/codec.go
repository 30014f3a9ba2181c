package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/flate"
)

const (
	// historyBytes is how much of what a connection carried last serves as
	// the dictionary of its next message.
	historyBytes = 2 << 10
	// compressFrom is the shortest message that is compressed.
	compressFrom = 32
)

// The lowest bit of a message's length says how it is encoded.
const (
	plain    = 0
	deflated = 1
)

var errGarbled = errors.New("peer: garbled message; run the same protocol on both nodes")

// codec frames each message by its length, a varint, and compresses it by
// DEFLATE (RFC 1951) with the connection's last messages as dictionary. It
// keeps no compressor between messages, only their last bytes. Each direction
// of a connection has one order of messages, so both ends keep the same
// history. It implements jsonrpc2.ObjectCodec for one connection.
type codec struct {
	out, in history
}

func newCodec() *codec { return &codec{} }

// inflaters and buffers serve all connections: they hold nothing between two
// messages, and one apiece would be 35 kB a connection.
var (
	inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
	buffers   = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// history is the last bytes of the messages of one direction.
type history struct{ bytes []byte }

func (h *history) add(message []byte) {
	h.bytes = append(h.bytes, message[max(0, len(message)-historyBytes):]...)
	if extra := len(h.bytes) - historyBytes; extra > 0 {
		h.bytes = append(h.bytes[:0], h.bytes[extra:]...)
	}
}

// WriteObject implements jsonrpc2.ObjectCodec. An error ends the connection.
func (c *codec) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return errTooLarge
	}
	buf := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buf)
	payload, encoding, err := c.compress(buf, data)
	if err != nil {
		return err
	}
	var head [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(head[:], uint64(len(payload))<<1|encoding)
	if _, err := w.Write(head[:n]); err != nil {
		return err
	}
	_, err = w.Write(payload)
	return err
}

// compress returns the shorter form of a message, which may lie in buf, and adds
// the message to the history.
func (c *codec) compress(buf *bytes.Buffer, data []byte) (payload []byte, encoding uint64, err error) {
	defer c.out.add(data)
	if len(data) < compressFrom {
		return data, plain, nil
	}
	buf.Reset()
	if err := flate.StatelessDeflate(buf, data, true, c.out.bytes); err != nil {
		return nil, plain, err
	}
	if buf.Len() >= len(data) {
		return data, plain, nil
	}
	return buf.Bytes(), deflated, nil
}

// ReadObject implements jsonrpc2.ObjectCodec. An error ends the connection.
func (c *codec) ReadObject(r *bufio.Reader, v any) error {
	head, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	n := head >> 1
	if n > maxMessageBytes {
		return errTooLarge
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return err
	}
	data := payload
	if head&1 == deflated {
		if data, err = c.inflate(payload); err != nil {
			return err
		}
	}
	c.in.add(data)
	return json.Unmarshal(data, v)
}

// inflate undoes compress; what it returns is bounded by maxMessageBytes.
func (c *codec) inflate(payload []byte) ([]byte, error) {
	inflater := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(inflater)
	if err := inflater.(flate.Resetter).Reset(bytes.NewReader(payload), c.in.bytes); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(inflater, maxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrapf(errGarbled, "%v", err)
	}
	if len(data) > maxMessageBytes {
		return nil, errTooLarge
	}
	return data, nil
}

// WireBytes returns how many bytes each message takes on a connection that
// carries them in this order, framing included, without TCP and IP headers.
func WireBytes(messages ...any) ([]int, error) {
	c := newCodec()
	var wire bytes.Buffer
	sizes := make([]int, len(messages))
	for i, m := range messages {
		wire.Reset()
		if err := c.WriteObject(&wire, m); err != nil {
			return nil, err
		}
		sizes[i] = wire.Len()
	}
	return sizes, nil
}
