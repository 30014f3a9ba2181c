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

// conditionTimeout is how long a condition may take. It is long enough for a busy machine and not a
// requirement on speed.
const conditionTimeout = 2 * time.Minute

var binDir string // directory of the compiled programs

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs, runs the tests and returns the exit code.
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
	binDir = dir
	return m.Run()
}

// process is a program that a test started.
type process struct {
	cmd  *exec.Cmd
	out  output
	done chan struct{} // closed when the program has exited
}

// start starts a program, which is killed at the end of the test if it still runs.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	return startWithEnv(t, nil, program, args...)
}

// startWithEnv is start with further environment variables, as "name=value".
func startWithEnv(t *testing.T, env []string, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binDir, program), args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
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

// kill ends the process with SIGKILL and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits for the exit of the process and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(conditionTimeout):
		t.Fatalf("%v has not exited; its output:\n%s", p.cmd.Args, p.out.String())
	}
	return p.cmd.ProcessState.ExitCode()
}

// exited reports whether the process has exited.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// output collects the output of a process.
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

// freeAddr returns a loopback "ip:port" on which nothing listened a moment ago. Its port is below
// the system's range of ephemeral ports; otherwise an outgoing connection could take it before the
// process listens.
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

// eventually waits until condition is true and fails the test after conditionTimeout; what describes
// the condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for begin := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > conditionTimeout {
			t.Fatal("condition not met in time: " + what)
		}
	}
}

// answersOK reports whether a GET of url returns status 200 within a second.
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

// engineRequests returns the number of requests that an engine has run, 0 if it doesn't answer.
func engineRequests(engineURL string) int {
	resp, err := http.Get(engineURL + "/lab/stats")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var s engine.Stats
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s.Requests
}
