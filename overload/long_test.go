package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Long uncached prompts with short answers make urgent requests late while slots are free, unless
// prompt tokens are limited too.
func TestPoolPromptTokens(t *testing.T) {
	p := pattern{load: 1, long: 5, fresh: 1, short: 5}
	unlimited := SharesConfig()
	unlimited.LatePart = 1
	for seed := range uint64(poolSeeds) {
		is := is.New(t)
		got, without := runPool(p, SharesConfig(), seed), runPool(p, unlimited, seed)
		t.Logf("seed %d\n%s\n%s", seed, got.row("shares"), without.row("unlimited"))
		first := got.kinds[0]
		is.True(first.part(first.inTime) >= 0.9)
		is.True(first.late < without.kinds[0].late)
		is.True(got.reasons[LongPrompt] > 0)
	}
}

// Long prompts that make no urgent request late are admitted: a limit that follows from a model of
// the engine rejects some that the engine reads between other requests' tokens.
func TestPoolCalmWithLongPrompts(t *testing.T) {
	for seed := range uint64(poolSeeds) {
		is := is.New(t)
		got := runPool(pattern{load: 1, long: 1.55, fresh: 1, uncached: 1}, SharesConfig(), seed)
		t.Log(got.row("shares"))
		is.Equal(got.total().refused, 0)
	}
}

// While long prompts make urgent requests late for long, the nodes' limits must settle: if all nodes
// rejected and admitted in turns, urgent requests would be late in each turn. Afterwards the limits
// are lifted.
func TestPoolLimitOnLongPromptsSettles(t *testing.T) {
	p := pattern{load: 1, long: 4.5, fresh: 1, short: 5, lasts: 24_000}
	for seed := range uint64(poolSeeds) {
		is := is.New(t)
		got := runPool(p, SharesConfig(), seed)
		end := p.until() / 100
		settled := got.reductions[end-100 : end]
		low, high, after := slices.Min(settled), slices.Max(settled), got.reductions[end+poolAfter/100-1]
		t.Logf("seed %d: reduction %.2f to %.2f, %.2f after 4 s\n%s", seed, low, high, after, got.row("shares"))
		is.True(got.kinds[0].part(got.kinds[0].inTime) >= 0.9)
		is.True(low > 0 && high-low < 0.4)
		is.True(after < 0.3)
	}
}

// Only less urgent long prompts are limited, only while more than a tenth of the urgent answers are
// late, and at least MinShare of them is admitted. The limit ends once there are no urgent answers.
func TestLimitOnLongPrompts(t *testing.T) {
	urgent := Request{Class: "urgent", TargetLatency: 250 * time.Millisecond}
	long := Request{Class: "long", Priority: 2, PromptTokens: 10_000, TargetLatency: 800 * time.Millisecond}
	short, first := long, long
	short.PromptTokens, first.Priority = longPromptTokens-1, 0
	l := Load{Running: 10, Slots: 100, Nodes: 4}
	for _, c := range []struct {
		name        string
		request     Request
		late        func(i int) bool // whether the answer i of 50, 5 a second, begins late
		idle        int              // seconds after the last answer
		least, most float64
	}{
		{"answers in time", long, func(int) bool { return false }, 0, 1, 1},
		{"a single late one", long, func(i int) bool { return i == 45 }, 0, 1, 1},
		{"one of 20 late", long, func(i int) bool { return i%20 == 0 }, 0, 1, 1},
		{"half late", long, func(i int) bool { return i%2 == 0 }, 0, 0.5, 0.6},
		{"half late, short prompt", short, func(i int) bool { return i%2 == 0 }, 0, 1, 1},
		{"half late, most urgent rank", first, func(i int) bool { return i%2 == 0 }, 0, 1, 1},
		{"half late, 5 s before", long, func(i int) bool { return i%2 == 0 }, 5, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, now := NewGate(SharesConfig(), rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
			g.RecordEnd(time.Second, false)
			for i := range 50 {
				now = now.Add(200 * time.Millisecond)
				g.Admit(urgent, l, now)
				took := urgent.TargetLatency
				if c.late(i) {
					took++
				}
				g.RecordFirstEvent("urgent", took, now)
			}
			for range 10 * c.idle {
				now = now.Add(100 * time.Millisecond)
				g.Admit(c.request, l, now)
			}
			admitted := 0.0
			for i := range 1000 {
				c.request.Workspace = fmt.Sprint(i) // each within its budget
				if g.Admit(c.request, l, now).Admitted() {
					admitted += 1.0 / 1000
				}
			}
			t.Logf("%.3f admitted", admitted)
			is.True(admitted >= c.least-1e-9 && admitted <= c.most+1e-9)
		})
	}
}

// Below noRejectionBelow of the slots, nothing is rejected for want of slots, whatever the demand,
// the way, the workspaces and the age of the counts are; and no long prompt unless more than one
// urgent answer was late.
func TestNoRejectionWhileSlotsAreFree(t *testing.T) {
	for name, cfg := range map[string]Config{"shares": SharesConfig()} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				g := NewGate(cfg, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
				now, late := time.Unix(1000, 0), 0
				if rapid.Bool().Draw(t, "ended") {
					g.RecordEnd(rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, time.Second}).Draw(t, "held"), false)
				}
				for range rapid.IntRange(1, 200).Draw(t, "requests") {
					now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
					rank := rapid.IntRange(-1, 9).Draw(t, "priority")
					r := Request{
						Class: fmt.Sprint("class-", rank), Priority: rank,
						Workspace: rapid.SampledFrom([]string{"", "x", "x", "x", "y"}).Draw(t, "workspace"), Returned: rapid.Bool().Draw(t, "returned"),
						PromptTokens:  rapid.SampledFrom([]int{0, 500, 12_000}).Draw(t, "tokens"),
						TargetLatency: rapid.SampledFrom([]time.Duration{0, 250 * time.Millisecond, 800 * time.Millisecond}).Draw(t, "target"),
						Remaining:     rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Second}).Draw(t, "remaining"),
					}
					l := Load{
						Running: rapid.IntRange(0, 69).Draw(t, "running"), Slots: 100, Nodes: rapid.IntRange(0, 64).Draw(t, "nodes"),
						Targets: 10, Age: time.Duration(rapid.IntRange(0, 1600).Draw(t, "age")) * time.Millisecond,
					}
					l.Own = rapid.IntRange(0, l.Running).Draw(t, "own")
					d := g.Admit(r, l, now)
					if !d.Admitted() && d.Estimate < noRejectionBelow*float64(l.Slots) && (d.Reason != LongPrompt || late < 2) {
						t.Fatalf("refused with %d late: %+v", late, d)
					}
					took := time.Duration(rapid.SampledFrom([]int{50, 100, 2000}).Draw(t, "took")) * time.Millisecond
					g.RecordFirstEvent(r.Class, took, now)
					if took > 250*time.Millisecond {
						late++
					}
				}
			})
		})
	}
}
