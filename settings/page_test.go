package settings

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the table in docs/SETTINGS.md")

const (
	settingsPage = "../docs/SETTINGS.md"
	tableBegin   = "<!-- table begin -->\n"
	tableEnd     = "<!-- table end -->"
)

// TestPageMatchesSchema checks that the table in docs/SETTINGS.md equals the one
// generated from the struct tags.
func TestPageMatchesSchema(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(settingsPage)
	is.NoErr(err)
	head, rest, ok := strings.Cut(string(page), tableBegin)
	is.True(ok)
	table, tail, ok := strings.Cut(rest, tableEnd)
	is.True(ok)
	if *update {
		is.NoErr(os.WriteFile(settingsPage, []byte(head+tableBegin+schemaTable()+tableEnd+tail), 0o644))
		return
	}
	is.Equal(table, schemaTable()) // run go test ./settings -run TestPage -update
}

func schemaTable() string {
	var b strings.Builder
	b.WriteString("| setting | type | unit | default | bounds | meaning |\n|---|---|---|---|---|---|\n")
	for _, p := range Properties() {
		def := p.Default
		if p.Required {
			def = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", p.Path, p.Type, p.Unit, def, p.Bounds, p.Doc)
	}
	return b.String()
}

// TestDefaultsMatchSchema checks that the documented defaults equal those that a
// snapshot applies.
func TestDefaultsMatchSchema(t *testing.T) {
	is := is.New(t)
	defaults := make(map[string]string)
	for _, p := range Properties() {
		is.True(p.Doc != "")
		defaults[p.Path] = p.Default
	}
	m, s := Model{}.ref("x"), Service{}.ref("x")
	for prefix, ref := range map[string]ResolvedPool{"models": m, "services": s} {
		is.Equal(defaults[prefix+".<name>.load_factor"], formatNumber(ref.LoadFactor))
		is.Equal(defaults[prefix+".<name>.max_in_flight"], strconv.Itoa(ref.MaxInFlight))
		is.Equal(defaults[prefix+".<name>.cells"], strconv.Itoa(ref.Cells))
	}
	snap := NewSnapshot(1, map[string]Team{"t": {Workspaces: map[string]Workspace{"w": {KeysSHA256: []string{digest}}}}})
	ws, ok := snap.Workspace("key")
	is.True(ok)
	is.Equal(defaults["workspaces.<name>.weight"], formatNumber(ws.Weight))
}

func TestPageExampleIsValid(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(settingsPage)
	is.NoErr(err)
	_, rest, ok := strings.Cut(string(page), "```json\n")
	is.True(ok)
	example, _, _ := strings.Cut(rest, "```")
	_, faults := Decode([]byte(example))
	is.Equal(len(faults), 0)
}
