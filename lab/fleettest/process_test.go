package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/engine"
)

// patience is how long a condition may take on a machine that is busy; it is
// no verdict on speed.
const patience = 2 * time.Minute

var binaries string // directory of the programs under test

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fleettest")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir,
		"github.com/knapweedgw/knapweedgw/cmd/knapweedgw", "github.com/knapweedgw/knapweedgw/lab/cmd/knapweedlab")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaries = dir
	return m.Run()
}

// process is a running program.
type process struct {
	cmd  *exec.Cmd
	out  output
	done chan struct{} // closed when it has ended
}

// start runs a program until the test ends or it ends by itself.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaries, program), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits for the process to end.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		t.Fatalf("%v has not ended; its output:\n%s", p.cmd.Args, p.out.String())
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// output keeps what a process wrote.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// freeAddr returns a loopback "ip:port" that was free a moment ago. It is below
// the ports that the system gives to connections, one of which could otherwise
// take it before the process listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	const lowest, highest, tries = 10_000, 32_000, 1000
	for range tries {
		addr := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest))
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for begin := time.Now(); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > patience {
			t.Fatal("never: " + what)
		}
	}
}

// answersOK says whether a GET of url gives status 200.
func answersOK(url string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// requests returns how many requests an engine has run, 0 if it can't be asked.
func requests(engineURL string) int {
	resp, err := http.Get(engineURL + "/lab/stats")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var s engine.Stats
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s.Requests
}
