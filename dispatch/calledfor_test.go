package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Small fleets with 2.25 places per node or more, engines and services whose owner couldn't be waited
// for must be served by counts as before; otherwise each of their requests would cost a call.
func TestWhenAServiceIsDispatched(t *testing.T) {
	const latency = 300 * time.Millisecond
	for _, tt := range []struct {
		name          string
		places, nodes int
		prompts       bool
		latency       time.Duration
		want          bool
	}{
		{"7 targets of 6 at 31 nodes", 42, 31, false, latency, true},
		{"3 targets of 6 at 64 nodes", 18, 64, false, 120 * time.Millisecond, true},
		{"3 targets of 6 at 8 nodes", 18, 8, false, latency, false},
		{"4 targets of 6 at 7 nodes", 24, 7, false, latency, false},
		{"two places per node", 14, 7, false, latency, false},
		{"588 targets of 6 at 986 nodes", 3528, 986, false, latency, false},
		{"engines with prompt routing", 42, 31, true, latency, false},
		{"no target latency", 42, 31, false, 0, false},
		{"an eighth is less than a round trip", 42, 31, false, 20 * time.Millisecond, false},
		{"no targets", 0, 31, false, latency, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(CalledFor(tt.places, tt.nodes, tt.prompts, tt.latency), tt.want)
		})
	}
}
