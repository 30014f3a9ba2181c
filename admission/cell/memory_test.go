package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func anyTarget(string) bool { return true }

func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := NewLastTargets(8)
		for chat := range rapid.Uint64Range(0, 100).Draw(rt, "chats") {
			m.Put(epoch, chat, "a")
		}
		is.New(rt).True(len(m.Recent(epoch, time.Hour, anyTarget)) <= 8)
	})
}

// In any order of merges, the newest entry of a chat is kept.
func TestMergeKeepsNewest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ages := rapid.SliceOfNDistinct(rapid.IntRange(1, 1000), 1, 6, rapid.ID).Draw(rt, "ages")
		m := NewLastTargets(8)
		newest, want := 1001, ""
		for i, age := range ages {
			target := string(rune('a' + i))
			m.Merge(epoch, []RecentChat{{Chat: 1, Target: target, Age: time.Duration(age) * time.Second}})
			if age < newest {
				newest, want = age, target
			}
		}
		got, _ := m.Get(1)
		is.New(rt).Equal(got, want)
	})
}

func TestRecent(t *testing.T) {
	is := is.New(t)
	m := NewLastTargets(8)
	m.Put(epoch, 1, "a")
	m.Put(epoch.Add(time.Minute), 2, "b")
	m.Put(epoch.Add(time.Minute), 3, "c")
	got := m.Recent(epoch.Add(2*time.Minute), 90*time.Second, func(target string) bool { return target != "c" })
	is.Equal(got, []RecentChat{{Chat: 2, Target: "b", Age: time.Minute}})
}

// A Resync adds a chat's target to LastTargets only if the chat has no entry yet.
func TestResyncRebuildsMemory(t *testing.T) {
	is := is.New(t)
	c := New(Config{LoadFactor: 1.25, MaxInFlight: 8})
	c.Resync(Holder{Node: "n"}, []Place{{Request: "r", Target: "a", Chat: 1}})
	got, _ := c.lastTargets.Get(1)
	is.Equal(got, "a")
	c.lastTargets.Merge(epoch, []RecentChat{{Chat: 1, Target: "b"}})
	got, _ = c.lastTargets.Get(1)
	is.Equal(got, "b")
	c.Resync(Holder{Node: "n"}, []Place{{Request: "r", Target: "a", Chat: 1}})
	got, _ = c.lastTargets.Get(1)
	is.Equal(got, "b")
}
