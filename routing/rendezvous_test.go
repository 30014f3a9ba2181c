package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestTopMatchesSort(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 40, rapid.ID).Draw(rt, "targets")
		chat := rapid.Uint64().Draw(rt, "chat")
		n := rapid.IntRange(1, 50).Draw(rt, "n")
		want := make([]int, len(targets))
		for i := range want {
			want[i] = i
		}
		slices.SortStableFunc(want, func(a, b int) int {
			sa, sb := Score(chat, targets[a]), Score(chat, targets[b])
			switch {
			case sa > sb:
				return -1
			case sa < sb:
				return 1
			}
			return 0
		})
		got := Top(nil, chat, targets, n)
		is.New(rt).Equal(got, want[:min(n, len(want))])
	})
}

func TestRemovalMovesOnlyItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := rapid.SliceOfNDistinct(rapid.Uint64(), 2, 40, rapid.ID).Draw(rt, "targets")
		chat := rapid.Uint64().Draw(rt, "chat")
		gone := rapid.IntRange(0, len(targets)-1).Draw(rt, "gone")
		before := targets[Top(nil, chat, targets, 1)[0]]
		left := slices.Delete(slices.Clone(targets), gone, gone+1)
		after := left[Top(nil, chat, left, 1)[0]]
		if before != targets[gone] {
			is.New(rt).Equal(before, after)
		}
	})
}

func TestBestIsFirstOfTop(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 40, rapid.ID).Draw(rt, "targets")
		chat := rapid.Uint64().Draw(rt, "chat")
		keys := make([]uint64, len(targets))
		for i, target := range targets {
			keys[i] = Key(target)
		}
		is.New(rt).Equal(Best(chat, keys), Top(nil, chat, targets, 1)[0])
	})
}

func BenchmarkBest(b *testing.B) {
	for _, n := range []int{18, 786, 5500} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			keys := names("engine", n)
			b.ReportAllocs()
			for chat := uint64(0); b.Loop(); chat++ {
				Best(chat, keys)
			}
		})
	}
}
