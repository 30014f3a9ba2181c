package socket

import (
	"io"
	"time"
)

// MaxResponseHeaderBytes is the size limit of the header of a response, and of the bytes that stand in its place.
// Targets and stores send some hundred bytes; a node may read hundreds of headers at once.
const MaxResponseHeaderBytes = 64 << 10

const (
	// maxDrain is how much of the rest of a response is read so that its connection can be reused, in bytes, and
	// drainTime how long that may take: the rest has mostly arrived with what was read, and a connection is worth a few
	// round trips within a region.
	maxDrain  = 64 << 10
	drainTime = 20 * time.Millisecond
)

// Drain reads the rest of a response's body and closes it, so that its connection can be reused. If the body
// doesn't end soon, the connection is closed. It reports whether the body ended.
func Drain(body io.ReadCloser) (ended bool) {
	_, ended = ReadWithin(body, maxDrain, drainTime)
	_ = body.Close()
	return ended
}

// ReadWithin reads a body, and closes it if that takes longer than the given time. It stops behind limit bytes.
// ended reports whether the body came to its end.
func ReadWithin(body io.ReadCloser, limit int64, d time.Duration) (read []byte, ended bool) {
	timer := time.AfterFunc(d, func() { _ = body.Close() })
	defer timer.Stop()
	read, err := io.ReadAll(io.LimitReader(body, limit+1))
	return read, err == nil && int64(len(read)) <= limit
}
