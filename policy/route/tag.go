package route

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/jayloom/jayloom/api/rescode"
)

// maxRequestID bounds a request identity, which is stored with the write.
const maxRequestID = 64

// Tag is what a request says about itself.
type Tag struct {
	// Route is empty when the request names none.
	Route string
	// Slot is meaningful when HasSlot is set.
	Slot    uint32
	HasSlot bool
	// RequestID is the request identity, empty for none.
	RequestID string
}

// Names of the values that a tag may hold; others are ignored.
const (
	keyRoute   = "route"
	keySlot    = "slot"
	keyRequest = "request"
)

// ParseTag reads the sqlcommenter comment at the start or the end of a statement.
// Comments elsewhere are not read: their text may come from a literal, and data
// must not choose a route.
func ParseTag(sql string) (Tag, *rescode.Error) {
	var tag Tag
	if comment, ok := leadingComment(sql); ok {
		if err := tag.read(comment); err != nil {
			return Tag{}, err
		}
	}
	if comment, ok := trailingComment(sql); ok {
		if err := tag.read(comment); err != nil {
			return Tag{}, err
		}
	}
	return tag, nil
}

func leadingComment(sql string) (string, bool) {
	sql = strings.TrimLeft(sql, " \t\r\n")
	if !strings.HasPrefix(sql, "/*") {
		return "", false
	}
	end := strings.Index(sql, "*/")
	if end < 2 {
		return "", false
	}
	return sql[2:end], true
}

func trailingComment(sql string) (string, bool) {
	sql = strings.TrimRight(sql, " \t\r\n;")
	if !strings.HasSuffix(sql, "*/") {
		return "", false
	}
	start := strings.LastIndex(sql[:len(sql)-2], "/*")
	if start < 0 {
		return "", false
	}
	return sql[start+2 : len(sql)-2], true
}

// read takes over the values of one comment. A comment that does not begin like a
// tag is prose or a hint and is left alone.
func (t *Tag) read(comment string) *rescode.Error {
	rest := strings.TrimSpace(comment)
	if !looksLikeTag(rest) {
		return nil
	}
	for rest != "" {
		key, after, ok := strings.Cut(rest, "='")
		if !ok {
			return badTag("the comment is no list of key='value'")
		}
		value, after, ok := strings.Cut(after, "'")
		if !ok {
			return badTag("a value has no closing quote")
		}
		if err := t.set(strings.TrimSpace(key), value); err != nil {
			return err
		}
		after = strings.TrimSpace(after)
		if after != "" && !strings.HasPrefix(after, ",") {
			return badTag("values must be separated by commas")
		}
		rest = strings.TrimSpace(strings.TrimPrefix(after, ","))
	}
	return nil
}

func looksLikeTag(comment string) bool {
	key, _, ok := strings.Cut(comment, "='")
	if !ok || key == "" {
		return false
	}
	for _, c := range key {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_') {
			return false
		}
	}
	return true
}

func (t *Tag) set(key, encoded string) *rescode.Error {
	if key != keyRoute && key != keySlot && key != keyRequest {
		return nil
	}
	value := encoded
	if strings.Contains(encoded, "%") {
		decoded, err := url.PathUnescape(encoded)
		if err != nil {
			return badTag("a value is not URL-encoded")
		}
		value = decoded
	}
	switch key {
	case keyRoute:
		t.Route = value
	case keySlot:
		return t.SetSlot(value)
	case keyRequest:
		return t.setRequestID(value)
	}
	return nil
}

// SetSlot reads a slot number.
func (t *Tag) SetSlot(value string) *rescode.Error {
	slot, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return badTag("the slot is no number")
	}
	t.Slot, t.HasSlot = uint32(slot), true
	return nil
}

func (t *Tag) setRequestID(value string) *rescode.Error {
	if value == "" || len(value) > maxRequestID {
		return badTag("a request identity has 1 to 64 bytes")
	}
	t.RequestID = value
	return nil
}

// WithDefaults fills what t leaves open from the settings of the connection.
func (t Tag) WithDefaults(settings Tag) Tag {
	if t.Route == "" {
		t.Route = settings.Route
	}
	if !t.HasSlot {
		t.Slot, t.HasSlot = settings.Slot, settings.HasSlot
	}
	return t
}

func badTag(text string) *rescode.Error {
	return rescode.New(rescode.BadTag, "%s", text)
}
