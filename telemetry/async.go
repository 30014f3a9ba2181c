package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Limits of the buffered lines.
const (
	// maxPending bounds the buffered bytes: about 2,000 lines, more than a node logs in ten
	// seconds at its highest load.
	maxPending = 512 << 10
	// flushInterval is the delay that collects lines into one write, since each write wakes up
	// the process.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter buffers writes and passes them to its output in another goroutine, so that an
// output that blocks never blocks the goroutine that logs. Lines beyond maxPending are dropped
// and counted.
type AsyncWriter struct {
	out     io.Writer
	dropped prometheus.Counter

	mu      sync.Mutex
	pending []byte
	spare   []byte
	notify  chan struct{}
	flushMu sync.Mutex
}

// NewAsyncWriter returns a writer that writes to out. It starts a goroutine that runs until the
// process ends.
func NewAsyncWriter(out io.Writer, reg prometheus.Registerer) *AsyncWriter {
	w := &AsyncWriter{
		out: out, notify: make(chan struct{}, 1),
		dropped: NewMetricFactory(reg, "log").Counter("dropped_lines_total",
			"Log lines dropped since the output did not keep up."),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never waits for the output and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.dropped.Inc()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.notify <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *AsyncWriter) run() {
	for range w.notify {
		time.Sleep(flushInterval)
		w.Flush()
	}
}

// Flush writes the buffered lines. It blocks as long as the output does.
func (w *AsyncWriter) Flush() {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report a failed write of the log itself.
		_, _ = w.out.Write(lines)
	}
	w.spare = lines
}
