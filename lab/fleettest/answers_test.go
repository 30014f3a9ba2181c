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

// TestStoredAnswersSurviveNodeReplacement replaces every node, one after the other, and checks that
// a repeat of an idempotency key at any new node gets the stored answer of the first request.
func TestStoredAnswersSurviveNodeReplacement(t *testing.T) {
	is := is.New(t)
	const nodes, notices = 3, 30
	f := startFleet(t, nodes, 1)
	first := make(map[string]string)
	for i := range notices {
		key := fmt.Sprint("notice-", i)
		eventually(t, key+" gets an answer", func() (ok bool) {
			first[key], ok = sendNotice(f.nodes[i%nodes].url, key)
			return ok
		})
	}
	var replacements []*nodeProcess
	for i, old := range f.nodes {
		n := f.startNode(t, fmt.Sprint("node-", i, "-b"))
		f.addToBalancer(t, n)
		replacements = append(replacements, n)
		old.signal(syscall.SIGTERM)
		is.Equal(old.exitCode(t), 0)
		f.removeVM(t, old.id)
	}
	for key, want := range first {
		for _, n := range replacements {
			eventually(t, key+" gets the stored answer from "+n.id, func() bool {
				got, ok := sendNotice(n.url, key)
				return ok && got == want
			})
		}
	}
}

// sendNotice sends a notice, a service call that must not run twice, with an idempotency key. It
// returns the body of the response; ok is true for status 200.
func sendNotice(nodeURL, key string) (answer string, ok bool) {
	req, err := http.NewRequest(http.MethodPost, nodeURL+"/services/"+service+"/notices/"+key, strings.NewReader("{}"))
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
