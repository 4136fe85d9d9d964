package settings

import (
	"encoding/json"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// decode decodes n into target. It returns an error for unknown fields and wrong types,
// in which path is the name of the field.
func decode(n *node, target reflect.Value, path string) error {
	switch target.Kind() {
	case reflect.Struct:
		return decodeStruct(n, target, path)
	case reflect.Map:
		return decodeMap(n, target, path)
	case reflect.Slice:
		return decodeSlice(n, target, path)
	default:
		return decodeScalar(n, target, path)
	}
}

func decodeStruct(n *node, target reflect.Value, path string) error {
	if !n.isObject {
		return wrongTypeError(n, path, "an object")
	}
	for _, m := range n.members {
		name := joinPath(path, m.name)
		field, ok := fieldByTag(target, m.name)
		if !ok {
			return errors.Newf("%s: field %q is unknown", m.location, name)
		}
		if err := decode(m.value, field, name); err != nil {
			return err
		}
	}
	return nil
}

func decodeMap(n *node, target reflect.Value, path string) error {
	if !n.isObject {
		return wrongTypeError(n, path, "an object")
	}
	result := reflect.MakeMap(target.Type())
	for _, m := range n.members {
		element := reflect.New(target.Type().Elem()).Elem()
		if err := decode(m.value, element, joinPath(path, m.name)); err != nil {
			return err
		}
		result.SetMapIndex(reflect.ValueOf(m.name), element)
	}
	target.Set(result)
	return nil
}

func decodeSlice(n *node, target reflect.Value, path string) error {
	if !n.isArray {
		return wrongTypeError(n, path, "an array")
	}
	result := reflect.MakeSlice(target.Type(), len(n.elements), len(n.elements))
	for i, element := range n.elements {
		if err := decode(element, result.Index(i), path); err != nil {
			return err
		}
	}
	target.Set(result)
	return nil
}

func decodeScalar(n *node, target reflect.Value, path string) error {
	expected := "a value of type " + target.Type().String()
	if n.isObject || n.isArray || n.isNull() {
		return wrongTypeError(n, path, expected)
	}
	if err := json.Unmarshal(n.literal, target.Addr().Interface()); err != nil {
		return wrongTypeError(n, path, expected)
	}
	return nil
}

func wrongTypeError(n *node, path, expected string) error {
	return errors.Newf("%s: field %q must be %s", n.location, path, expected)
}

func fieldByTag(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		tag, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
