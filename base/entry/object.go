package entry

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Reasons why a JSON document is no entry.
const (
	Unreadable Reason = "unreadable"
	Duplicate  Reason = "duplicate"
)

// ReadObject returns the members of a JSON object, unparsed. A name that occurs twice is refused: readers
// would disagree on which value holds. Errors about the whole object have the field whole.
func ReadObject(whole string, data []byte) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
		return nil, &Error{Field: whole, Reason: Unreadable}
	}
	members := map[string]json.RawMessage{}
	for decoder.More() {
		name, value, err := readMember(decoder)
		if err != nil {
			return nil, errors.WithSecondaryError(&Error{Field: whole, Reason: Unreadable}, err)
		}
		if members[name] != nil {
			return nil, &Error{Field: name, Reason: Duplicate}
		}
		members[name] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, &Error{Field: whole, Reason: Unreadable}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, &Error{Field: whole, Reason: Unreadable}
	}
	return members, nil
}

// readMember reads the next name and value of an object.
func readMember(decoder *json.Decoder) (name string, value json.RawMessage, err error) {
	token, err := decoder.Token()
	if err != nil {
		return "", nil, err
	}
	name, ok := token.(string)
	if !ok {
		return "", nil, errors.New("the name of a field is no string")
	}
	err = decoder.Decode(&value)
	return name, value, err
}
