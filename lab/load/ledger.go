package load

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/google/uuid"

	"github.com/knapweedgw/knapweedgw/problem"
)

// kind is the kind of a request.
type kind uint8

const (
	kindChat   kind = iota // chat turn
	kindRead               // repeatable call of a plain service
	kindNotice             // call of a plain service that must not run twice
)

// attempt is one HTTP request of a caller, with what was reported to the caller and how often
// the targets ran it.
type attempt struct {
	kind           kind
	reportedNotRun bool
	runs           uint8
}

// ledger numbers the attempts and idempotency keys of one run, and compares what was reported to
// callers with what the targets ran. It needs a few bytes per attempt.
type ledger struct {
	prefix string // distinguishes the IDs of this run from those of other runs

	mu       sync.Mutex
	attempts []attempt
	keyRuns  []uint8 // runs per idempotency key
}

func newLedger() *ledger { return &ledger{prefix: uuid.NewString()} }

// newAttempt adds an attempt and returns its number and request ID.
func (l *ledger) newAttempt(k kind) (int, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, attempt{kind: k})
	n := len(l.attempts) - 1
	return n, fmt.Sprintf("%s-%d", l.prefix, n)
}

// newKey adds an idempotency key and returns it.
func (l *ledger) newKey() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keyRuns = append(l.keyRuns, 0)
	return fmt.Sprintf("%s-%d", l.prefix, len(l.keyRuns)-1)
}

// recordExecution records what was reported to the caller of attempt n.
func (l *ledger) recordExecution(n int, ran problem.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[n].reportedNotRun = ran == problem.NotRun
}

// number returns the number in an ID; it is false unless the ID is one of this run below limit.
func (l *ledger) number(id string, limit int) (int, bool) {
	rest, ok := strings.CutPrefix(id, l.prefix+"-")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(rest)
	return n, err == nil && n >= 0 && n < limit
}

// addRequestRuns adds the runs of one target by request ID.
func (l *ledger) addRequestRuns(runs map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, count := range runs {
		if n, ok := l.number(id, len(l.attempts)); ok {
			l.attempts[n].runs = addRuns(l.attempts[n].runs, count)
		}
	}
}

// addKeyRuns adds the runs of one target by idempotency key.
func (l *ledger) addKeyRuns(runs map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, count := range runs {
		if n, ok := l.number(key, len(l.keyRuns)); ok {
			l.keyRuns[n] = addRuns(l.keyRuns[n], count)
		}
	}
}

// addRuns adds count to runs and saturates at 255.
func addRuns(runs uint8, count int) uint8 {
	const maxRuns = 255
	return uint8(min(maxRuns, int(runs)+count))
}

// runCounts holds the result of the comparison.
type runCounts struct {
	doubled     int // disallowed runs after the first, by request ID or by idempotency key
	repeated    int // runs of repeatable requests after the first, if they are allowed
	falseNotRun int // attempts reported as not run that were run
}

// countRuns compares the reports with the runs. With mayRepeat, repeatable requests may run more
// than once.
func (l *ledger) countRuns(mayRepeat bool) runCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c runCounts
	for _, a := range l.attempts {
		again := max(0, int(a.runs)-1)
		switch {
		case a.kind == kindNotice: // counted by its idempotency key
		case mayRepeat:
			c.repeated += again
		default:
			c.doubled += again
		}
		if a.reportedNotRun && a.runs > 0 {
			c.falseNotRun++
		}
	}
	for _, runs := range l.keyRuns {
		c.doubled += max(0, int(runs)-1)
	}
	return c
}
