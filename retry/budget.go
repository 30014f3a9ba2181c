package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// BudgetConfig sets how many retries a node may add to its requests.
type BudgetConfig struct {
	// Share is the number of retries credited for each request. As every node has the same
	// share, retries increase the whole fleet's load by at most that share, whatever the
	// number of nodes.
	Share float64
	// Floor is the number of retries credited a second without any request, for nodes that are
	// nearly idle.
	Floor float64
	// Burst is the maximum number of retries that can accumulate.
	Burst float64
}

// Budget is a token bucket of retries. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst, last: now}
}

// Request credits the share of one request. It must be called once for a request and not for
// its retries.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(now, b.cfg.Share)
}

// Take uses one retry. It returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(now, 0)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) credit(now time.Time, tokens float64) {
	idle := now.Sub(b.last).Seconds()
	if idle > 0 {
		tokens += idle * b.cfg.Floor
		b.last = now
	}
	b.tokens = min(b.tokens+tokens, b.cfg.Burst)
}

// Backoff sets the pause before a retry.
type Backoff struct {
	Base time.Duration // upper limit of the first pause
	Max  time.Duration // upper limit of every pause
}

// Pause returns a random time between 0 and Base, where Base is doubled for each attempt after
// the first, up to Max (full jitter). attempt is 1 for the first failure.
func (b Backoff) Pause(attempt int, rng *rand.Rand) time.Duration {
	upper := b.Base
	for range attempt - 1 {
		if upper >= b.Max/2 {
			upper = b.Max
			break
		}
		upper *= 2
	}
	upper = min(upper, b.Max)
	if upper <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(upper) + 1))
}
