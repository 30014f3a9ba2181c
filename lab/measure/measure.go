// Package measure runs the laboratory's measurements on virtual time and
// reports them as a table and as JSON lines. A measurement is seeded, so that
// the same seed gives the same figures.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Section is one measurement.
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

// Reporter writes rows as they come.
type Reporter struct {
	table *tabwriter.Writer
	json  *json.Encoder // nil for none
	head  string
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

// Add reports a row of a section. A header is written when the columns change.
func (r *Reporter) Add(section string, row Row) error {
	names, values := "", ""
	object := map[string]any{"section": section}
	for _, f := range row.Fields() {
		names += f.Name + "\t"
		values += format(f.Value) + "\t"
		object[f.Name] = f.Value
	}
	if names != r.head {
		r.head = names
		fmt.Fprintf(r.table, "\n%s\n", names)
	}
	fmt.Fprintln(r.table, values)
	if r.json == nil {
		return nil
	}
	return errors.Wrap(r.json.Encode(object), "measure: json")
}

// Flush writes what is buffered.
func (r *Reporter) Flush() error { return r.table.Flush() }

func format(v any) string {
	if f, ok := v.(float64); ok {
		return fmt.Sprintf("%.3g", f)
	}
	return fmt.Sprint(v)
}
