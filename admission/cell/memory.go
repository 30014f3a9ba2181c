package cell

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// RecentChat is the target on which a chat last ran.
type RecentChat struct {
	Chat   uint64        `json:"h"`
	Target string        `json:"t"`
	Age    time.Duration `json:"a"` // since it was placed there
}

// LastTargets maps each chat to the target on which it last ran. It holds a limited number of
// chats and evicts the least recently used first. An owner has one for its cell, and an
// entry node may keep one of the chats that it placed, from which the owner's is rebuilt if
// the owner is lost. It isn't safe for concurrent use.
type LastTargets struct {
	chats *simplelru.LRU[uint64, placement]
}

type placement struct {
	target string
	at     int64 // Unix time in milliseconds
}

// NewLastTargets returns a LastTargets of at most size chats.
func NewLastTargets(size int) *LastTargets {
	chats, _ := simplelru.NewLRU[uint64, placement](max(size, 1), nil)
	return &LastTargets{chats: chats}
}

// Put records the target on which a chat was placed.
func (m *LastTargets) Put(now time.Time, chat uint64, target string) {
	m.chats.Add(chat, placement{target: target, at: now.UnixMilli()})
}

// Get returns the target on which a chat last ran.
func (m *LastTargets) Get(chat uint64) (string, bool) {
	v, ok := m.chats.Get(chat)
	return v.target, ok
}

// Recent returns the chats placed within maxAge on targets for which keep returns true,
// least recently used first.
func (m *LastTargets) Recent(now time.Time, maxAge time.Duration, keep func(target string) bool) []RecentChat {
	var out []RecentChat
	for _, chat := range m.chats.Keys() {
		v, _ := m.chats.Peek(chat)
		age := now.Sub(time.UnixMilli(v.at))
		if age <= maxAge && keep(v.target) {
			out = append(out, RecentChat{Chat: chat, Target: v.target, Age: age})
		}
	}
	return out
}

// Merge adds the entries of another LastTargets that are newer than those already held.
func (m *LastTargets) Merge(now time.Time, list []RecentChat) {
	for _, r := range list {
		at := now.Add(-r.Age)
		if v, ok := m.chats.Peek(r.Chat); !ok || v.at < at.UnixMilli() {
			m.Put(at, r.Chat, r.Target)
		}
	}
}

func (m *LastTargets) resize(size int) { m.chats.Resize(max(size, 1)) }
