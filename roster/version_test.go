package roster

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against two versions being taken for one because their names are shortened.
func TestVersionsWithDifferentNamesDiffer(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("v", 60<<10)
	is.True(NewVersion(long+"1") != NewVersion(long+"2"))
	is.True(NewVersion(string(NewVersion(long))) != NewVersion(long)) // a name that looks like a digest
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.String().Draw(t, "a"), rapid.String().Draw(t, "b")
		if (a == b) != (NewVersion(a) == NewVersion(b)) {
			t.Fatalf("%q and %q", a, b)
		}
		if v := NewVersion(strings.Repeat(a, 100)); len(v) > 2*maxVersion {
			t.Fatalf("%d bytes", len(v))
		}
	})
}
