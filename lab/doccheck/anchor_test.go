package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode"
)

var heading = regexp.MustCompile(`(?m)^#+ (.+)$`)

// TestAnchorsLead requires that each link to a part of a page names a heading
// of it.
func TestAnchorsLead(t *testing.T) {
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range link.FindAllStringSubmatch(string(raw), -1) {
			file, anchor, ok := strings.Cut(m[1], "#")
			if ok && !strings.Contains(file, ":") && !leads(page, file, anchor) {
				t.Errorf("%s: link %s leads nowhere", page, m[1])
			}
		}
	}
}

func leads(page, file, anchor string) bool {
	dest := page
	if file != "" {
		dest = filepath.Join(filepath.Dir(page), file)
	}
	raw, err := os.ReadFile(dest)
	return err == nil && hasAnchor(string(raw), anchor)
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
