package overload

import (
	"testing"
)

var patterns = []pattern{
	{name: "long", load: 1.6, long: 3},
	{name: "surge", load: 3, surge: 6},
	{name: "both", load: 1, long: 3, surge: 6, down: 0.25},
	{name: "counted", load: 1, long: 3, surge: 6, down: 0.25, counted: 1000},
	{name: "impatient", load: 1, long: 3, surge: 6, down: 0.25, impatient: true},
}

func TestPoolTable(t *testing.T) {
	wide := DefaultConfig()
	wide.PriorityStep = 0.12
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				t.Logf("%s seed %d\n%s\n%s\n%s", p.name, seed, runPool(p, DefaultConfig(), seed).row("steps"),
					runPool(p, wide, seed).row("wide"), runPool(p, SharesConfig(), seed).row("shares"))
			}
		})
	}
}
