package findings

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// Decode decodes JSON into the value that into points to, and reports all
// unknown keys, duplicate keys, wrong types and the first syntax error in one
// pass. Keys match exactly. Fields without a key keep their value; null is
// accepted for slices, maps and pointers only. After a syntax error the part
// before it is checked too, and complete is false: the value must not be
// validated further.
//
// Supported are structs without embedding, slices, maps with string keys,
// pointers, strings, booleans, integers, floats and encoding.TextUnmarshaler.
func Decode(data []byte, into any) (list List, complete bool) {
	root, list, complete := parse(data)
	d := &decoder{list: list}
	if root != nil {
		d.value("", root, reflect.ValueOf(into).Elem())
	}
	return d.list, complete
}

// decoder stores nodes into Go values and collects findings.
type decoder struct {
	list List
}

// value stores one node.
func (d *decoder) value(pointer string, n *node, v reflect.Value) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(pointer, n, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(pointer, n, v)
	case reflect.Slice:
		d.slice(pointer, n, v)
	case reflect.Map:
		d.mapping(pointer, n, v)
	case reflect.Pointer:
		d.pointer(pointer, n, v)
	default:
		d.scalar(pointer, n, v)
	}
}

// wrongType adds a finding unless the node has the wanted kind.
func (d *decoder) wrongType(pointer string, n *node, want kind) bool {
	if n.kind == want {
		return false
	}
	d.list.Add(pointer, "use "+string(want), "value is %s, not %s", n.kind, want)
	return true
}

// text stores a string through UnmarshalText.
func (d *decoder) text(pointer string, n *node, u encoding.TextUnmarshaler) {
	if d.wrongType(pointer, n, kindString) {
		return
	}
	if err := u.UnmarshalText([]byte(n.scalar.(string))); err != nil {
		d.list.Add(pointer, "correct the value", "%s", err)
	}
}

// structure stores an object into a struct.
func (d *decoder) structure(pointer string, n *node, v reflect.Value) {
	if d.wrongType(pointer, n, kindObject) {
		return
	}
	fields, names := fieldsOf(v.Type())
	for _, m := range n.members {
		at := Key(pointer, m.key)
		i, ok := fields[m.key]
		if !ok {
			d.list.Add(at, "remove it; known keys are "+strings.Join(names, ", "), "key %q is unknown", m.key)
			continue
		}
		d.value(at, m.value, v.Field(i))
	}
}

// fieldsOf returns the field indexes by JSON key, and the keys in order.
func fieldsOf(t reflect.Type) (map[string]int, []string) {
	fields := make(map[string]int, t.NumField())
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = i
		names = append(names, name)
	}
	return fields, names
}

// slice stores an array.
func (d *decoder) slice(pointer string, n *node, v reflect.Value) {
	if n.kind == kindNull {
		v.SetZero()
		return
	}
	if d.wrongType(pointer, n, kindArray) {
		return
	}
	s := reflect.MakeSlice(v.Type(), len(n.elements), len(n.elements))
	for i, e := range n.elements {
		d.value(Index(pointer, i), e, s.Index(i))
	}
	v.Set(s)
}

// mapping stores an object into a map with string keys.
func (d *decoder) mapping(pointer string, n *node, v reflect.Value) {
	if n.kind == kindNull {
		v.SetZero()
		return
	}
	if d.wrongType(pointer, n, kindObject) {
		return
	}
	m := reflect.MakeMapWithSize(v.Type(), len(n.members))
	for _, mem := range n.members {
		e := reflect.New(v.Type().Elem()).Elem()
		d.value(Key(pointer, mem.key), mem.value, e)
		m.SetMapIndex(reflect.ValueOf(mem.key).Convert(v.Type().Key()), e)
	}
	v.Set(m)
}

// pointer stores a value behind a pointer.
func (d *decoder) pointer(pointer string, n *node, v reflect.Value) {
	if n.kind == kindNull {
		v.SetZero()
		return
	}
	if v.IsNil() {
		v.Set(reflect.New(v.Type().Elem()))
	}
	d.value(pointer, n, v.Elem())
}

// scalar stores a string, boolean or number.
func (d *decoder) scalar(pointer string, n *node, v reflect.Value) {
	switch {
	case v.Kind() == reflect.String:
		if !d.wrongType(pointer, n, kindString) {
			v.SetString(n.scalar.(string))
		}
	case v.Kind() == reflect.Bool:
		if !d.wrongType(pointer, n, kindBoolean) {
			v.SetBool(n.scalar.(bool))
		}
	case !d.wrongType(pointer, n, kindNumber):
		d.number(pointer, string(n.scalar.(json.Number)), v)
	}
}

// number stores a number of the field's type.
func (d *decoder) number(pointer, text string, v reflect.Value) {
	switch {
	case v.CanInt():
		i, err := strconv.ParseInt(text, 10, v.Type().Bits())
		d.checkNumber(pointer, text, "an integer", err)
		v.SetInt(i)
	case v.CanUint():
		u, err := strconv.ParseUint(text, 10, v.Type().Bits())
		d.checkNumber(pointer, text, "an integer that is not negative", err)
		v.SetUint(u)
	case v.CanFloat():
		f, err := strconv.ParseFloat(text, v.Type().Bits())
		d.checkNumber(pointer, text, "a number within the range of the type", err)
		v.SetFloat(f)
	default:
		d.list.Add(pointer, "remove it", "type %s is not supported", v.Type())
	}
}

// checkNumber adds a finding if the number was not parsed.
func (d *decoder) checkNumber(pointer, text, want string, err error) {
	if err != nil {
		d.list.Add(pointer, "use "+want, "number %s is not %s or too large", text, want)
	}
}
