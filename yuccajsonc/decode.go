package yuccajsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	rawType      = reflect.TypeFor[json.RawMessage]()
)

func (d *Document) decode(value hujson.Value, into any) {
	d.decodeValue(value, reflect.ValueOf(into).Elem(), "")
}

// decodeValue decodes a value into target, which must be settable, and records
// the offset of the value under its path.
func (d *Document) decodeValue(v hujson.Value, target reflect.Value, path string) {
	d.offsets[path] = v.StartOffset
	switch {
	case target.Type() == durationType:
		d.decodeDuration(v, target, path)
	case target.Type() == rawType:
		d.decodeRaw(v, target)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(v, target.Elem(), path)
	case target.Kind() == reflect.Struct:
		d.decodeObject(v, target, path)
	case target.Kind() == reflect.Map:
		d.decodeMap(v, target, path)
	case target.Kind() == reflect.Slice:
		d.decodeList(v, target, path)
	default:
		d.decodeLiteral(v, target, path)
	}
}

func (d *Document) decodeObject(v hujson.Value, target reflect.Value, path string) {
	members, ok := d.uniqueMembers(v, path)
	if !ok {
		return
	}
	fields := jsonFields(target.Type())
	for _, m := range members {
		name := m.Name.Value.(hujson.Literal).String()
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		if i < 0 {
			d.reportAt(m.Name.StartOffset, joinPath(path, name), "is not a known field", "one of "+fieldNames(fields))
			continue
		}
		d.decodeValue(m.Value, target.Field(fields[i].index), joinPath(path, name))
	}
}

func (d *Document) decodeMap(v hujson.Value, target reflect.Value, path string) {
	members, ok := d.uniqueMembers(v, path)
	if !ok {
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(members)))
	for _, m := range members {
		name := m.Name.Value.(hujson.Literal).String()
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(m.Value, element, joinPath(path, name))
		target.SetMapIndex(reflect.ValueOf(name), element)
	}
}

// uniqueMembers returns the members of an object. Of members with the same
// name, it returns the first and reports the others.
func (d *Document) uniqueMembers(v hujson.Value, path string) ([]hujson.ObjectMember, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.reportType(v, path, "an object")
		return nil, false
	}
	seen := make(map[string]bool, len(object.Members))
	members := make([]hujson.ObjectMember, 0, len(object.Members))
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			d.reportAt(m.Name.StartOffset, joinPath(path, name), "is given twice", "one value")
			continue
		}
		seen[name] = true
		members = append(members, m)
	}
	return members, true
}

func (d *Document) decodeList(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.reportType(v, path, "a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decodeValue(element, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *Document) decodeDuration(v hujson.Value, target reflect.Value, path string) {
	const expected = `a duration with a unit such as "300ms" or "2s"`
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.reportType(v, path, expected)
		return
	}
	duration, err := time.ParseDuration(literal.String())
	if err != nil {
		d.reportAt(v.StartOffset, path, fmt.Sprintf("is %q", literal.String()), expected)
		return
	}
	if duration < 0 {
		d.reportAt(v.StartOffset, path, fmt.Sprintf("is %q", literal.String()), "a duration that is not negative")
		return
	}
	target.SetInt(int64(duration))
}

// decodeRaw stores the value as standard JSON: without comments and trailing
// commas.
func (d *Document) decodeRaw(v hujson.Value, target reflect.Value) {
	standardized := v.Clone()
	standardized.Standardize()
	target.SetBytes(standardized.Pack())
}

func (d *Document) decodeLiteral(v hujson.Value, target reflect.Value, path string) {
	expected := describeKind(target.Kind())
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.reportType(v, path, expected)
		return
	}
	if literal.Kind() == 'n' {
		d.reportAt(v.StartOffset, path, "is null", expected)
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		d.reportAt(v.StartOffset, path, "is "+string(literal), expected)
	}
}

func (d *Document) reportType(v hujson.Value, path, expected string) {
	d.reportAt(v.StartOffset, path, "is "+describeValue(v), expected)
}

func describeValue(v hujson.Value) string {
	switch literal := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return string(literal)
	}
	return "unreadable"
}

func describeKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number that is not negative"
	}
	return "a whole number"
}

// field is a struct field with a JSON name.
type field struct {
	name  string
	index int
}

func jsonFields(t reflect.Type) []field {
	var fields []field
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields = append(fields, field{name: name, index: i})
		}
	}
	return fields
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
