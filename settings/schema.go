package settings

import (
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// MaxDocumentBytes is the size limit of a team's document. It leaves space for
// the record's other fields within one value of the store and for several
// documents within one message between nodes.
const MaxDocumentBytes = 128 << 10

// pattern is a regular expression that strings must match, with the remedy
// reported when one doesn't.
type pattern struct {
	re     *regexp.Regexp
	remedy string
}

// patterns maps the value of a pattern tag to its pattern.
var patterns = map[string]pattern{
	"name": {
		regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`),
		"use 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit",
	},
	"model": {
		regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}$`),
		"use 1 to 128 letters, digits, '.', '_', ':', '/', '@' or '-', starting with a letter or digit",
	},
	"digest": {
		regexp.MustCompile(`^[0-9a-f]{64}$`),
		"use the 64 lower-case hex digits of the key's SHA-256: printf %s KEY | sha256sum",
	},
	"path": {
		regexp.MustCompile(`^/`),
		"start the path with '/'",
	},
}

// Property is one documented setting.
type Property struct {
	// Path is the setting's path in the document, with <name> for the key of a
	// map and [] for the elements of a list.
	Path     string
	Type     string
	Unit     string
	Default  string
	Bounds   string
	Required bool
	Doc      string
}

// Properties returns all settings of a team's document in the order of the
// schema.
func Properties() []Property {
	return properties(reflect.TypeFor[Team](), "")
}

func properties(t reflect.Type, prefix string) []Property {
	var out []Property
	for i := range t.NumField() {
		f := newField(t.Field(i))
		p := Property{
			Path: prefix + f.name, Type: typeName(f.typ), Unit: f.unit, Default: f.def,
			Bounds: f.bounds(), Required: f.required, Doc: f.doc,
		}
		out = append(out, p)
		switch {
		case f.typ.Kind() == reflect.Map:
			out = append(out, properties(f.typ.Elem(), p.Path+".<name>.")...)
		case f.typ.Kind() == reflect.Slice && f.typ.Elem().Kind() == reflect.Struct:
			out = append(out, properties(f.typ.Elem(), p.Path+"[].")...)
		}
	}
	return out
}

// field is the schema of one struct field, read from its tags.
type field struct {
	index    int
	name     string
	typ      reflect.Type
	min, max *float64
	oneOf    []string
	pattern  *pattern
	required bool
	def      string
	unit     string
	doc      string
}

func newField(sf reflect.StructField) field {
	name, _, _ := strings.Cut(sf.Tag.Get("json"), ",")
	f := field{
		index: sf.Index[0], name: name, typ: sf.Type,
		min: bound(sf.Tag.Get("min")), max: bound(sf.Tag.Get("max")),
		required: sf.Tag.Get("required") == "true",
		def:      sf.Tag.Get("default"), unit: sf.Tag.Get("unit"), doc: sf.Tag.Get("doc"),
	}
	if list := sf.Tag.Get("oneof"); list != "" {
		f.oneOf = strings.Split(list, ",")
	}
	if p, ok := patterns[sf.Tag.Get("pattern")]; ok {
		f.pattern = &p
	}
	return f
}

// bound parses a min or max tag; it returns nil if there is none.
func bound(tag string) *float64 {
	v, err := strconv.ParseFloat(tag, 64)
	if err != nil {
		return nil
	}
	return &v
}

// bounds describes the allowed values, for the settings page and for remedies.
func (f field) bounds() string {
	var parts []string
	if f.min != nil {
		parts = append(parts, "from "+formatNumber(*f.min))
	}
	if f.max != nil {
		parts = append(parts, "to "+formatNumber(*f.max))
	}
	if f.oneOf != nil {
		parts = append(parts, "one of "+strings.Join(f.oneOf, ", "))
	}
	if f.pattern != nil {
		parts = append(parts, f.pattern.remedy)
	}
	return strings.Join(parts, " ")
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "boolean"
	case reflect.Int:
		return "integer"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "list of " + typeName(t.Elem()) + "s"
	case reflect.String:
		return "string"
	default:
		return "object"
	}
}
