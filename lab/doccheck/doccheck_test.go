// Package doccheck tests the repository's Markdown pages: the files, identifiers, links and make
// targets that they mention must exist, and the operators' page must list every refusal reason,
// metric and flag.
package doccheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// root is the path of the repository's root.
const root = "../.."

var (
	link       = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	filePath   = regexp.MustCompile(`^\.?[A-Za-z0-9_-][A-Za-z0-9_.-]*(/[A-Za-z0-9_.-]+)*/?$`)
	makeCall   = regexp.MustCompile(`(?:^|[\s;&(])make ([a-z][a-z-]*)`)
	identifier = regexp.MustCompile(`^(.+)\.([A-Z][A-Za-z0-9_]*)$`)
	makeTarget = regexp.MustCompile(`(?m)^([a-z][a-z-]*):`)
)

// pages returns the paths of all Markdown pages, outside hidden directories.
func pages(t *testing.T) []string {
	var paths []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".md") {
			paths = append(paths, path)
		}
		return nil
	})
	is.New(t).NoErr(err)
	return paths
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// missing is a reference in a page to something that doesn't exist.
type missing struct{ kind, name string }

// check returns the references without a destination of one page in the directory dir. targets are
// the make targets.
func check(text, dir string, targets map[string]bool) []missing {
	var refs []missing
	for _, m := range link.FindAllStringSubmatch(text, -1) {
		file, _, _ := strings.Cut(m[1], "#")
		if file != "" && !strings.Contains(file, ":") && !exists(filepath.Join(dir, file)) {
			refs = append(refs, missing{"link", m[1]})
		}
	}
	var code strings.Builder
	for _, m := range codeSpan.FindAllStringSubmatch(text, -1) {
		code.WriteString(m[1] + "\n")
		if isTreePath(m[1]) && !resolves(m[1], dir) {
			refs = append(refs, missing{"file", m[1]})
		}
	}
	code.WriteString(blocks(text))
	for _, m := range makeCall.FindAllStringSubmatch(code.String(), -1) {
		if !targets[m[1]] {
			refs = append(refs, missing{"make target", m[1]})
		}
	}
	return refs
}

// resolves reports whether a path exists, relative to the root or to the page: a file or directory,
// a bare file name in any directory, or an identifier that occurs in the Go files of a directory
// ("store/memory.Store").
func resolves(path, dir string) bool {
	if exists(filepath.Join(root, path)) || exists(filepath.Join(dir, path)) {
		return true
	}
	if m := identifier.FindStringSubmatch(path); m != nil {
		return identifierOccurs(filepath.Join(root, m[1]), m[2])
	}
	return !strings.Contains(path, "/") && fileExistsAnywhere(path)
}

// identifierOccurs reports whether a Go file in dir contains the name.
func identifierOccurs(dir, name string) bool {
	files, _ := filepath.Glob(filepath.Join(dir, "*.go"))
	for _, f := range files {
		if raw, err := os.ReadFile(f); err == nil && strings.Contains(string(raw), name) {
			return true
		}
	}
	return false
}

// fileExistsAnywhere reports whether the tree has a file or directory of that name.
func fileExistsAnywhere(name string) bool {
	found := false
	_ = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.Name() == name {
			found = true
			return fs.SkipAll
		}
		return nil
	})
	return found
}

// isTreePath reports whether a code span is meant as a path of this tree: its first part is a
// directory of the root and a slash follows, or it ends in .go, .md or .sh.
func isTreePath(span string) bool {
	if !filePath.MatchString(span) {
		return false
	}
	first, _, nested := strings.Cut(span, "/")
	if nested && exists(filepath.Join(root, first)) {
		return true
	}
	for _, suffix := range []string{".go", ".md", ".sh"} {
		if strings.HasSuffix(span, suffix) {
			return true
		}
	}
	return false
}

// blocks returns the lines of fenced and indented code.
func blocks(text string) string {
	var out strings.Builder
	fenced := false
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "```") {
			fenced = !fenced
			continue
		}
		if fenced || strings.HasPrefix(line, "    ") {
			out.WriteString(line + "\n")
		}
	}
	return out.String()
}

// makeTargets returns the targets of the Makefile.
func makeTargets(t *testing.T) map[string]bool {
	raw, err := os.ReadFile(filepath.Join(root, "Makefile"))
	is.New(t).NoErr(err)
	targets := make(map[string]bool)
	for _, m := range makeTarget.FindAllStringSubmatch(string(raw), -1) {
		targets[m[1]] = true
	}
	return targets
}

func TestPageReferencesExist(t *testing.T) {
	targets := makeTargets(t)
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for _, f := range check(string(raw), filepath.Dir(page), targets) {
			t.Errorf("%s refers to a %s that doesn't exist: %s", page, f.kind, f.name)
		}
	}
}

func TestCheckFindsMissingReferences(t *testing.T) {
	targets := map[string]bool{"demo": true}
	tests := map[string]struct {
		text string
		want []missing
	}{
		"good link":           {"[a](README.md#x) [b](https://x.org/y.md) [c](#here)", nil},
		"broken link":         {"[a](none.md)", []missing{{"link", "none.md"}}},
		"good file":           {"`lab/doccheck` `store/README.md` `README.md`", nil},
		"missing file":        {"`lab/none/x` and `none.go`", []missing{{"file", "lab/none/x"}, {"file", "none.go"}}},
		"bare name":           {"`doccheck_test.go`", nil},
		"good identifier":     {"`store/memory.Store`", nil},
		"missing identifier":  {"`store/memory.Shop`", []missing{{"file", "store/memory.Shop"}}},
		"no file at all":      {"`text/event-stream` `/v3/kv/range` `a b.go`", nil},
		"good target":         {"`make demo`, make sure\n    make demo # run\n", nil},
		"missing target":      {"`make dmeo`", []missing{{"make target", "dmeo"}}},
		"missing in block":    {"    x && make dmeo", []missing{{"make target", "dmeo"}}},
		"missing in a fence":  {"```\nmake dmeo\n```\n", []missing{{"make target", "dmeo"}}},
		"prose isn't checked": {"they make dmeo", nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(check(tt.text, root, targets), tt.want)
		})
	}
}
