package routing

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/knapweedgw/knapweedgw/routing"
)

// engine is a small fake: a count of requests in flight and a bounded cache of
// the prefixes of chats, the least recently used evicted first.
type engine struct {
	id       string
	key      uint64 // for routing.Rank
	state    engineState
	since    float64 // time of the state
	inFlight map[*request]struct{}
	cache    *simplelru.LRU[uint64, int] // chat to cached tokens
	cached   int
	size     int // tokens
}

type engineState int

const (
	engineLive    engineState = iota
	engineHidden              // flapping: runs, but is on no list
	engineLeaving             // runs what it has
	engineGone
)

func newEngine(i, size int) *engine {
	e := &engine{id: fmt.Sprintf("engine-%04d", i), inFlight: make(map[*request]struct{}), size: size}
	e.key = routing.Key(routing.Hash(e.id))
	const entries = 1 << 20 // the bound is in tokens
	e.cache, _ = simplelru.NewLRU(entries, func(_ uint64, tokens int) { e.cached -= tokens })
	return e
}

// match returns how many of a chat's prefix tokens are cached.
func (e *engine) match(chat uint64, prefix int) int {
	tokens, _ := e.cache.Get(chat)
	return min(tokens, prefix)
}

// store caches a chat's tokens.
func (e *engine) store(chat uint64, tokens int) {
	e.cache.Remove(chat)
	e.cached += tokens
	e.cache.Add(chat, tokens)
	for e.cached > e.size {
		e.cache.RemoveOldest()
	}
}
