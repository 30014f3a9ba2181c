package demotest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestKnownRedList checks which lists scripts/known-red.sh accepts. CI passes over a failure of the
// tests in the list, so a malformed line, a name that isn't that of one test, or more than 3 tests
// must be refused.
func TestKnownRedList(t *testing.T) {
	const a, b, c = "TestKnownRedList: cause, issue 1\n", "TestDemo: cause, more, issue 2\n", "TestSignalStopsAll: cause, issue 3\n"
	tests := map[string]struct {
		list  string
		names string // printed test names; "" if the list is refused
		fault string // expected in the error; "" if the list is accepted
	}{
		"one":           {list: a, names: "TestKnownRedList"},
		"three":         {list: a + b + c, names: "TestKnownRedList TestDemo TestSignalStopsAll"},
		"no newline":    {list: strings.TrimSpace(a), names: "TestKnownRedList"},
		"four":          {list: a + b + c + "TestSkewIsWeighedByWindow: cause, issue 4", fault: "over 3 tests"},
		"no issue":      {list: "TestDemo: cause", fault: "not \"TestName: cause, issue\""},
		"no name":       {list: "cause, issue 1", fault: "not \"TestName: cause, issue\""},
		"a pattern":     {list: "Test.*: cause, issue 1", fault: "not \"TestName: cause, issue\""},
		"no such test":  {list: "TestNoSuchTest: cause, issue 1", fault: "0 files"},
		"name of many":  {list: "TestContract: cause, issue 1", fault: "name a test of one"},
		"a long prefix": {list: "TestKnown: cause, issue 1", fault: "0 files"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "list")
			is.NoErr(os.WriteFile(file, []byte(tt.list), 0o600))
			cmd := exec.Command(filepath.Join(root, "scripts", "known-red.sh"), file)
			var stderr strings.Builder
			cmd.Stderr = &stderr
			out, err := cmd.Output()
			is.Equal(err != nil, tt.fault != "")
			is.True(strings.Contains(stderr.String(), tt.fault))
			if err == nil {
				is.Equal(strings.Join(strings.Fields(string(out)), " "), tt.names)
			}
		})
	}
}
