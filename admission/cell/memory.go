package cell

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Recent is the target on which a chat last ran.
type Recent struct {
	Chat   uint64        `json:"h"`
	Target string        `json:"t"`
	Age    time.Duration `json:"a"` // since it was placed there
}

// Memory maps each chat to the target on which it last ran. It holds a limited number of
// chats and evicts the least recently used first. An owner has one for its cell, and an
// entry node may keep one of the chats that it placed, from which the owner's is rebuilt if
// the owner is lost. It isn't safe for concurrent use.
type Memory struct {
	chats *simplelru.LRU[uint64, placement]
}

type placement struct {
	target string
	at     int64 // Unix time in milliseconds
}

// NewMemory returns a Memory of at most size chats.
func NewMemory(size int) *Memory {
	chats, _ := simplelru.NewLRU[uint64, placement](max(size, 1), nil)
	return &Memory{chats: chats}
}

// Put records the target on which a chat was placed.
func (m *Memory) Put(now time.Time, chat uint64, target string) {
	m.chats.Add(chat, placement{target: target, at: now.UnixMilli()})
}

// Get returns the target on which a chat last ran.
func (m *Memory) Get(chat uint64) (string, bool) {
	v, ok := m.chats.Get(chat)
	return v.target, ok
}

// Recent returns the chats placed within maxAge on targets for which keep returns true,
// least recently used first.
func (m *Memory) Recent(now time.Time, maxAge time.Duration, keep func(target string) bool) []Recent {
	var out []Recent
	for _, chat := range m.chats.Keys() {
		v, _ := m.chats.Peek(chat)
		age := now.Sub(time.UnixMilli(v.at))
		if age <= maxAge && keep(v.target) {
			out = append(out, Recent{Chat: chat, Target: v.target, Age: age})
		}
	}
	return out
}

// Merge adds the entries of another Memory that are newer than those already held.
func (m *Memory) Merge(now time.Time, list []Recent) {
	for _, r := range list {
		at := now.Add(-r.Age)
		if v, ok := m.chats.Peek(r.Chat); !ok || v.at < at.UnixMilli() {
			m.Put(at, r.Chat, r.Target)
		}
	}
}

func (m *Memory) resize(size int) { m.chats.Resize(max(size, 1)) }
