package engine

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// bytesPerToken is the number of bytes of message content that the stand-in counts as one prompt
// token.
const bytesPerToken = 4

// prefixCache caches chat prefixes, one entry per message, up to a number of tokens. It evicts
// the least recently used entry.
type prefixCache struct {
	capacity int                     // tokens
	used     int                     // tokens of all entries
	entries  *lru.Cache[uint64, int] // prefix hash to the tokens that its last message adds
}

func newPrefixCache(capacity int) *prefixCache {
	c := &prefixCache{capacity: capacity}
	c.entries, _ = lru.NewWithEvict(1<<20, func(_ uint64, tokens int) { c.used -= tokens })
	return c
}

// prefixes returns, for each message, the hash of the chat up to and including it and the number
// of tokens that it adds.
func prefixes(messages []Message) ([]uint64, []int) {
	hashes := make([]uint64, len(messages))
	tokens := make([]int, len(messages))
	d := xxhash.New()
	for i, m := range messages {
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x00")
		hashes[i] = d.Sum64()
		tokens[i] = len(m.Content)/bytesPerToken + 1
	}
	return hashes, tokens
}

// match returns the number of prompt tokens in the longest cached prefix and in the whole prompt.
func (c *prefixCache) match(hashes []uint64, tokens []int) (cached, total int) {
	hit := true
	for i, h := range hashes {
		total += tokens[i]
		_, ok := c.entries.Get(h)
		hit = hit && ok
		if hit {
			cached += tokens[i]
		}
	}
	return cached, total
}

// insert adds all prefixes of a chat and evicts entries until the cache is within its capacity.
func (c *prefixCache) insert(hashes []uint64, tokens []int) {
	for i, h := range hashes {
		if c.entries.Contains(h) {
			continue
		}
		c.used += tokens[i]
		c.entries.Add(h, tokens[i])
	}
	for c.used > c.capacity && c.entries.Len() > 0 {
		c.entries.RemoveOldest()
	}
}
