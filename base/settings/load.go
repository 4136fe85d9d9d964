// Package settings reads the settings of all processes: one base file in JSON with
// comments and overlays that state only what differs.
//
// Objects are merged field by field; every other value of an overlay replaces the
// base's, and null removes it. Unknown fields, wrong types and contradictions are
// refused with file, line and field.
package settings

import (
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/rescode"
)

// Problem is a contradiction in settings whose types are right.
type Problem struct {
	// Field is the dotted path of the field to name.
	Field string
	// Message says what is wrong with it.
	Message string
}

// Load reads base and the overlays, in order, over the defaults.
func Load(base string, overlays ...string) (*Settings, error) {
	merged, err := readFile(base)
	if err != nil {
		return nil, refuse(err)
	}
	for _, path := range overlays {
		overlay, err := readFile(path)
		if err != nil {
			return nil, refuse(err)
		}
		merged = merge(merged, overlay)
	}
	return build(merged)
}

// Parse reads settings from memory; name stands for the file in errors.
func Parse(name string, data []byte) (*Settings, error) {
	n, err := parse(name, data)
	if err != nil {
		return nil, refuse(err)
	}
	return build(n)
}

func build(n *node) (*Settings, error) {
	s := Default()
	if err := decode(n, reflect.ValueOf(s).Elem(), ""); err != nil {
		return nil, refuse(err)
	}
	if problems := s.problems(); len(problems) > 0 {
		return nil, refuse(describe(n, problems))
	}
	return s, nil
}

// describe names the place of each problem, or of the closest enclosing object
// when the field is missing.
func describe(n *node, problems []Problem) error {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		at := find(n, p.Field).at
		lines = append(lines, at.String()+": field \""+p.Field+"\" "+p.Message)
	}
	return errors.New(strings.Join(lines, "\n"))
}

func find(n *node, path string) *node {
	for _, name := range strings.Split(path, ".") {
		child, ok := n.member(name)
		if !ok {
			return n
		}
		n = child
	}
	return n
}

func refuse(err error) error {
	return rescode.New(rescode.BadSettings, "%s", err.Error())
}
