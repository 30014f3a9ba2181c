package telemetry

import (
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// blockingWriter is an output that blocks until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	got  strings.Builder
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	is := is.New(t)
	out := &blockingWriter{open: make(chan struct{})}
	w := NewAsyncWriter(out, prometheus.NewRegistry())
	line := strings.Repeat("x", 1<<10)
	for range 4 * maxPending >> 10 {
		n, err := w.Write([]byte(line)) // if Write blocked, the test would time out
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(testutil.ToFloat64(w.dropped) > 0)
	close(out.open)
	w.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(out.got.Len() > 0)
}
