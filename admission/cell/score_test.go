package cell

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/routing"
)

func rankOf(targets []Target, chat uint64) []string {
	hashes := make([]uint64, len(targets))
	for i, t := range targets {
		hashes[i] = routing.Hash(t.ID)
	}
	var out []string
	for _, i := range routing.Top(nil, chat, hashes, len(hashes)) {
		out = append(out, targets[i].ID)
	}
	return out
}

func TestLimitsRoundUp(t *testing.T) {
	for _, tt := range []struct {
		name     string
		limit    float64
		capacity int
		hard     int
		want     int
	}{
		{"part of a request counts as one", 0.2, 1, 8, 1},
		{"whole limit is unchanged", 4, 1, 8, 4},
		{"rounded after the capacity", 1.3, 2, 8, 3},
		{"hard limit caps", 9.5, 1, 8, 8},
		{"hard limit grows with capacity", 20, 2, 8, 16},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := limits{hard: tt.hard}
			is.New(t).Equal(l.roundUp(tt.limit, tt.capacity), tt.want)
		})
	}
}

func TestCandidateOrder(t *testing.T) {
	for _, tt := range []struct {
		name string
		a, b candidate
		want bool
	}{
		{"under the soft limit first", candidate{tier: tierUnderSoft}, candidate{tier: tierOverSoft, free: 9, rank: 9}, true},
		{"more free capacity first", candidate{tier: tierOverSoft, free: 2}, candidate{tier: tierOverSoft, free: 1, rank: 9}, true},
		{"rank decides at equal free capacity", candidate{tier: tierOverSoft, free: 1, rank: 2}, candidate{tier: tierOverSoft, free: 1, rank: 1}, true},
		{"higher rank first under the soft limit", candidate{tier: tierUnderSoft, rank: 1}, candidate{tier: tierUnderSoft, rank: 2}, false},
		{"full target is no candidate", candidate{rank: 9}, candidate{tier: tierOverSoft}, false},
	} {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(tt.a.better(&tt.b), tt.want) })
	}
}
