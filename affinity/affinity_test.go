package affinity

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start  = time.Unix(1000, 0)
	prompt = []Part{{Hash: 1, Tokens: 500}, {Hash: 2, Tokens: 10_000}}
)

func TestKeptCountsLeadingParts(t *testing.T) {
	is, table := is.New(t), NewTable(DefaultConfig())
	table.RecordSent(1, 7, start)
	table.RecordSent(2, 7, start)
	table.RecordSent(1, 8, start)
	is.Equal(table.Cached(prompt, start), map[uint32]Holding{7: {Tokens: 10_500}, 8: {Tokens: 500}})
	is.Equal(table.Cached(nil, start), map[uint32]Holding{})
	later := start.Add(DefaultConfig().PrefillTime)
	is.Equal(table.Cached(prompt, later)[7], Holding{Tokens: 10_500, Prefilled: true})
}

// A first part that all prompts share has more holders than are recorded. The holders of the
// later parts are still found.
func TestCommonPartHidesNoOther(t *testing.T) {
	is, cfg := is.New(t), DefaultConfig()
	table := NewTable(cfg)
	table.RecordSent(1, 7, start)
	table.RecordSent(2, 7, start)
	for i := range uint32(2 * cfg.MaxHolders) {
		table.RecordSent(1, 100+i, start.Add(time.Second))
	}
	is.Equal(table.Cached(prompt, start.Add(time.Second))[7].Tokens, 10_500)
}

func TestUnusedPartsExpire(t *testing.T) {
	is, cfg := is.New(t), DefaultConfig()
	table := NewTable(cfg)
	table.RecordSent(1, 7, start)
	is.Equal(len(table.Cached(prompt, start.Add(cfg.TTL-1))), 1)
	is.Equal(len(table.Cached(prompt, start.Add(cfg.TTL))), 0)
	table.Expire(start.Add(cfg.TTL))
	is.Equal(len(table.parts), 0)
}

// A use is reported to the other nodes once, and again only after the refresh interval.
func TestUsesAreReportedAtIntervals(t *testing.T) {
	is, cfg := is.New(t), DefaultConfig()
	table := NewTable(cfg)
	is.True(table.RecordSent(1, 7, start))
	is.True(!table.RecordSent(1, 7, start.Add(time.Second)))
	is.True(table.RecordSent(1, 8, start))
	is.True(table.RecordSent(1, 7, start.Add(cfg.Refresh)))
	table.RecordRemote(Use{Part: 2, Target: 7}, start)
	is.True(!table.RecordSent(2, 7, start.Add(time.Second)))
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{TTL: time.Minute, PrefillTime: time.Second, InUse: time.Second, MaxHolders: 2, MaxParts: 3, Refresh: time.Second})
	for i := range uint32(5) {
		table.RecordRemote(Use{Part: 1, Target: i}, start.Add(time.Duration(i)))
	}
	kept := table.Cached(prompt[:1], start)
	is.Equal(len(kept), 2)
	is.True(kept[3].Tokens == 500 && kept[4].Tokens == 500)
	for i := range uint32(50) {
		table.RecordRemote(Use{Part: i, Target: 1}, start)
	}
	is.True(len(table.parts) <= 3)
}

func TestRecentUsesRestoreATable(t *testing.T) {
	is, cfg := is.New(t), DefaultConfig()
	table := NewTable(cfg)
	table.RecordSent(9, 7, start)
	later := start.Add(cfg.InUse)
	table.RecordSent(1, 7, later)
	table.RecordSent(2, 7, later)
	uses := table.Recent(later, 10)
	is.Equal(len(uses), 2) // uses older than InUse are left out
	is.Equal(len(table.Recent(later, 1)), 1)
	restored := NewTable(cfg)
	for _, u := range uses {
		restored.RecordRemote(u, later)
	}
	is.Equal(restored.Cached(prompt, later), table.Cached(prompt, later))
}
