package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// location is a line of a settings file.
type location struct {
	file string
	line int
}

func (l location) String() string {
	return fmt.Sprintf("%s:%d", l.file, l.line)
}

// member is a named value of an object.
type member struct {
	name     string
	location location
	value    *node
}

// node is a value of a settings file, with its location.
type node struct {
	location location
	literal  hujson.Literal // set for scalars
	members  []member       // set for objects, in file order
	elements []*node        // set for arrays
	isObject bool
	isArray  bool
}

func (n *node) isNull() bool {
	return !n.isObject && !n.isArray && string(n.literal) == "null"
}

func (n *node) member(name string) (*node, bool) {
	for _, m := range n.members {
		if m.name == name {
			return m.value, true
		}
	}
	return nil, false
}

// readFile parses one file of JSON with comments.
func readFile(path string) (*node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return parse(path, data)
}

// parse parses JSON with comments; errors refer to data as name.
func parse(name string, data []byte) (*node, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		// Errors of hujson have a "hujson: " prefix and contain line and column.
		return nil, errors.Newf("%s: %s", name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	b := treeBuilder{file: name, data: data}
	return b.build(value)
}

// treeBuilder builds the nodes of one file. It needs the data to convert offsets to lines.
type treeBuilder struct {
	file string
	data []byte
}

func (b treeBuilder) locate(offset int) location {
	return location{file: b.file, line: 1 + bytes.Count(b.data[:offset], []byte("\n"))}
}

func (b treeBuilder) build(v hujson.Value) (*node, error) {
	n := &node{location: b.locate(v.StartOffset)}
	switch typed := v.Value.(type) {
	case hujson.Literal:
		n.literal = typed
	case *hujson.Array:
		n.isArray = true
		for _, element := range typed.Elements {
			child, err := b.build(element)
			if err != nil {
				return nil, err
			}
			n.elements = append(n.elements, child)
		}
	case *hujson.Object:
		n.isObject = true
		if err := b.buildMembers(n, typed); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (b treeBuilder) buildMembers(n *node, object *hujson.Object) error {
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		loc := b.locate(m.Name.StartOffset)
		if _, duplicate := n.member(name); duplicate {
			return errors.Newf("%s: field %q is given twice", loc, name)
		}
		child, err := b.build(m.Value)
		if err != nil {
			return err
		}
		n.members = append(n.members, member{name: name, location: loc, value: child})
	}
	return nil
}

// merge applies overlay to base. Objects are merged field by field, null removes a
// field of the base, and every other value replaces that of the base.
func merge(base, overlay *node) *node {
	if !base.isObject || !overlay.isObject {
		return overlay
	}
	merged := &node{location: base.location, isObject: true}
	for _, m := range base.members {
		override, ok := overlay.member(m.name)
		switch {
		case !ok:
			merged.members = append(merged.members, m)
		case override.isNull():
		default:
			merged.members = append(merged.members, member{m.name, override.location, merge(m.value, override)})
		}
	}
	for _, m := range overlay.members {
		if _, ok := base.member(m.name); !ok && !m.value.isNull() {
			merged.members = append(merged.members, m)
		}
	}
	return merged
}
