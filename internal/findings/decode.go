package findings

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// Decode strictly decodes JSON into the value that into points to. It reports
// all unknown keys, duplicate keys and wrong types and the first syntax error
// in one pass. Keys must match exactly. Fields whose key is missing keep their
// value; null is accepted only for slices, maps and pointers. After a syntax
// error, Decode still checks the part before it and returns false for complete;
// the caller must then not validate the value further.
//
// The supported types are structs without embedding, slices, maps with string
// keys, pointers, strings, booleans, integers, floats and
// encoding.TextUnmarshaler.
func Decode(data []byte, into any) (list List, complete bool) {
	root, list, complete := parse(data)
	d := &decoder{list: list}
	if root != nil {
		d.decodeValue("", root, reflect.ValueOf(into).Elem())
	}
	return d.list, complete
}

// decoder stores nodes into Go values and collects findings.
type decoder struct {
	list List
}

// decodeValue stores a node into a value.
func (d *decoder) decodeValue(pointer string, n *node, v reflect.Value) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(pointer, n, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(pointer, n, v)
	case reflect.Slice:
		d.decodeSlice(pointer, n, v)
	case reflect.Map:
		d.decodeMap(pointer, n, v)
	case reflect.Pointer:
		d.decodePointer(pointer, n, v)
	default:
		d.decodeScalar(pointer, n, v)
	}
}

// wrongType adds a finding and returns true unless the node has the wanted
// kind.
func (d *decoder) wrongType(pointer string, n *node, want kind) bool {
	if n.kind == want {
		return false
	}
	d.list.Add(pointer, "use "+string(want), "value is %s, not %s", n.kind, want)
	return true
}

// decodeText stores a string through UnmarshalText.
func (d *decoder) decodeText(pointer string, n *node, u encoding.TextUnmarshaler) {
	if d.wrongType(pointer, n, kindString) {
		return
	}
	if err := u.UnmarshalText([]byte(n.scalar.(string))); err != nil {
		d.list.Add(pointer, "correct the value", "%s", err)
	}
}

// decodeStruct stores an object into a struct.
func (d *decoder) decodeStruct(pointer string, n *node, v reflect.Value) {
	if d.wrongType(pointer, n, kindObject) {
		return
	}
	fields, names := fieldIndexes(v.Type())
	for _, m := range n.members {
		at := AppendKey(pointer, m.key)
		i, ok := fields[m.key]
		if !ok {
			d.list.Add(at, "remove it; known keys are "+strings.Join(names, ", "), "key %q is unknown", m.key)
			continue
		}
		d.decodeValue(at, m.value, v.Field(i))
	}
}

// fieldIndexes returns the index of each field by its JSON key, and the keys in
// order.
func fieldIndexes(t reflect.Type) (map[string]int, []string) {
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

// decodeSlice stores an array.
func (d *decoder) decodeSlice(pointer string, n *node, v reflect.Value) {
	if n.kind == kindNull {
		v.SetZero()
		return
	}
	if d.wrongType(pointer, n, kindArray) {
		return
	}
	s := reflect.MakeSlice(v.Type(), len(n.elements), len(n.elements))
	for i, e := range n.elements {
		d.decodeValue(AppendIndex(pointer, i), e, s.Index(i))
	}
	v.Set(s)
}

// decodeMap stores an object into a map with string keys.
func (d *decoder) decodeMap(pointer string, n *node, v reflect.Value) {
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
		d.decodeValue(AppendKey(pointer, mem.key), mem.value, e)
		m.SetMapIndex(reflect.ValueOf(mem.key).Convert(v.Type().Key()), e)
	}
	v.Set(m)
}

// decodePointer stores a value behind a pointer.
func (d *decoder) decodePointer(pointer string, n *node, v reflect.Value) {
	if n.kind == kindNull {
		v.SetZero()
		return
	}
	if v.IsNil() {
		v.Set(reflect.New(v.Type().Elem()))
	}
	d.decodeValue(pointer, n, v.Elem())
}

// decodeScalar stores a string, boolean or number.
func (d *decoder) decodeScalar(pointer string, n *node, v reflect.Value) {
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
		d.decodeNumber(pointer, string(n.scalar.(json.Number)), v)
	}
}

// decodeNumber stores a number in the type of the field.
func (d *decoder) decodeNumber(pointer, text string, v reflect.Value) {
	switch {
	case v.CanInt():
		i, err := strconv.ParseInt(text, 10, v.Type().Bits())
		d.addNumberError(pointer, text, "an integer", err)
		v.SetInt(i)
	case v.CanUint():
		u, err := strconv.ParseUint(text, 10, v.Type().Bits())
		d.addNumberError(pointer, text, "an integer that is not negative", err)
		v.SetUint(u)
	case v.CanFloat():
		f, err := strconv.ParseFloat(text, v.Type().Bits())
		d.addNumberError(pointer, text, "a number within the range of the type", err)
		v.SetFloat(f)
	default:
		d.list.Add(pointer, "remove it", "type %s is not supported", v.Type())
	}
}

// addNumberError adds a finding if a number could not be parsed.
func (d *decoder) addNumberError(pointer, text, want string, err error) {
	if err != nil {
		d.list.Add(pointer, "use "+want, "number %s is not %s or too large", text, want)
	}
}
