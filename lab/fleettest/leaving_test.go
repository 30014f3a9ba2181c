package fleettest

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLeavingEngineGetsNothingNew lets an engine say on its answers that it is
// leaving, while the VM list goes on showing it as live. Nodes that it never
// answered hear of it from others.
func TestLeavingEngineGetsNothingNew(t *testing.T) {
	is := is.New(t)
	const nodes, engines, chats = 3, 3, 20
	f := startFleet(t, nodes, engines)
	_ = f.outcome(t, f.load(t, chats, f.engineURLs))
	is.True(send("PUT", f.engineURLs[0]+"/lab/faults", `{"leaving":true}`))
	callers := f.load(t, chats, f.engineURLs, "--seed", "2")
	for _, n := range f.nodes {
		eventually(t, n.id+" knows", func() bool {
			return strings.Contains(metrics(n.url), `knapweedgw_targets_known{state="leaving"} 1`)
		})
	}
	during := f.outcome(t, callers)
	is.Equal(during.whole, during.requests) // its work in progress ended undisturbed
	before := requests(f.engineURLs[0])
	after := f.outcome(t, f.load(t, chats, f.engineURLs, "--seed", "3"))
	is.Equal(after.whole, after.requests)
	is.Equal(requests(f.engineURLs[0]), before)
	is.True(before > 0)
}

func metrics(nodeURL string) string {
	resp, err := http.Get(nodeURL + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}
