package value

import (
	"cmp"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// timeLayout is PostgreSQL's ISO output format for timestamptz.
const timeLayout = "2006-01-02 15:04:05.999999-07"

var timeLayouts = []string{timeLayout, time.RFC3339Nano, "2006-01-02 15:04:05.999999Z07:00",
	"2006-01-02 15:04:05.999999", "2006-01-02"}

// Convert converts v to type t. It returns v unchanged if v is nil or t is Unknown.
func Convert(v any, t Type) (any, error) {
	if v == nil || t == Unknown {
		return v, nil
	}
	switch t {
	case Text:
		return Format(v), nil
	case Bool:
		return toBool(v)
	case Int4, Int8:
		return toInt(v, t)
	case Float8, Numeric:
		return toFloat(v)
	case Timestamptz:
		return toTime(v)
	case Bytea:
		return toBytes(v)
	case LSNType:
		if l, ok := v.(LSN); ok {
			return l, nil
		}
		return ParseLSN(Format(v))
	}
	return nil, sqlerr.New(sqlerr.DatatypeMismatch, "no conversion to type %d", t)
}

// toBytes parses the hexadecimal format. Other text is taken as the bytes themselves.
func toBytes(v any) (any, error) {
	if b, ok := v.(Bytes); ok {
		return b, nil
	}
	digits, isHex := strings.CutPrefix(Format(v), `\x`)
	if !isHex {
		return Bytes(Format(v)), nil
	}
	data, err := hex.DecodeString(digits)
	if err != nil {
		return nil, invalidTextError("bytea", v)
	}
	return Bytes(data), nil
}

func toBool(v any) (any, error) {
	if b, ok := v.(bool); ok {
		return b, nil
	}
	switch strings.ToLower(Format(v)) {
	case "t", "true", "on", "yes", "1":
		return true, nil
	case "f", "false", "off", "no", "0":
		return false, nil
	}
	return nil, invalidTextError("boolean", v)
}

func toInt(v any, t Type) (any, error) {
	switch typed := v.(type) {
	case int64:
		return typed, nil
	case float64:
		return int64(typed), nil
	}
	bits := 64
	if t == Int4 {
		bits = 32
	}
	n, err := strconv.ParseInt(strings.TrimSpace(Format(v)), 10, bits)
	if err != nil {
		return nil, invalidTextError("integer", v)
	}
	return n, nil
}

func toFloat(v any) (any, error) {
	switch typed := v.(type) {
	case float64:
		return typed, nil
	case int64:
		return float64(typed), nil
	}
	f, err := strconv.ParseFloat(strings.TrimSpace(Format(v)), 64)
	if err != nil {
		return nil, invalidTextError("numeric", v)
	}
	return f, nil
}

func toTime(v any) (any, error) {
	if t, ok := v.(time.Time); ok {
		return t, nil
	}
	for _, layout := range timeLayouts {
		if t, err := time.Parse(layout, Format(v)); err == nil {
			return t, nil
		}
	}
	return nil, invalidTextError("timestamp with time zone", v)
}

func invalidTextError(typeName string, v any) error {
	return sqlerr.New(sqlerr.InvalidTextRepresentation, "invalid input syntax for type %s: %q", typeName, Format(v))
}

// Format returns the text format of v, which must not be nil.
func Format(v any) string {
	switch typed := v.(type) {
	case string:
		return typed
	case int64:
		return strconv.FormatInt(typed, 10)
	case float64:
		return strconv.FormatFloat(typed, 'f', -1, 64)
	case bool:
		if typed {
			return "t"
		}
		return "f"
	case time.Time:
		return typed.UTC().Format(timeLayout)
	case LSN:
		return typed.String()
	case Bytes:
		return `\x` + hex.EncodeToString([]byte(typed))
	}
	return ""
}

// Compare compares two values, which must not be nil. If one of them is a string, it
// is converted to the type of the other.
func Compare(a, b any) (int, error) {
	if text, ok := a.(string); ok {
		return compareText(text, b)
	}
	if _, ok := b.(string); ok {
		order, err := Compare(b, a)
		return -order, err
	}
	switch x := a.(type) {
	case int64:
		if y, ok := b.(int64); ok {
			return cmp.Compare(x, y), nil
		}
		if y, ok := b.(float64); ok {
			return cmp.Compare(float64(x), y), nil
		}
	case float64:
		y, err := toFloat(b)
		if err != nil {
			return 0, err
		}
		return cmp.Compare(x, y.(float64)), nil
	case bool:
		if y, ok := b.(bool); ok {
			return compareBool(x, y), nil
		}
	case time.Time:
		if y, ok := b.(time.Time); ok {
			return x.Compare(y), nil
		}
	case Bytes:
		if y, ok := b.(Bytes); ok {
			return cmp.Compare(x, y), nil
		}
	case LSN:
		if y, ok := b.(LSN); ok {
			return cmp.Compare(x, y), nil
		}
	}
	return 0, sqlerr.New(sqlerr.UndefinedFunction, "operator does not exist for these types")
}

func compareText(text string, b any) (int, error) {
	if other, ok := b.(string); ok {
		return strings.Compare(text, other), nil
	}
	converted, err := Convert(text, TypeOf(b))
	if err != nil {
		return 0, err
	}
	return Compare(converted, b)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
