package demotest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestKnownRedList(t *testing.T) {
	const a, b, c = "TestKnownRedList: cause, issue 1\n", "TestDemo: cause, more, issue 2\n", "TestSignalStopsAll: cause, issue 3\n"
	tests := map[string]struct {
		list  string
		names string // "" for a refusal
		fault string
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
