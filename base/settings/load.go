// Package settings loads the settings of all processes: a base file in JSON with
// comments, and overlays that state only the fields that differ.
//
// Objects are merged field by field; every other value of an overlay replaces the
// value of the base, and null removes it. Errors about unknown fields, wrong types and
// contradictions name file, line and field.
package settings

import (
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/rescode"
)

// Problem is an invalid or contradictory value of the right type.
type Problem struct {
	// Field is the dotted path of the field.
	Field string
	// Message states the problem, as the predicate of a sentence about the field.
	Message string
}

// Load reads the base file, applies the overlays in order, and fills in the defaults.
func Load(base string, overlays ...string) (*Settings, error) {
	merged, err := readFile(base)
	if err != nil {
		return nil, badSettings(err)
	}
	for _, path := range overlays {
		overlay, err := readFile(path)
		if err != nil {
			return nil, badSettings(err)
		}
		merged = merge(merged, overlay)
	}
	return settingsFromTree(merged)
}

// Parse parses settings from memory; errors refer to them as name.
func Parse(name string, data []byte) (*Settings, error) {
	n, err := parse(name, data)
	if err != nil {
		return nil, badSettings(err)
	}
	return settingsFromTree(n)
}

// settingsFromTree decodes n over the defaults and checks the result.
func settingsFromTree(n *node) (*Settings, error) {
	s := Default()
	if err := decode(n, reflect.ValueOf(s).Elem(), ""); err != nil {
		return nil, badSettings(err)
	}
	if problems := s.problems(); len(problems) > 0 {
		return nil, badSettings(problemsError(n, problems))
	}
	return s, nil
}

// problemsError returns an error with a line for each problem and its location. The
// location of a missing field is that of the closest enclosing object.
func problemsError(n *node, problems []Problem) error {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		location := findClosest(n, p.Field).location
		lines = append(lines, location.String()+": field \""+p.Field+"\" "+p.Message)
	}
	return errors.New(strings.Join(lines, "\n"))
}

// findClosest returns the node at a dotted path, or its closest ancestor that exists.
func findClosest(n *node, path string) *node {
	for _, name := range strings.Split(path, ".") {
		child, ok := n.member(name)
		if !ok {
			return n
		}
		n = child
	}
	return n
}

func badSettings(err error) error {
	return rescode.New(rescode.BadSettings, "%s", err.Error())
}
