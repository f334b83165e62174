package document

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Only plain decimal numbers are accepted: YAML would read 010 as octal and
// 1_000 as one thousand, which readers of the document may not expect.
var (
	decimalInteger = regexp.MustCompile(`^-?(0|[1-9][0-9]*)$`)
	decimalNumber  = regexp.MustCompile(`^-?(0|[1-9][0-9]*)(\.[0-9]+)?$`)
)

var durationType = reflect.TypeFor[Duration]()

// decoder fills Go values from YAML nodes. It collects every fault and keeps
// the position of every field, for the faults that validation finds later.
type decoder struct {
	file      string
	positions map[string]Position
	faults    Faults
	// invalid holds the paths of fields that are missing or did not decode.
	invalid map[string]bool
}

func newDecoder(file string) *decoder {
	return &decoder{file: file, positions: make(map[string]Position), invalid: make(map[string]bool)}
}

func (d *decoder) at(tk *token.Token) Position {
	if tk == nil || tk.Position == nil {
		return Position{File: d.file}
	}
	return Position{File: d.file, Line: tk.Position.Line, Column: tk.Position.Column}
}

func (d *decoder) fault(n ast.Node, path, remedy, format string, args ...any) {
	d.invalid[path] = true
	d.faults = append(d.faults, Fault{
		Position: d.at(n.GetToken()), Path: path, Problem: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// field describes a struct field by its yaml tag.
type field struct {
	name     string
	index    int
	required bool
}

func fieldsOf(t reflect.Type) []field {
	var list []field
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			list = append(list, field{name: name, index: i, required: options != "omitempty"})
		}
	}
	return list
}

// mappingPairs returns the key-value pairs of a mapping; a mapping of one pair
// has a node type of its own.
func mappingPairs(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// value decodes a node into v.
func (d *decoder) value(n ast.Node, v reflect.Value, path string) {
	d.positions[path] = d.at(n.GetToken())
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.fault(n, path, "write the value out", "anchors, aliases, tags and merge keys are not accepted")
		return
	}
	switch {
	case v.Type() == durationType:
		d.duration(n, v, path)
	case v.Kind() == reflect.Struct:
		d.structure(n, v, path)
	case v.Kind() == reflect.Slice:
		d.sequence(n, v, path)
	default:
		d.scalar(n, v, path)
	}
}

func (d *decoder) structure(n ast.Node, v reflect.Value, path string) {
	pairs, ok := mappingPairs(n)
	if !ok {
		d.fault(n, path, "write it as name: value pairs", "expected a mapping, found %s", describe(n))
		return
	}
	fields := fieldsOf(v.Type())
	seen := make([]bool, v.NumField())
	for _, pair := range pairs {
		key, ok := pair.Key.(*ast.StringNode)
		if !ok {
			d.fault(pair.Key, path, "use one of: "+names(fields), "field name %s is not a plain name", pair.Key.String())
			continue
		}
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == key.Value })
		if i < 0 {
			d.fault(key, path, "use one of: "+names(fields), "unknown field %q", key.Value)
			continue
		}
		f := fields[i]
		if seen[f.index] {
			d.fault(key, join(path, f.name), "keep only one of them", "duplicate field %q", f.name)
			continue
		}
		seen[f.index] = true
		d.value(pair.Value, v.Field(f.index), join(path, f.name))
	}
	for _, f := range fields {
		if f.required && !seen[f.index] {
			d.fault(n, join(path, f.name), "add "+f.name, "missing field %q", f.name)
		}
	}
}

func (d *decoder) sequence(n ast.Node, v reflect.Value, path string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fault(n, path, "write it as a list; an empty list is []", "expected a list, found %s", describe(n))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		d.value(item, list.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
	v.Set(list)
}

func (d *decoder) duration(n ast.Node, v reflect.Value, path string) {
	text, ok := text(n)
	t, err := time.ParseDuration(text)
	if !ok || err != nil {
		d.fault(n, path, `write a duration with its unit such as "1.5s"`, "%s is not a duration", describe(n))
		return
	}
	v.SetInt(int64(t))
}

func (d *decoder) scalar(n ast.Node, v reflect.Value, path string) {
	raw := ""
	if tk := n.GetToken(); tk != nil {
		raw = tk.Value
	}
	switch v.Kind() {
	case reflect.String:
		if s, ok := text(n); ok {
			v.SetString(s)
			return
		}
		d.fault(n, path, "put the value in quotes", "expected a text, found %s", describe(n))
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			v.SetBool(b.Value)
			return
		}
		d.fault(n, path, "write true or false", "expected true or false, found %s", describe(n))
	case reflect.Int, reflect.Int64:
		i, err := strconv.ParseInt(raw, 10, 64)
		if n.Type() == ast.IntegerType && decimalInteger.MatchString(raw) && err == nil {
			v.SetInt(i)
			return
		}
		d.fault(n, path, "write a plain decimal integer", "%s is not an integer within range", describe(n))
	case reflect.Float64:
		f, err := strconv.ParseFloat(raw, 64)
		if (n.Type() == ast.IntegerType || n.Type() == ast.FloatType) && decimalNumber.MatchString(raw) && err == nil {
			v.SetFloat(f)
			return
		}
		d.fault(n, path, "write a plain decimal number", "%s is not a number within range", describe(n))
	default:
		panic("document: field of unsupported type " + v.Type().String())
	}
}

func text(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

func describe(n ast.Node) string {
	switch n.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.NullType:
		return "nothing"
	}
	s := n.String()
	if len(s) > 40 {
		s = s[:40] + "..."
	}
	return strconv.Quote(s)
}

func names(fields []field) string {
	list := make([]string, len(fields))
	for i, f := range fields {
		list[i] = f.name
	}
	return strings.Join(list, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
