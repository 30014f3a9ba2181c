package fleettest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestAnswersOutliveReplacedNodes replaces every node, one after the other. A
// repeat of a notice's key at any new node is given the answer of the first.
func TestAnswersOutliveReplacedNodes(t *testing.T) {
	is := is.New(t)
	const nodes, notices = 3, 30
	f := startFleet(t, nodes, 1)
	first := make(map[string]string)
	for i := range notices {
		key := fmt.Sprint("notice-", i)
		eventually(t, key+" is run", func() (ok bool) {
			first[key], ok = notify(f.nodes[i%nodes].url, key)
			return ok
		})
	}
	var replacements []*gateway
	for i, old := range f.nodes {
		n := f.startNode(t, fmt.Sprint("node-", i, "-b"))
		f.await(t, n)
		replacements = append(replacements, n)
		old.signal(syscall.SIGTERM)
		is.Equal(old.exitCode(t), 0)
		f.removeVM(t, old.id)
	}
	for key, want := range first {
		for _, n := range replacements {
			eventually(t, key+" is answered by "+n.id, func() bool {
				got, ok := notify(n.url, key)
				return ok && got == want
			})
		}
	}
}

// notify sends a notice that may run once, and returns the answer.
func notify(nodeURL, key string) (answer string, ok bool) {
	req, err := http.NewRequest(http.MethodPost, nodeURL+"/services/"+works+"/notices/"+key, strings.NewReader("{}"))
	if err != nil {
		return "", false
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err == nil && resp.StatusCode == http.StatusOK
}
