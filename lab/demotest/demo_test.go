// Package demotest runs the demo's scripts as a caller would.
package demotest

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// guard ends a test that would wait for ever; no verdict depends on it.
const guard = 2 * time.Minute

// root is the repository's root.
const root = "../.."

// build builds both binaries into a directory of the test's own.
func build(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for name, pkg := range map[string]string{"knapweedgw": "./cmd/knapweedgw", "knapweedlab": "./lab/cmd/knapweedlab"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(bin, name), pkg)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	return bin
}

// script starts a script in a process group of its own and returns its output.
func script(t *testing.T, bin, name string, env ...string) (*exec.Cmd, io.Reader) {
	t.Helper()
	cmd := exec.Command(filepath.Join("scripts", name))
	cmd.Dir = root
	cmd.Env = append(os.Environ(), append(env, "BIN="+bin)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	is.New(t).NoErr(err)
	is.New(t).NoErr(cmd.Start())
	timer := time.AfterFunc(guard, func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) })
	t.Cleanup(func() { timer.Stop() })
	return cmd, out
}

// groupEnds waits until no process of the group is left.
func groupEnds(t *testing.T, pgid int) {
	t.Helper()
	for deadline := time.Now().Add(guard); syscall.Kill(-pgid, 0) == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("processes are left running")
		}
	}
}

func TestDemo(t *testing.T) {
	is := is.New(t)
	cmd, out := script(t, build(t), "demo.sh", "DEMO_CHATS=12", "DEMO_TURNS=2", "DEMO_ENGINES=3")
	raw, err := io.ReadAll(out)
	is.NoErr(err)
	is.NoErr(cmd.Wait())
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	last := lines[len(lines)-1]
	is.True(regexp.MustCompile(`^demo: requests=48 whole=48 lost=0 doubled=0 reuse=\d\.\d\d skew=\d+\.\d\d$`).MatchString(last))
	groupEnds(t, cmd.Process.Pid)
}

// TestSignalStopsAll interrupts the scripts once everything runs. Ctrl-C
// reaches the whole process group; a supervisor ends the script alone.
func TestSignalStopsAll(t *testing.T) {
	bin := build(t)
	tests := map[string]struct {
		script string
		signal syscall.Signal
		group  bool
		code   int
	}{
		"ctrl-C in the demo":          {"demo.sh", syscall.SIGINT, true, 130},
		"SIGTERM to the demo":         {"demo.sh", syscall.SIGTERM, false, 143},
		"ctrl-C in the playground":    {"playground.sh", syscall.SIGINT, true, 130},
		"SIGINT to playground's self": {"playground.sh", syscall.SIGINT, false, 130},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cmd, out := script(t, bin, tt.script, "DEMO_CHATS=50", "DEMO_TURNS=100000")
			lines := bufio.NewScanner(out)
			for lines.Scan() && !strings.HasSuffix(lines.Text(), "are ready") {
			}
			to := cmd.Process.Pid
			if tt.group {
				to = -to
			}
			is.NoErr(syscall.Kill(to, tt.signal))
			for lines.Scan() { // to the end of the output
			}
			_ = cmd.Wait()
			is.Equal(cmd.ProcessState.ExitCode(), tt.code)
			groupEnds(t, cmd.Process.Pid)
		})
	}
}
