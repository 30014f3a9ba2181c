// Package demotest tests the scripts of the demo and the playground, and the script that reads the
// list of tests with known failures, by running them as a user does.
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

// testTimeout ends a test that hangs; no check depends on its value.
const testTimeout = 2 * time.Minute

// root is the repository's root.
const root = "../.."

// buildBinaries builds knapweedgw and knapweedlab into a temporary directory and returns its path.
func buildBinaries(t *testing.T) string {
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

// startScript starts a script in its own process group and returns its standard output. The group
// is killed after testTimeout.
func startScript(t *testing.T, bin, name string, env ...string) (*exec.Cmd, io.Reader) {
	t.Helper()
	cmd := exec.Command(filepath.Join("scripts", name))
	cmd.Dir = root
	cmd.Env = append(os.Environ(), append(env, "BIN="+bin)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	is.New(t).NoErr(err)
	is.New(t).NoErr(cmd.Start())
	timer := time.AfterFunc(testTimeout, func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) })
	t.Cleanup(func() { timer.Stop() })
	return cmd, out
}

// waitForGroup waits until no process of the group runs, and fails the test after testTimeout.
func waitForGroup(t *testing.T, pgid int) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); syscall.Kill(-pgid, 0) == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("processes of the script still run")
		}
	}
}

func TestDemo(t *testing.T) {
	is := is.New(t)
	cmd, out := startScript(t, buildBinaries(t), "demo.sh", "DEMO_CHATS=12", "DEMO_TURNS=2", "DEMO_ENGINES=3")
	raw, err := io.ReadAll(out)
	is.NoErr(err)
	is.NoErr(cmd.Wait())
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	last := lines[len(lines)-1]
	is.True(regexp.MustCompile(`^demo: requests=48 whole=48 lost=0 doubled=0 reuse=\d\.\d\d skew=\d+\.\d\d$`).MatchString(last))
	waitForGroup(t, cmd.Process.Pid)
}

// TestSignalStopsAll signals the scripts after all their processes are ready. The scripts must stop
// every process that they started, both if the signal reaches the whole process group, as for
// Ctrl-C, and if it reaches the script alone, as from a supervisor.
func TestSignalStopsAll(t *testing.T) {
	bin := buildBinaries(t)
	tests := map[string]struct {
		script string
		signal syscall.Signal
		group  bool
		code   int
	}{
		"ctrl-C in the demo":             {"demo.sh", syscall.SIGINT, true, 130},
		"SIGTERM to the demo alone":      {"demo.sh", syscall.SIGTERM, false, 143},
		"ctrl-C in the playground":       {"playground.sh", syscall.SIGINT, true, 130},
		"SIGINT to the playground alone": {"playground.sh", syscall.SIGINT, false, 130},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cmd, out := startScript(t, bin, tt.script, "DEMO_CHATS=50", "DEMO_TURNS=100000")
			lines := bufio.NewScanner(out)
			for lines.Scan() && !strings.HasSuffix(lines.Text(), "are ready") {
			}
			to := cmd.Process.Pid
			if tt.group {
				to = -to
			}
			is.NoErr(syscall.Kill(to, tt.signal))
			for lines.Scan() { // read to the end of the output
			}
			_ = cmd.Wait()
			is.Equal(cmd.ProcessState.ExitCode(), tt.code)
			waitForGroup(t, cmd.Process.Pid)
		})
	}
}
