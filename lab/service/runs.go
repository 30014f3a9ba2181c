package service

import lru "github.com/hashicorp/golang-lru/v2"

// keptRuns bounds the counts by request ID, and those by key.
const keptRuns = 1 << 19

// Runs counts calls run, by X-Request-Id and by Idempotency-Key. The latest
// 524,288 of each are kept; Doubled and DoubledKeys count those run again,
// also the ones forgotten since.
type Runs struct {
	ByRequest   map[string]int `json:"by_request"`
	ByKey       map[string]int `json:"by_key"`
	Total       int            `json:"total"`
	Doubled     int            `json:"doubled"`
	DoubledKeys int            `json:"doubled_keys"`
	Refused     int            `json:"refused"`
}

// counter counts runs of the latest IDs.
type counter struct {
	runs    *lru.Cache[string, int]
	doubled int // runs after an ID's first
}

func newCounter(keep int) counter {
	runs, _ := lru.New[string, int](keep) // fails only if keep isn't positive
	return counter{runs: runs}
}

func (c *counter) add(id string) {
	if id == "" {
		return
	}
	n, ok := c.runs.Get(id)
	if ok {
		c.doubled++
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
