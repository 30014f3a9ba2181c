package memory_test

import (
	"sync"
	"testing"
	"time"

	"github.com/knapweedgw/knapweedgw/store/memory"
	"github.com/knapweedgw/knapweedgw/store/storetest"
)

// clock is a manually advanced clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func TestContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Fixture {
		c := newClock()
		s := memory.New(c.Now)
		advance := func(d time.Duration) { c.Advance(d); s.Expire() }
		return storetest.Fixture{Store: s, Advance: advance, Compact: s.Compact}
	})
}
