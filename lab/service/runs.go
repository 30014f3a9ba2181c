package service

import lru "github.com/hashicorp/golang-lru/v2"

// maxTrackedIDs is the number of request IDs, and of idempotency keys, whose counts are kept.
const maxTrackedIDs = 1 << 19

// Runs counts the calls that took effect, by X-Request-Id and by Idempotency-Key. ByRequest and
// ByKey hold the 524,288 most recently used IDs and keys. Repeats and KeyRepeats count the runs
// after the first of an ID or key, also of those evicted since. Refused counts the calls that were
// refused or dropped before they took effect.
type Runs struct {
	ByRequest  map[string]int `json:"by_request"`
	ByKey      map[string]int `json:"by_key"`
	Total      int            `json:"total"`
	Repeats    int            `json:"doubled"`
	KeyRepeats int            `json:"doubled_keys"`
	Refused    int            `json:"refused"`
}

// counter counts runs by ID for the most recently used IDs.
type counter struct {
	runs    *lru.Cache[string, int]
	repeats int // runs after the first of an ID, evicted IDs included
}

// newCounter returns a counter that keeps the given number of IDs.
func newCounter(capacity int) counter {
	runs, _ := lru.New[string, int](capacity) // fails only if capacity isn't positive
	return counter{runs: runs}
}

// add counts a run of id; an empty id isn't counted.
func (c *counter) add(id string) {
	if id == "" {
		return
	}
	n, ok := c.runs.Get(id)
	if ok {
		c.repeats++
	}
	c.runs.Add(id, n+1)
}

func (c *counter) counts() map[string]int {
	m := make(map[string]int, c.runs.Len())
	for _, id := range c.runs.Keys() {
		m[id], _ = c.runs.Peek(id)
	}
	return m
}
