package load

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/google/uuid"

	"github.com/knapweedgw/knapweedgw/problem"
)

// kind is what a request asks for.
type kind uint8

const (
	kindChat   kind = iota
	kindRead        // call of a plain service that may be repeated
	kindNotice      // call of a plain service that may not be repeated
)

// attempt is one HTTP request of a caller: what it was told, and how often
// the targets ran it.
type attempt struct {
	kind      kind
	toldNoRun bool
	runs      uint8
}

// ledger numbers the attempts and idempotency keys of one run and compares
// what callers were told with what the targets ran. It takes a few bytes an
// attempt.
type ledger struct {
	prefix string // distinguishes this run's IDs from those of others

	mu       sync.Mutex
	attempts []attempt
	keyRuns  []uint8
}

func newLedger() *ledger { return &ledger{prefix: uuid.NewString()} }

// attempt returns the number and request ID of a new attempt.
func (l *ledger) attempt(k kind) (int, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, attempt{kind: k})
	n := len(l.attempts) - 1
	return n, fmt.Sprintf("%s-%d", l.prefix, n)
}

// key returns a new idempotency key.
func (l *ledger) key() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keyRuns = append(l.keyRuns, 0)
	return fmt.Sprintf("%s-%d", l.prefix, len(l.keyRuns)-1)
}

// told records what the caller of an attempt was told.
func (l *ledger) told(n int, ran problem.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[n].toldNoRun = ran == problem.NotRun
}

// number returns the number in an ID of this run.
func (l *ledger) number(id string, limit int) (int, bool) {
	rest, ok := strings.CutPrefix(id, l.prefix+"-")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(rest)
	return n, err == nil && n >= 0 && n < limit
}

// ranRequests adds what one target ran, by request ID.
func (l *ledger) ranRequests(runs map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, count := range runs {
		if n, ok := l.number(id, len(l.attempts)); ok {
			l.attempts[n].runs = addRuns(l.attempts[n].runs, count)
		}
	}
}

// ranKeys adds what one target ran, by idempotency key.
func (l *ledger) ranKeys(runs map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, count := range runs {
		if n, ok := l.number(key, len(l.keyRuns)); ok {
			l.keyRuns[n] = addRuns(l.keyRuns[n], count)
		}
	}
}

func addRuns(runs uint8, count int) uint8 {
	const most = 255
	return uint8(min(most, int(runs)+count))
}

// verdict is what the comparison found.
type verdict struct {
	doubled     int // runs after the first of a request or key
	repeated    int // the same of repeatable requests, where allowed
	falseNotRun int // attempts told "not run" that were run
}

func (l *ledger) verdict(mayRepeat bool) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v verdict
	for _, a := range l.attempts {
		again := max(0, int(a.runs)-1)
		switch {
		case a.kind == kindNotice: // counted by its key
		case mayRepeat:
			v.repeated += again
		default:
			v.doubled += again
		}
		if a.toldNoRun && a.runs > 0 {
			v.falseNotRun++
		}
	}
	for _, runs := range l.keyRuns {
		v.doubled += max(0, int(runs)-1)
	}
	return v
}
