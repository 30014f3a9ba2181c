package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

// The limits of the node under test, and the crowd of clients that presses on them. Each check is whether the
// process lives, stays below the limits and answers an ordinary request while the crowd is still connected.
const (
	crowdMemoryMB  = 160 // of the node's machine
	crowdMaxFiles  = 600 // descriptors that the node may open
	crowdSize      = 200 // clients that hold a request
	crowdConns     = 700 // clients that hold little more than a connection
	crowdMaxBody   = 4 << 20
	crowdChunk     = 64 << 10
	crowdTinyChunk = 16
	// crowdWriteTimeout bounds the writes of a client to a node that doesn't read. No verdict depends on it.
	crowdWriteTimeout = 10 * time.Second
)

// crowdFront is a node that runs as a process of its own, with one of the two interfaces for callers.
type crowdFront struct {
	*process
	name, addr string
	// path is that of a request whose body is forwarded unchanged, chatPath of one whose body is decoded, empty
	// for none.
	path, chatPath string
	host           string
	fields         string // header fields of an ordinary request
	key            string
}

// forEachFront runs a test against a new node of each interface, one after the other.
func forEachFront(t *testing.T, run func(t *testing.T, f *crowdFront)) {
	t.Run("route", func(t *testing.T) { run(t, startRouteFront(t)) })
	t.Run("serve", func(t *testing.T) { run(t, startServeFront(t)) })
}

// startRouteFront starts a node of the platform's interface.
func startRouteFront(t *testing.T) *crowdFront {
	t.Helper()
	site := standin.NewSite(t)
	site.Configure(func(cfg map[string]any) {
		cfg["limits"].(map[string]any)["max_body_bytes"] = crowdMaxBody
		for _, r := range cfg["routes"].([]any) {
			r.(map[string]any)["timeout_ms"] = 120_000 // slow bodies are in time
		}
	})
	front, ready := freeAddr(t), freeAddr(t)
	_, port, _ := net.SplitHostPort(freeAddr(t))
	peer, _ := strconv.Atoi(port)
	raw, err := json.Marshal(map[string]any{
		"node": "node-0", "ip": "127.0.0.1", "zone": "zone-0", "region": "region",
		"listen":              map[string]string{"front": front, "ready": ready},
		"internal_port_range": []int{peer, peer + 1}, "seeds": []string{net.JoinHostPort("127.0.0.1", port)},
		"limits":   map[string]int{"memory_mb": crowdMemoryMB, "max_fds": crowdMaxFiles},
		"bounds":   map[string]float64{"grace_s": 5, "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 50},
		"platform": map[string]string{"address": site.Store.Addr()},
	})
	if err != nil {
		t.Fatal(err)
	}
	settings := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(settings, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startWithEnv(t, []string{"KNAPWEEDGW_NODE_FILE=" + settings}, "knapweedgw", "route")
	eventually(t, "node is ready", func() bool { return p.exited() || standin.Ready(ready) })
	return &crowdFront{
		process: p, name: "route", addr: front, path: standin.SafePath + "x", host: standin.Host, key: standin.Key,
		fields: "Deadline-Ms: 100000\r\n",
	}
}

// startServeFront starts a node of the callers' own interface.
func startServeFront(t *testing.T) *crowdFront {
	t.Helper()
	f := startFleet(t, 0, 1)
	t.Setenv("KNAPWEEDGW_MEMORY_MB", strconv.Itoa(crowdMemoryMB))
	t.Setenv("KNAPWEEDGW_MAX_FDS", strconv.Itoa(crowdMaxFiles))
	n := f.startNode(t, "node-0", "--max-body-bytes", strconv.Itoa(crowdMaxBody), "--body-timeout", "100s")
	eventually(t, "node is ready", func() bool { return n.exited() || answersOK(n.url+"/readyz") })
	return &crowdFront{
		process: n.process, name: "serve", addr: strings.TrimPrefix(n.url, "http://"), path: "/services/" + service + "/x",
		chatPath: "/v1/chat/completions", host: "node", key: apiKey,
	}
}

// head returns the header of a request with further fields, each with its line end, without the empty line after it.
func (f *crowdFront) head(method, fields string) string {
	return f.headWithKey(method, f.path, f.key, fields)
}

func (f *crowdFront) headWithKey(method, path, key, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + f.host + "\r\nAuthorization: Bearer " + key + "\r\n" +
		"Request-Id: " + standin.NewID() + "\r\n" + f.fields + fields
}

// answersOrdinary reports whether the node answers one small request on a new connection.
func (f *crowdFront) answersOrdinary() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crowdWriteTimeout)
	defer cancel()
	status, _ := f.request(ctx, "ordinary")
	return status == http.StatusOK
}

// request sends a request with the body on a new connection and returns the status and the body of the answer; status
// 0 if there is none.
func (f *crowdFront) request(ctx context.Context, body string) (status int, answer string) {
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = c.Close() }()
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline)
	raw := f.head(http.MethodPost, "Content-Length: "+strconv.Itoa(len(body))+"\r\n") + "\r\n" + body
	if _, err := io.WriteString(c, raw); err != nil {
		return 0, ""
	}
	return readAnswer(c)
}

// crowd is the connections of clients that stay connected until the end of the test.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// add connects a client; nil if the node accepts none.
func (c *crowd) add(addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// client is what a client of the crowd sends to w, whose errors it returns.
type client func(w io.Writer) error

// press connects n clients that send at once. It checks the process while they are still connected.
func (f *crowdFront) press(t *testing.T, n int, send client) {
	t.Helper()
	c := &crowd{}
	defer c.close()
	var work sync.WaitGroup
	for range n {
		work.Go(func() {
			conn := c.add(f.addr)
			if conn == nil {
				return
			}
			_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			_ = send(conn) // fails if the node refuses the client
		})
	}
	work.Wait()
	f.awaitRest()
	f.check(t)
}

// awaitRest waits until the process does nothing more about what the crowd has sent, or crowdWriteTimeout.
func (f *crowdFront) awaitRest() {
	const pause = 250 * time.Millisecond
	last := ""
	for end := time.Now().Add(crowdWriteTimeout); time.Now().Before(end); time.Sleep(pause) {
		used := f.processorTime()
		if used == last {
			return
		}
		last = used
	}
}

// processorTime returns the processor time that the process has used, in clock ticks, user and system; empty if it
// has ended.
func (f *crowdFront) processorTime() string {
	const user, system = 11, 12 // fields after the name, see proc(5)
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.cmd.Process.Pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	return fields[user] + " " + fields[system]
}

// check checks that the process lives, is below its limits and answers an ordinary request.
func (f *crowdFront) check(t *testing.T) {
	t.Helper()
	f.checkLimits(t)
	eventually(t, "an ordinary request is answered", func() bool { return f.exited() || f.answersOrdinary() })
	f.checkLimits(t)
}

// checkLimits checks that the process lives and is below its limits.
func (f *crowdFront) checkLimits(t *testing.T) {
	t.Helper()
	if f.exited() {
		t.Fatalf("the node ended:\n%s", f.tail())
	}
	peak, files := f.peakMemory(t), f.openFiles(t)
	t.Logf("%s: peak %d kB of %d, %d descriptors of %d", f.name, peak>>10, crowdMemoryMB<<10, files, crowdMaxFiles)
	if peak > crowdMemoryMB<<20 {
		t.Errorf("the process took %d kB, its machine has %d kB", peak>>10, crowdMemoryMB<<10)
	}
	if files > crowdMaxFiles {
		t.Errorf("%d descriptors were open, %d allowed", files, crowdMaxFiles)
	}
}

func (f *crowdFront) tail() string {
	const most = 4000
	s := f.out.String()
	return s[max(len(s)-most, 0):]
}

// peakMemory returns the largest resident set that the process had, in bytes.
func (f *crowdFront) peakMemory(t *testing.T) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kb, err := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return kb << 10
}

func (f *crowdFront) openFiles(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}

// writeRepeated writes unit until n bytes were written.
func writeRepeated(w io.Writer, unit string, n int) error {
	block := bytes.Repeat([]byte(unit), max(crowdChunk/len(unit), 1))
	for n > 0 {
		p := block[:min(len(block), n)]
		if _, err := w.Write(p); err != nil {
			return err
		}
		n -= len(p)
	}
	return nil
}

// chunk returns a chunk of a chunked body with n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("a", n)) }

// writeAll writes the parts one after the other.
func writeAll(w io.Writer, parts ...string) error {
	for _, p := range parts {
		if _, err := io.WriteString(w, p); err != nil {
			return err
		}
	}
	return nil
}
