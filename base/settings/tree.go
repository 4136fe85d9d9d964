package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// location is a place in a settings file.
type location struct {
	file string
	line int
}

func (l location) String() string {
	return fmt.Sprintf("%s:%d", l.file, l.line)
}

// member is one named value of an object, in file order.
type member struct {
	name  string
	at    location
	value *node
}

// node is a value of a settings file that remembers where it was written.
type node struct {
	at       location
	literal  hujson.Literal // set for scalars
	members  []member       // set for objects
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

// parse parses JSON with comments; name stands for the file in errors.
func parse(name string, data []byte) (*node, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		// The text of hujson begins with its own prefix and names line and column.
		return nil, errors.Newf("%s: %s", name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	b := builder{file: name, data: data}
	return b.build(value)
}

type builder struct {
	file string
	data []byte
}

func (b builder) locate(offset int) location {
	return location{file: b.file, line: 1 + bytes.Count(b.data[:offset], []byte("\n"))}
}

func (b builder) build(v hujson.Value) (*node, error) {
	n := &node{at: b.locate(v.StartOffset)}
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

func (b builder) buildMembers(n *node, object *hujson.Object) error {
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := b.locate(m.Name.StartOffset)
		if _, twice := n.member(name); twice {
			return errors.Newf("%s: field %q is given twice", at, name)
		}
		child, err := b.build(m.Value)
		if err != nil {
			return err
		}
		n.members = append(n.members, member{name: name, at: at, value: child})
	}
	return nil
}

// merge lays overlay over base. Objects are merged field by field, null removes a
// field of the base, and every other value replaces the base's.
func merge(base, overlay *node) *node {
	if !base.isObject || !overlay.isObject {
		return overlay
	}
	merged := &node{at: base.at, isObject: true}
	for _, m := range base.members {
		over, ok := overlay.member(m.name)
		switch {
		case !ok:
			merged.members = append(merged.members, m)
		case over.isNull():
		default:
			merged.members = append(merged.members, member{m.name, over.at, merge(m.value, over)})
		}
	}
	for _, m := range overlay.members {
		if _, ok := base.member(m.name); !ok && !m.value.isNull() {
			merged.members = append(merged.members, m)
		}
	}
	return merged
}
