package fleettest

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestRollingReplacement replaces all 8 nodes, one after the other, under load. No request is lost,
// cut off, run twice or refused, and each old process exits with code 0.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	const nodes, engines, chats = 8, 4, 12
	f := startFleet(t, nodes, engines)
	replaced := make(chan struct{})
	total := make(chan loadResult)
	go func() {
		var sum loadResult
		for seed := 1; ; seed++ {
			o := f.awaitLoad(t, f.startLoad(t, chats, f.engineURLs, "--seed", fmt.Sprint(seed), "--notices", "0.2", "--resend", "0.2"))
			sum.requests += o.requests
			sum.whole += o.whole
			sum.doubled += o.doubled
			sum.falseNotRun += o.falseNotRun
			select {
			case <-replaced:
				total <- sum
				return
			default:
			}
		}
	}()
	for i, old := range f.nodes {
		f.addToBalancer(t, f.startNode(t, fmt.Sprint("node-", i, "-b")))
		old.signal(syscall.SIGTERM)
		is.Equal(old.exitCode(t), 0)
		f.removeVM(t, old.id)
	}
	close(replaced)
	sum := <-total
	t.Logf("%+v", sum)
	is.True(sum.requests > 0)
	is.Equal(sum.whole, sum.requests)
	is.Equal(sum.doubled, 0)
	is.Equal(sum.falseNotRun, 0)
}
