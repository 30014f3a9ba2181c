package cell

import "github.com/hashicorp/golang-lru/v2/simplelru"

// memory holds the target on which each chat last ran, up to a number of
// chats; the least recently placed is dropped first.
type memory struct {
	last *simplelru.LRU[uint64, string]
}

func newMemory(size int) *memory {
	last, _ := simplelru.NewLRU[uint64, string](max(size, 1), nil)
	return &memory{last: last}
}

func (m *memory) put(chat uint64, target string) { m.last.Add(chat, target) }

func (m *memory) get(chat uint64) (string, bool) { return m.last.Get(chat) }

func (m *memory) resize(size int) { m.last.Resize(max(size, 1)) }
