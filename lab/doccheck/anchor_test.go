package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode"
)

// heading matches a Markdown heading.
var heading = regexp.MustCompile(`(?m)^#+ (.+)$`)

// TestLinkAnchorsExist requires that the anchor of each relative link is that of a heading in the
// linked page.
func TestLinkAnchorsExist(t *testing.T) {
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range link.FindAllStringSubmatch(string(raw), -1) {
			file, anchor, ok := strings.Cut(m[1], "#")
			if ok && !strings.Contains(file, ":") && !anchorExists(page, file, anchor) {
				t.Errorf("%s: link %s has no matching heading", page, m[1])
			}
		}
	}
}

// anchorExists reports whether file, relative to page, has the anchor; an empty file is page itself.
func anchorExists(page, file, anchor string) bool {
	linked := page
	if file != "" {
		linked = filepath.Join(filepath.Dir(page), file)
	}
	raw, err := os.ReadFile(linked)
	return err == nil && hasAnchor(string(raw), anchor)
}

// hasAnchor reports whether a heading of the text has the anchor.
func hasAnchor(text, anchor string) bool {
	for _, m := range heading.FindAllStringSubmatch(text, -1) {
		if slug(m[1]) == anchor {
			return true
		}
	}
	return false
}

// slug returns the anchor that common Markdown renderers generate for a heading.
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
