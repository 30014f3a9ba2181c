package intake

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// firstBuffer is the size of the first buffer for a body, in bytes. Larger ones are made as it arrives, whatever length
// was announced.
const firstBuffer = 4 << 10

// buffer holds what was read of a body. Its capacity is granted to its request.
type buffer struct {
	request *Request
	bytes   []byte
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

// grow doubles the capacity. It reports whether there is room.
func (b *buffer) grow() bool {
	size := b.nextSize()
	if !b.request.Acquire(int64(size)) {
		return false
	}
	larger := make([]byte, len(b.bytes), size)
	copy(larger, b.bytes)
	b.request.release(int64(cap(b.bytes)))
	b.bytes = larger
	return true
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
	limits    BodyLimits
	authorize func() (workspace string, err error)
	// authorized means that authorize has returned the workspace; progressAt is the length at the last progress.
	authorized bool
	progressAt int
}

func newBodyReader(q *Request, l BodyLimits, authorize func() (string, error)) *bodyReader {
	longest := l.Bytes
	if q.r.ContentLength > 0 {
		longest = q.r.ContentLength
	}
	b := &bodyReader{buffer: buffer{request: q}, limits: l, authorize: authorize}
	if longest > 0 {
		b.most = int(longest) + 1 // a longer body shows by the last byte
	}
	return b
}

func (b *bodyReader) readAll() ([]byte, error) {
	q := b.request
	for {
		if b.isFull() {
			if err := b.makeRoom(); err != nil {
				return nil, err
			}
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

func (b *bodyReader) makeRoom() error {
	if !b.authorized && b.nextSize() > freeBytes {
		workspace, err := b.authorize()
		if err != nil {
			return err
		}
		b.authorized = true
		b.request.Join(workspace)
	}
	if !b.grow() {
		return ErrNoRoom
	}
	return nil
}

// ReadAnswer reads an answer that is kept until it is delivered. It stops after most bytes, or if there is no room for
// more, and reports whether it has read the whole answer.
func (q *Request) ReadAnswer(r io.Reader, most int) (body []byte, whole bool, err error) {
	b := buffer{request: q, most: most + 1}
	for {
		if len(b.bytes) > most || b.isFull() && !b.grow() {
			return b.bytes, false, nil
		}
		err := b.read(r)
		if errors.Is(err, io.EOF) {
			return b.bytes, true, nil
		}
		if err != nil {
			return b.bytes, false, err
		}
	}
}
