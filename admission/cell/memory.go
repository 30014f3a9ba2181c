package cell

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Recent says where a chat last ran.
type Recent struct {
	Chat   uint64        `json:"h"`
	Target string        `json:"t"`
	Age    time.Duration `json:"a"` // since it was placed there
}

// Memory holds the target on which each chat last ran, up to a number of
// chats; the least recently placed is dropped first. An owner has one of its
// cell, and an entry node may keep one of what it placed, to rebuild that of an
// owner that is lost. It isn't safe for concurrent use.
type Memory struct {
	chats *simplelru.LRU[uint64, visit]
}

type visit struct {
	target string
	at     int64 // Unix time in milliseconds
}

// NewMemory returns a memory of at most size chats.
func NewMemory(size int) *Memory {
	chats, _ := simplelru.NewLRU[uint64, visit](max(size, 1), nil)
	return &Memory{chats: chats}
}

// Put records that a chat was placed.
func (m *Memory) Put(now time.Time, chat uint64, target string) {
	m.chats.Add(chat, visit{target: target, at: now.UnixMilli()})
}

// Get returns the target on which a chat last ran.
func (m *Memory) Get(chat uint64) (string, bool) {
	v, ok := m.chats.Get(chat)
	return v.target, ok
}

// Recent returns the chats placed within maxAge on targets that keep accepts,
// the oldest first.
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

// Merge adds what another memory knows, where it is newer.
func (m *Memory) Merge(now time.Time, list []Recent) {
	for _, r := range list {
		at := now.Add(-r.Age)
		if v, ok := m.chats.Peek(r.Chat); !ok || v.at < at.UnixMilli() {
			m.Put(at, r.Chat, r.Target)
		}
	}
}

func (m *Memory) resize(size int) { m.chats.Resize(max(size, 1)) }
