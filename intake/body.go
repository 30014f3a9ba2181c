package intake

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// firstBuffer is the size of the first buffer for a body, in bytes. Larger ones are made as it arrives, whatever length
// was announced.
const firstBuffer = 4 << 10

// buffer holds what was read of a body.
type buffer struct {
	bytes []byte
	// most is the largest capacity, 0 for no limit.
	most int
}

func (b *buffer) isFull() bool { return len(b.bytes) == cap(b.bytes) }

// nextSize returns the capacity after the next growth.
func (b *buffer) nextSize() int {
	size := max(2*cap(b.bytes), firstBuffer)
	if b.most > 0 {
		size = min(size, b.most)
	}
	return size
}

// grow doubles the capacity.
func (b *buffer) grow() {
	larger := make([]byte, len(b.bytes), b.nextSize())
	copy(larger, b.bytes)
	b.bytes = larger
}

// read reads once from r. The buffer must not be full.
func (b *buffer) read(r io.Reader) error {
	n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	return err
}

// BodyLimits bound the body of a request.
type BodyLimits struct {
	// Bytes is the largest body, 0 for no limit.
	Bytes int64
	// Pause is how long nothing may arrive, 0 for no limit.
	Pause time.Duration
	// Total is how long the whole body may take, 0 for no limit.
	Total time.Duration
}

// bodyReader reads the body of a request.
type bodyReader struct {
	buffer
	request *Request
	limits  BodyLimits
	// progressAt is the length at the last progress.
	progressAt int
}

func newBodyReader(q *Request, l BodyLimits) *bodyReader {
	longest := l.Bytes
	if q.r.ContentLength > 0 {
		longest = q.r.ContentLength
	}
	b := &bodyReader{request: q, limits: l}
	if longest > 0 {
		b.most = int(longest) + 1 // a longer body shows by the last byte
	}
	return b
}

func (b *bodyReader) readAll() ([]byte, error) {
	q := b.request
	for {
		if b.isFull() {
			b.grow()
		}
		if b.limits.Pause > 0 {
			_ = q.rc.SetReadDeadline(time.Now().Add(b.limits.Pause)) // fails only without a connection
		}
		err := b.read(q.r.Body)
		switch {
		case b.limits.Bytes > 0 && int64(len(b.bytes)) > b.limits.Bytes:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return b.bytes, nil
		case err != nil:
			return nil, err
		}
		if len(b.bytes)-b.progressAt >= progressBytes {
			b.progressAt = len(b.bytes)
			q.progress()
		}
	}
}
