package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Bounds of the lines that wait to be written.
const (
	// maxWaiting is the most bytes that wait: about 2,000 lines, more than a
	// node writes in ten seconds of its heaviest load.
	maxWaiting = 512 << 10
	// flushInterval gathers lines into one write; each write is a wake-up.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter hands writes to another goroutine, so that a writer that blocks
// never holds up the one who logs. Lines beyond maxWaiting are dropped and
// counted.
type AsyncWriter struct {
	out     io.Writer
	dropped prometheus.Counter

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	wake    chan struct{}
	writing sync.Mutex
}

// NewAsyncWriter returns a writer in front of out.
func NewAsyncWriter(out io.Writer, reg prometheus.Registerer) *AsyncWriter {
	w := &AsyncWriter{
		out: out, wake: make(chan struct{}, 1),
		dropped: NewMeters(reg, "log").Counter("dropped_lines_total",
			"Log lines dropped since the output did not keep up."),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > maxWaiting {
		w.dropped.Inc()
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *AsyncWriter) run() {
	for range w.wake {
		time.Sleep(flushInterval)
		w.Flush()
	}
}

// Flush writes what waits. It blocks as long as the output does.
func (w *AsyncWriter) Flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	lines := w.waiting
	w.waiting = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report a failed write of the log itself.
		_, _ = w.out.Write(lines)
	}
	w.spare = lines
}
