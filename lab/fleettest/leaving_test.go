package fleettest

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLeavingEngineGetsNoNewRequests checks that an engine which announces its shutdown in response
// headers gets no new requests, while its requests in progress complete. The VM list still shows
// the engine as live, and nodes that it never answered learn of the shutdown from other nodes.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	const nodes, engines, chats = 3, 3, 20
	f := startFleet(t, nodes, engines)
	_ = f.awaitLoad(t, f.startLoad(t, chats, f.engineURLs))
	is.True(sendOK("PUT", f.engineURLs[0]+"/lab/faults", `{"leaving":true}`))
	generator := f.startLoad(t, chats, f.engineURLs, "--seed", "2")
	for _, n := range f.nodes {
		eventually(t, n.id+" marks the engine as leaving", func() bool {
			return strings.Contains(metrics(n.url), `knapweedgw_targets_known{state="leaving"} 1`)
		})
	}
	during := f.awaitLoad(t, generator)
	is.Equal(during.whole, during.requests) // its requests in progress completed
	before := engineRequests(f.engineURLs[0])
	after := f.awaitLoad(t, f.startLoad(t, chats, f.engineURLs, "--seed", "3"))
	is.Equal(after.whole, after.requests)
	is.Equal(engineRequests(f.engineURLs[0]), before)
	is.True(before > 0)
}

// metrics returns the metrics page of a node, empty if the node doesn't answer.
func metrics(nodeURL string) string {
	resp, err := http.Get(nodeURL + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}
