package value

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// Format codes of the PostgreSQL wire protocol.
const (
	FormatText   int16 = 0
	FormatBinary int16 = 1
)

// typeMap is not modified after initialization, so concurrent use is safe.
var typeMap = pgtype.NewMap()

// Encode converts v, which must not be nil, to type t and encodes it in the given
// format.
func Encode(v any, t Type, format int16) ([]byte, error) {
	converted, err := Convert(v, t)
	if err != nil {
		return nil, err
	}
	if format == FormatText {
		return []byte(Format(converted)), nil
	}
	switch typed := converted.(type) {
	case LSN:
		return binary.BigEndian.AppendUint64(nil, uint64(typed)), nil
	case string:
		return []byte(typed), nil
	case Bytes:
		return []byte(typed), nil
	case float64:
		if t == Numeric {
			var n pgtype.Numeric
			if err := n.Scan(strconv.FormatFloat(typed, 'f', -1, 64)); err != nil {
				return nil, err
			}
			return typeMap.Encode(uint32(t), FormatBinary, n, nil)
		}
	}
	return typeMap.Encode(uint32(t), FormatBinary, converted, nil)
}

// Decode decodes a parameter of type t. A nil slice is NULL.
func Decode(data []byte, t Type, format int16) (any, error) {
	if data == nil {
		return nil, nil
	}
	if format == FormatText {
		return Convert(string(data), t)
	}
	if t == Bytea {
		return Bytes(data), nil
	}
	if t == LSNType && len(data) == 8 {
		return LSN(binary.BigEndian.Uint64(data)), nil
	}
	pgType, ok := typeMap.TypeForOID(uint32(t))
	if !ok {
		return nil, sqlerr.New(sqlerr.FeatureNotSupported, "binary parameters of type %d are not supported", t)
	}
	decoded, err := pgType.Codec.DecodeValue(typeMap, uint32(t), FormatBinary, data)
	if err != nil {
		return nil, sqlerr.New(sqlerr.InvalidTextRepresentation, "invalid binary value: %s", err.Error())
	}
	return Normalize(decoded), nil
}

// Normalize converts a Go value to one of the types listed in the package comment. It
// returns nil for types that it does not support.
func Normalize(v any) any {
	switch typed := v.(type) {
	case int16:
		return int64(typed)
	case int32:
		return int64(typed)
	case uint32:
		return int64(typed)
	case float32:
		return float64(typed)
	case []byte:
		return string(typed)
	case [16]byte:
		u, _ := pgtype.UUID{Bytes: typed, Valid: true}.Value()
		return u
	case pgtype.Numeric:
		f, _ := typed.Float64Value()
		return f.Float64
	case time.Time, int64, float64, bool, string, LSN, Bytes, nil:
		return v
	}
	return nil
}
