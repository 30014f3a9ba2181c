package docstest

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/pflag"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/node"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

const root = "../.."

// pages returns the text of every Markdown page by its path from the root.
func pages(t *testing.T) map[string]string {
	t.Helper()
	out := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		raw, err := os.ReadFile(path)
		rel, _ := filepath.Rel(root, path)
		out[rel] = string(raw)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

var (
	link     = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading  = regexp.MustCompile(`(?m)^#+ (.+)$`)
	makeCall = regexp.MustCompile("(?m)(?:`|^    )(?:[A-Z_]+=\\S+ )*make ([a-z][a-z-]*)")
	target   = regexp.MustCompile(`(?m)^([a-z][a-z-]*):`)
	fqName   = regexp.MustCompile(`fqName: "([^"]+)"`)
)

func TestLinksLead(t *testing.T) {
	all := pages(t)
	for page, text := range all {
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			if !leads(all, page, m[1]) {
				t.Errorf("%s: link %s leads nowhere", page, m[1])
			}
		}
	}
}

func leads(all map[string]string, page, to string) bool {
	path, anchor, _ := strings.Cut(to, "#")
	dest := page
	if path != "" {
		dest = filepath.Join(filepath.Dir(page), path)
	}
	if _, err := os.Stat(filepath.Join(root, dest)); err != nil {
		return false
	}
	return anchor == "" || hasAnchor(all[dest], anchor)
}

func hasAnchor(text, anchor string) bool {
	for _, m := range heading.FindAllStringSubmatch(text, -1) {
		if slug(m[1]) == anchor {
			return true
		}
	}
	return false
}

// slug is the anchor that common Markdown renderers give a heading.
func slug(heading string) string {
	var b strings.Builder
	for _, r := range strings.ToLower(heading) {
		switch {
		case unicode.IsLetter(r), unicode.IsDigit(r), r == '-', r == '_':
			b.WriteRune(r)
		case r == ' ':
			b.WriteByte('-')
		}
	}
	return b.String()
}

func TestMakeTargetsExist(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "Makefile"))
	is.New(t).NoErr(err)
	known := make(map[string]bool)
	for _, m := range target.FindAllStringSubmatch(string(raw), -1) {
		known[m[1]] = true
	}
	for page, text := range pages(t) {
		for _, m := range makeCall.FindAllStringSubmatch(text, -1) {
			if !known[m[1]] {
				t.Errorf("%s: make %s doesn't exist", page, m[1])
			}
		}
	}
}

func TestEveryReasonHasARemedy(t *testing.T) {
	text := pages(t)["docs/OPERATIONS.md"]
	for _, r := range problem.Reasons() {
		if !strings.Contains(text, "`"+string(r)+"`") {
			t.Errorf("docs/OPERATIONS.md: no refusal reason %s", r)
		}
	}
}

func TestEveryMetricIsExplained(t *testing.T) {
	text := pages(t)["docs/OPERATIONS.md"]
	for name := range metrics(t) {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md: no metric %s", name)
		}
	}
}

// metrics returns the names of the node's own metrics.
func metrics(t *testing.T) map[string]bool {
	t.Helper()
	is := is.New(t)
	cfg := config.Bind(pflag.NewFlagSet("node", pflag.ContinueOnError))
	cfg.NodeID, cfg.Region, cfg.FailureDomain = "node-1", "region-1", "domain-1"
	cfg.StoreEndpoints, cfg.VMListURL = []string{"http://127.0.0.1:1"}, "http://127.0.0.1:1/v1/vms"
	k, err := node.New(cfg, io.Discard)
	is.NoErr(err)
	reg, err := kernel.Lookup[prometheus.Collector](k, telemetry.ServiceID)
	is.NoErr(err)
	descs := make(chan *prometheus.Desc)
	go func() {
		reg.Describe(descs)
		close(descs)
	}()
	names := make(map[string]bool)
	for d := range descs {
		name := fqName.FindStringSubmatch(d.String())[1]
		if strings.HasPrefix(name, telemetry.Namespace) {
			names[name] = true
		}
	}
	return names
}

func TestEveryFlagIsExplained(t *testing.T) {
	text := pages(t)["docs/OPERATIONS.md"]
	fs := pflag.NewFlagSet("node", pflag.ContinueOnError)
	config.Bind(fs)
	fs.VisitAll(func(f *pflag.Flag) {
		if !strings.Contains(text, "`--"+f.Name+"`") {
			t.Errorf("docs/OPERATIONS.md: no flag --%s", f.Name)
		}
	})
}
