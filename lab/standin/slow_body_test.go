package standin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// Guards against a decision on the first part of a large body that outlasts the configuration it was made by: the key of
// the request is removed while the rest of its body is on the way, and its route needs none.
func TestKeyRemovedWhileABodyArrives(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	addr, id := s.Nodes[0].Config.Listen, NewID()
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	const part = 32 << 10 // more than is read before the key is looked at
	_, err = fmt.Fprintf(c, "POST %sx HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		OpenPath, Host, id, Key, 2*part, strings.Repeat("a", part))
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond) // most of it has arrived
	s.Configure(func(cfg map[string]any) {
		cfg["tenants"] = []any{map[string]any{"name": Tenant, "api_keys": []string{"key-two"}}}
	})
	s.Eventually("the key is unknown", func() bool {
		return s.Nodes[0].Do(Request{Path: SafePath}).Status == http.StatusUnauthorized
	})
	_, err = io.WriteString(c, strings.Repeat("a", part))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	runs := s.Journal.Runs(id)
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Header.Get("Tenant"), "")
}
