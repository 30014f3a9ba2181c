package router

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// minDroppedBody is the smallest body that is dropped before the end of its request, in bytes. Smaller ones aren't worth
// the hash that identifies them afterwards.
const minDroppedBody = 64 << 10

var errBodyDropped = errors.New("the body was dropped, since the request could not be sent again")

// sentBody is the body of one attempt. The transport can't repeat it, and it drops its reference once it is closed: the
// response holds its request for as long as it is read.
type sentBody struct {
	mu   sync.Mutex
	rest *bytes.Reader // nil once closed
}

func newSentBody(body []byte) *sentBody { return &sentBody{rest: bytes.NewReader(body)} }

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rest == nil {
		return 0, io.ErrClosedPipe
	}
	return b.rest.Read(p)
}

// Close implements io.Closer.
func (b *sentBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rest = nil
	return nil
}

func (b *sentBody) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest == nil
}

// dropBody drops a large body once a target has begun to answer the request and it may not be sent again. One that the
// transport is still sending is kept.
func (x *exchange) dropBody() {
	again := x.route.Repeatable() && x.executions < max(x.route.MaxAttempts, 1)
	if again || len(x.body) < minDroppedBody || !x.sent.isClosed() {
		return
	}
	x.attempts.Keys() // computed from the body
	x.body, x.bodyDropped = nil, true
	x.intake.DropBody()
}
