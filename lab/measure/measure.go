// Package measure reports the lab's measurements as a table and as JSON lines.
// The measurements in its subpackages run on virtual time and are seeded: the
// same seed gives the same figures.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Section is a measurement that the command line can run.
type Section interface {
	// Name is the section's name on the command line.
	Name() string
	// Run reports rows and returns the section's summary line.
	Run(ctx context.Context, r *Reporter, seed uint64) (summary string, err error)
}

// Row is one line of a table; Fields gives its columns in order.
type Row interface{ Fields() []Field }

// Field is one named value of a Row. Value is a number, string or bool.
type Field struct {
	Name  string
	Value any
}

// Reporter writes rows to a table and, optionally, as JSON lines.
type Reporter struct {
	table  *tabwriter.Writer
	json   *json.Encoder // nil if no JSON lines are written
	header string        // column names of the last row
}

// NewReporter writes the table to w and JSON lines to jsonLines, which may be
// nil.
func NewReporter(w, jsonLines io.Writer) *Reporter {
	const minWidth, tabWidth, padding = 0, 8, 2
	r := &Reporter{table: tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)}
	if jsonLines != nil {
		r.json = json.NewEncoder(jsonLines)
	}
	return r
}

// Add reports a row of a section. It writes a header whenever the columns change.
func (r *Reporter) Add(section string, row Row) error {
	names, values := "", ""
	object := map[string]any{"section": section}
	for _, f := range row.Fields() {
		names += f.Name + "\t"
		values += formatValue(f.Value) + "\t"
		object[f.Name] = f.Value
	}
	if names != r.header {
		r.header = names
		fmt.Fprintf(r.table, "\n%s\n", names)
	}
	fmt.Fprintln(r.table, values)
	if r.json == nil {
		return nil
	}
	return errors.Wrap(r.json.Encode(object), "measure: encode row as JSON")
}

// Flush writes the buffered part of the table.
func (r *Reporter) Flush() error { return r.table.Flush() }

func formatValue(v any) string {
	if f, ok := v.(float64); ok {
		return fmt.Sprintf("%.3g", f)
	}
	return fmt.Sprint(v)
}
