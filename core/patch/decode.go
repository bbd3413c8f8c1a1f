package patch

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

var (
	unmarshalerType     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode decodes a configuration and returns every unknown name and every value
// of a wrong type; it does not check the values.
func Decode(b []byte) (Config, []Fault) {
	var c Config
	faults := DecodeStrict(b, &c)
	c.normalize()
	return c, faults
}

// Validate decodes a configuration as Decode does, checks its values too and
// returns all faults.
func Validate(b []byte) (Config, []Fault) {
	c, faults := Decode(b)
	malformed := make(map[string]bool, len(faults))
	for _, f := range faults {
		malformed[f.Path] = true
	}
	for _, f := range c.Check() {
		if !malformed[f.Path] && !malformed[""] {
			faults = append(faults, f)
		}
	}
	return c, faults
}

// DecodeStrict decodes JSON into v, a pointer to a struct, and returns every
// unknown name and every value of a wrong type with its path.
func DecodeStrict(b []byte, v any) []Fault {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var node any
	if err := d.Decode(&node); err != nil {
		return []Fault{{Path: "", Problem: err.Error(), Allowed: "one JSON object"}}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return []Fault{{Path: "", Problem: "text after the object", Allowed: "one JSON object"}}
	}
	var s strictDecoder
	s.value(node, reflect.ValueOf(v).Elem(), "")
	return s.faults
}

type strictDecoder struct {
	faults []Fault
}

func (d *strictDecoder) fault(path, problem, allowed string) {
	d.faults = append(d.faults, Fault{Path: path, Problem: problem, Allowed: allowed})
}

func (d *strictDecoder) value(node any, v reflect.Value, path string) {
	pointer := reflect.PointerTo(v.Type())
	if pointer.Implements(unmarshalerType) || pointer.Implements(textUnmarshalerType) {
		d.scalarValue(node, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structValue(node, v, path)
	case reflect.Map:
		d.mapValue(node, v, path)
	case reflect.Slice:
		d.listValue(node, v, path)
	default:
		d.scalarValue(node, v, path)
	}
}

func (d *strictDecoder) structValue(node any, v reflect.Value, path string) {
	object, ok := node.(map[string]any)
	if !ok {
		d.fault(path, "not an object", "an object")
		return
	}
	fields := make(map[string]int)
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	for _, name := range sortedNames(object) {
		i, ok := fields[name]
		if !ok {
			d.fault(join(path, name), "unknown name", strings.Join(sortedNames(fields), ", "))
			continue
		}
		d.value(object[name], v.Field(i), join(path, name))
	}
}

func (d *strictDecoder) mapValue(node any, v reflect.Value, path string) {
	object, ok := node.(map[string]any)
	if !ok {
		if node != nil {
			d.fault(path, "not an object", "an object of names")
		}
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, name := range sortedNames(object) {
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(object[name], element, join(path, name))
		v.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), element)
	}
}

func (d *strictDecoder) listValue(node any, v reflect.Value, path string) {
	items, ok := node.([]any)
	if !ok {
		if node != nil {
			d.fault(path, "not a list", "a list")
		}
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		d.value(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *strictDecoder) scalarValue(node any, v reflect.Value, path string) {
	if s, ok := node.(string); ok && v.Kind() == reflect.String {
		v.SetString(s)
		return
	}
	b, err := json.Marshal(node)
	if err == nil {
		err = json.Unmarshal(b, v.Addr().Interface())
	}
	if err != nil {
		d.fault(path, fmt.Sprintf("%s is not valid", truncate(string(b))), allowedValues(v.Type()))
	}
}

func allowedValues(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[Duration]():
		return `a duration such as "1.5s"`
	case addressType:
		return `an IP address and port such as "127.0.0.1:5432"`
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a text"
	default:
		return "a whole number"
	}
}

const maxShownBytes = 64

func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return s[:maxShownBytes] + "..."
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func sortedNames[K ~string, V any](m map[K]V) []K {
	names := make([]K, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
