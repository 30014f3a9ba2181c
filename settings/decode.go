package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Reason is the class of a fault, used as a metric label.
type Reason string

// The reasons for which a document is refused.
const (
	ReasonSyntax       Reason = "syntax"
	ReasonTooLarge     Reason = "too_large"
	ReasonUnknownField Reason = "unknown_field"
	ReasonMissing      Reason = "missing"
	ReasonType         Reason = "type"
	ReasonBounds       Reason = "bounds"
	ReasonPattern      Reason = "pattern"
	ReasonDuplicate    Reason = "duplicate"
	ReasonTeamName     Reason = "team_name"
	ReasonClash        Reason = "clash"
)

// Fault is one error in a document, with its remedy.
type Fault struct {
	Reason Reason `json:"reason"`
	// Path locates the fault in the document, for example
	// "models.namer-llm.load_factor"; empty for the whole document.
	Path string `json:"path"`
	// Problem describes the fault and Remedy how to correct it.
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "document"
	}
	return path + ": " + f.Problem + "; " + f.Remedy
}

// Decode parses a team's document strictly: unknown fields, duplicate names and
// missing fields are faults. It returns all faults, ordered by path; the document
// is valid if there is none.
func Decode(raw []byte) (Team, []Fault) {
	if len(raw) > MaxDocumentBytes {
		return Team{}, []Fault{{ReasonTooLarge, "", fmt.Sprintf("%d bytes exceed %d", len(raw), MaxDocumentBytes), "divide the team"}}
	}
	tree, faults, err := parse(raw)
	if err != nil {
		return Team{}, []Fault{{ReasonSyntax, "", err.Error(), "write one JSON object"}}
	}
	d := decoder{faults: faults}
	var team Team
	d.value("", field{typ: reflect.TypeFor[Team]()}, tree, reflect.ValueOf(&team).Elem())
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
	return team, d.faults
}

// parse returns the JSON value as maps, slices and scalars. A name that occurs
// twice in an object is a fault.
func parse(raw []byte) (any, []Fault, error) {
	p := parser{dec: json.NewDecoder(bytes.NewReader(raw))}
	p.dec.UseNumber()
	tree, err := p.value("")
	if err != nil {
		return nil, nil, errors.Wrapf(err, "at byte %d", p.dec.InputOffset())
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, errors.New("text after the end of the document")
	}
	return tree, p.faults, nil
}

// parser builds a tree of maps, slices and scalars from JSON tokens.
type parser struct {
	dec    *json.Decoder
	faults []Fault
}

func (p *parser) value(path string) (any, error) {
	tok, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	switch tok {
	case json.Delim('{'):
		return p.object(path)
	case json.Delim('['):
		return p.list(path)
	}
	return tok, nil
}

func (p *parser) object(path string) (any, error) {
	out := make(map[string]any)
	for p.dec.More() {
		tok, err := p.dec.Token()
		if err != nil {
			return nil, err
		}
		name := tok.(string) // the JSON decoder returns only strings as object keys
		elemPath := join(path, name)
		if _, duplicate := out[name]; duplicate {
			p.faults = append(p.faults, Fault{ReasonDuplicate, elemPath, "stands twice", "keep one"})
		}
		if out[name], err = p.value(elemPath); err != nil {
			return nil, err
		}
	}
	_, err := p.dec.Token()
	return out, err
}

func (p *parser) list(path string) (any, error) {
	out := []any{}
	for p.dec.More() {
		v, err := p.value(fmt.Sprintf("%s[%d]", path, len(out)))
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	_, err := p.dec.Token()
	return out, err
}

// join appends a name to the path of an object.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// decoder fills a typed value from a parsed tree and collects faults.
type decoder struct{ faults []Fault }

func (d *decoder) fault(reason Reason, path, problem, remedy string) {
	d.faults = append(d.faults, Fault{reason, path, problem, remedy})
}

// value decodes a parsed value into out by the field's type, and adds a fault if
// the value has another type.
func (d *decoder) value(path string, f field, tree any, out reflect.Value) {
	ok := true
	switch f.typ.Kind() {
	case reflect.Struct:
		ok = d.structure(path, f, tree, out)
	case reflect.Map:
		ok = d.mapping(path, f, tree, out)
	case reflect.Slice:
		ok = d.slice(path, f, tree, out)
	case reflect.Bool:
		var v bool
		v, ok = tree.(bool)
		out.SetBool(v)
	case reflect.String:
		var v string
		v, ok = tree.(string)
		out.SetString(v)
		if ok {
			d.text(path, f, v)
		}
	default:
		ok = d.number(path, f, tree, out)
	}
	if !ok {
		d.fault(ReasonType, path, "is not of type "+typeName(f.typ), "write a value of type "+typeName(f.typ))
	}
}

// structure decodes an object into a struct. Like mapping, slice and number it
// returns false if the value has another type.
func (d *decoder) structure(path string, f field, tree any, out reflect.Value) bool {
	object, ok := tree.(map[string]any)
	if !ok {
		return false
	}
	var known []string
	for i := range f.typ.NumField() {
		sub := newField(f.typ.Field(i))
		known = append(known, sub.name)
		v, present := object[sub.name]
		switch {
		case present:
			d.value(join(path, sub.name), sub, v, out.Field(sub.index))
		case sub.required:
			d.fault(ReasonMissing, join(path, sub.name), "is missing", "add it: "+sub.doc)
		}
	}
	for name := range object {
		if !slices.Contains(known, name) {
			d.fault(ReasonUnknownField, join(path, name), "is not a setting", unknownRemedy(name, known))
		}
	}
	return true
}

func unknownRemedy(name string, known []string) string {
	if suggestion := nearest(name, known); suggestion != "" {
		return fmt.Sprintf("did you mean %q?", suggestion)
	}
	return "use one of " + strings.Join(known, ", ")
}

func (d *decoder) mapping(path string, f field, tree any, out reflect.Value) bool {
	object, ok := tree.(map[string]any)
	if !ok {
		return false
	}
	out.Set(reflect.MakeMapWithSize(f.typ, len(object)))
	for name, v := range object {
		elemPath := join(path, name)
		d.match(elemPath, f.pattern, name)
		elem := reflect.New(f.typ.Elem()).Elem()
		d.value(elemPath, field{typ: f.typ.Elem()}, v, elem)
		out.SetMapIndex(reflect.ValueOf(name), elem)
	}
	return true
}

func (d *decoder) slice(path string, f field, tree any, out reflect.Value) bool {
	list, ok := tree.([]any)
	if !ok {
		return false
	}
	out.Set(reflect.MakeSlice(f.typ, len(list), len(list)))
	elem := field{typ: f.typ.Elem(), pattern: f.pattern, oneOf: f.oneOf}
	for i, v := range list {
		d.value(fmt.Sprintf("%s[%d]", path, i), elem, v, out.Index(i))
	}
	return true
}

func (d *decoder) number(path string, f field, tree any, out reflect.Value) bool {
	n, ok := tree.(json.Number)
	if !ok {
		return false
	}
	v, err := n.Float64()
	if err != nil {
		return false
	}
	if f.typ.Kind() == reflect.Int && v != math.Trunc(v) {
		return false
	}
	if f.min != nil && v < *f.min || f.max != nil && v > *f.max {
		d.fault(ReasonBounds, path, n.String()+" is out of bounds", "use a value "+f.bounds()+", or omit it for "+f.def)
		return true
	}
	if f.typ.Kind() == reflect.Int {
		out.SetInt(int64(v))
	} else {
		out.SetFloat(v)
	}
	return true
}

// text checks a string against the field's pattern and its allowed values.
func (d *decoder) text(path string, f field, v string) {
	d.match(path, f.pattern, v)
	if f.oneOf != nil && !slices.Contains(f.oneOf, v) {
		d.fault(ReasonBounds, path, fmt.Sprintf("%q is not allowed", v), "use "+f.bounds())
	}
}

// match adds a fault if the string doesn't match the pattern; nil matches all.
func (d *decoder) match(path string, p *pattern, v string) {
	if p != nil && !p.re.MatchString(v) {
		d.fault(ReasonPattern, path, fmt.Sprintf("%q has a wrong form", v), p.remedy)
	}
}
