package route

import (
	"net/url"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/jayloom/jayloom/api/rescode"
)

// maxRequestIDBytes bounds the request identity, because it is stored with the write.
const maxRequestIDBytes = 64

// Tag holds the routing values of a request, taken from a comment in the statement or
// from connection settings.
type Tag struct {
	// Route is empty when the request names none.
	Route string
	// Slot is valid only if HasSlot is set.
	Slot    uint32
	HasSlot bool
	// RequestID is the request identity, empty for none.
	RequestID string
}

// Keys that a tag may hold. Other keys are ignored.
const (
	keyRoute     = "route"
	keySlot      = "slot"
	keyRequestID = "request"
)

// ParseTag parses the sqlcommenter comments at the start and the end of a statement.
// It ignores comments elsewhere: such text may be part of a string literal, and data
// must not select a route.
func ParseTag(sql string) (Tag, *rescode.Error) {
	var tag Tag
	if comment, ok := leadingComment(sql); ok {
		if err := tag.parseComment(comment); err != nil {
			return Tag{}, err
		}
	}
	if comment, ok := trailingComment(sql); ok {
		if err := tag.parseComment(comment); err != nil {
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

// parseComment sets the values found in one comment. A comment that does not begin like
// a tag is ordinary text or an optimizer hint and is ignored.
func (t *Tag) parseComment(comment string) *rescode.Error {
	rest := strings.TrimSpace(comment)
	if !looksLikeTag(rest) {
		return nil
	}
	for rest != "" {
		key, after, ok := strings.Cut(rest, "='")
		if !ok {
			return badTag("the comment is not a list of key='value' pairs")
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
	if key != keyRoute && key != keySlot && key != keyRequestID {
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
	case keyRequestID:
		return t.setRequestID(value)
	}
	return nil
}

// SetSlot sets the slot from its decimal text.
func (t *Tag) SetSlot(value string) *rescode.Error {
	slot, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return badTag("the slot is not a number")
	}
	t.Slot, t.HasSlot = uint32(slot), true
	return nil
}

func (t *Tag) setRequestID(value string) *rescode.Error {
	if value == "" || len(value) > maxRequestIDBytes {
		return badTag("a request identity has 1 to 64 bytes")
	}
	// It becomes a literal in a statement, which a null byte would end early.
	if !utf8.ValidString(value) || strings.Contains(value, "\x00") {
		return badTag("a request identity is UTF-8 text without null bytes")
	}
	t.RequestID = value
	return nil
}

// WithDefaults returns t with an unset route or slot taken from the connection's settings.
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
