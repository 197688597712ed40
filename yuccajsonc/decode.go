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
	d.value(value, reflect.ValueOf(into).Elem(), "")
}

// value decodes one value into target, which is settable.
func (d *Document) value(v hujson.Value, target reflect.Value, path string) {
	d.places[path] = v.StartOffset
	switch {
	case target.Type() == durationType:
		d.duration(v, target, path)
	case target.Type() == rawType:
		d.raw(v, target)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(v, target.Elem(), path)
	case target.Kind() == reflect.Struct:
		d.object(v, target, path)
	case target.Kind() == reflect.Map:
		d.table(v, target, path)
	case target.Kind() == reflect.Slice:
		d.list(v, target, path)
	default:
		d.literal(v, target, path)
	}
}

func (d *Document) object(v hujson.Value, target reflect.Value, path string) {
	members, ok := d.members(v, path)
	if !ok {
		return
	}
	fields := fieldsOf(target.Type())
	for _, m := range members {
		name := m.Name.Value.(hujson.Literal).String()
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		if i < 0 {
			d.reportAt(m.Name.StartOffset, join(path, name), "is not a known field", "one of "+names(fields))
			continue
		}
		d.value(m.Value, target.Field(fields[i].index), join(path, name))
	}
}

func (d *Document) table(v hujson.Value, target reflect.Value, path string) {
	members, ok := d.members(v, path)
	if !ok {
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(members)))
	for _, m := range members {
		name := m.Name.Value.(hujson.Literal).String()
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(m.Value, element, join(path, name))
		target.SetMapIndex(reflect.ValueOf(name), element)
	}
}

// members returns the members of an object, without the doubled ones.
func (d *Document) members(v hujson.Value, path string) ([]hujson.ObjectMember, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object")
		return nil, false
	}
	seen := make(map[string]bool, len(object.Members))
	members := make([]hujson.ObjectMember, 0, len(object.Members))
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			d.reportAt(m.Name.StartOffset, join(path, name), "is given twice", "one value")
			continue
		}
		seen[name] = true
		members = append(members, m)
	}
	return members, true
}

func (d *Document) list(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, path, "a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.value(element, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *Document) duration(v hujson.Value, target reflect.Value, path string) {
	const expected = `a duration with a unit such as "300ms" or "2s"`
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.wrongType(v, path, expected)
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

func (d *Document) raw(v hujson.Value, target reflect.Value) {
	standard := v.Clone()
	standard.Standardize()
	target.SetBytes(standard.Pack())
}

func (d *Document) literal(v hujson.Value, target reflect.Value, path string) {
	expected := kindName(target.Kind())
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.wrongType(v, path, expected)
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

func (d *Document) wrongType(v hujson.Value, path, expected string) {
	d.reportAt(v.StartOffset, path, "is "+shapeOf(v), expected)
}

func shapeOf(v hujson.Value) string {
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

func kindName(kind reflect.Kind) string {
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

type field struct {
	name  string
	index int
}

func fieldsOf(t reflect.Type) []field {
	var fields []field
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields = append(fields, field{name: name, index: i})
		}
	}
	return fields
}

func names(fields []field) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.name
	}
	return strings.Join(all, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
