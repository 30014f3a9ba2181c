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
	// maxHistoryBytes is how many of the last bytes sent in one direction of a
	// connection serve as the compression dictionary of the next message.
	maxHistoryBytes = 2 << 10
	// minCompressBytes is the size of the shortest message that is compressed.
	minCompressBytes = 32
)

// The lowest bit of the length prefix of a message is its encoding.
const (
	plain    = 0
	deflated = 1
)

var errNotDeflate = errors.New("peer: message is not valid DEFLATE data; run the same protocol on both nodes")

// codec implements jsonrpc2.ObjectCodec for one connection. It prefixes each message
// with its length, a varint, and compresses it with DEFLATE (RFC 1951), using the
// last messages in the same direction as the dictionary. It keeps no compressor
// between messages, only the last bytes of the messages. Messages of one direction
// arrive in the order in which they were sent, so both ends keep the same history.
type codec struct {
	out, in history
}

func newCodec() *codec { return &codec{} }

// inflaters and buffers are shared by all connections: they keep no state between
// two messages, and one of each per connection would take 35 kB.
var (
	inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
	buffers   = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// history holds the last bytes of the messages of one direction.
type history struct{ bytes []byte }

func (h *history) add(message []byte) {
	h.bytes = append(h.bytes, message[max(0, len(message)-maxHistoryBytes):]...)
	if extra := len(h.bytes) - maxHistoryBytes; extra > 0 {
		h.bytes = append(h.bytes[:0], h.bytes[extra:]...)
	}
}

// WriteObject implements jsonrpc2.ObjectCodec. After an error other than errTooLarge,
// part of the message may have been written and outbound.write closes the connection.
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
	var prefix [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(prefix[:], uint64(len(payload))<<1|encoding)
	if _, err := w.Write(prefix[:n]); err != nil {
		return err
	}
	_, err = w.Write(payload)
	return err
}

// compress returns the shorter of the plain and the compressed message, and adds the
// message to the history. The compressed payload uses the memory of buf.
func (c *codec) compress(buf *bytes.Buffer, data []byte) (payload []byte, encoding uint64, err error) {
	defer c.out.add(data)
	if len(data) < minCompressBytes {
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

// ReadObject implements jsonrpc2.ObjectCodec. The connection is closed after an error.
func (c *codec) ReadObject(r *bufio.Reader, v any) error {
	prefix, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	n := prefix >> 1
	if n > maxMessageBytes {
		return errTooLarge
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return err
	}
	data := payload
	if prefix&1 == deflated {
		if data, err = c.inflate(payload); err != nil {
			return err
		}
	}
	c.in.add(data)
	return json.Unmarshal(data, v)
}

// inflate decompresses a payload. It returns errTooLarge for a message of more than
// maxMessageBytes.
func (c *codec) inflate(payload []byte) ([]byte, error) {
	inflater := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(inflater)
	if err := inflater.(flate.Resetter).Reset(bytes.NewReader(payload), c.in.bytes); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(inflater, maxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrapf(errNotDeflate, "%v", err)
	}
	if len(data) > maxMessageBytes {
		return nil, errTooLarge
	}
	return data, nil
}

// WireBytes returns the size in bytes of each message on a connection that carries
// them in this order, including the length prefix but not TCP and IP headers.
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
