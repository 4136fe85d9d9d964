// Package value implements the data types of the stand-in and their wire formats.
//
// A value is one of nil, bool, int64, float64, string, time.Time, Bytes or LSN.
package value

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// Type is a data type, identified by its PostgreSQL object identifier (OID).
type Type uint32

// Types of columns and expressions.
const (
	Unknown     Type = 0
	Bool        Type = 16
	Bytea       Type = 17
	Int8        Type = 20
	Int4        Type = 23
	Text        Type = 25
	Float8      Type = 701
	Timestamptz Type = 1184
	Numeric     Type = 1700
	LSNType     Type = 3220
)

var typeNames = map[string]Type{
	"bool": Bool, "boolean": Bool,
	"int": Int4, "integer": Int4, "int4": Int4, "smallint": Int4, "int2": Int4, "serial": Int4,
	"bigint": Int8, "int8": Int8, "bigserial": Int8,
	"text": Text, "varchar": Text, "character varying": Text, "char": Text, "uuid": Text,
	"json": Text, "jsonb": Text, "name": Text,
	"double precision": Float8, "float8": Float8, "real": Float8, "numeric": Numeric,
	"timestamptz": Timestamptz, "timestamp with time zone": Timestamptz,
	"timestamp": Timestamptz, "timestamp without time zone": Timestamptz,
	"pg_lsn": LSNType, "bytea": Bytea,
}

// TypeByName returns the type with the given SQL name.
func TypeByName(name string) (Type, error) {
	t, ok := typeNames[name]
	if !ok {
		return 0, sqlerr.New(sqlerr.UndefinedObject, "type %q does not exist", name)
	}
	return t, nil
}

// Size returns the type size reported in RowDescription, -1 for variable-size types.
func (t Type) Size() int16 {
	switch t {
	case Bool:
		return 1
	case Int4:
		return 4
	case Int8, Float8, Timestamptz, LSNType:
		return 8
	}
	return -1
}

// TypeOf returns the type of a value.
func TypeOf(v any) Type {
	switch v.(type) {
	case bool:
		return Bool
	case int64:
		return Int8
	case float64:
		return Numeric
	case time.Time:
		return Timestamptz
	case LSN:
		return LSNType
	case Bytes:
		return Bytea
	}
	return Text
}

// Bytes is a value of type bytea.
type Bytes string

// LSN is a position in the write-ahead log.
type LSN uint64

// String returns the position in PostgreSQL's notation, such as 0/1000000.
func (l LSN) String() string {
	return fmt.Sprintf("%X/%X", uint32(l>>32), uint32(l))
}

// ParseLSN parses the notation written by String.
func ParseLSN(s string) (LSN, error) {
	high, low, ok := strings.Cut(s, "/")
	h, errHigh := strconv.ParseUint(high, 16, 32)
	l, errLow := strconv.ParseUint(low, 16, 32)
	if !ok || errHigh != nil || errLow != nil {
		return 0, sqlerr.New(sqlerr.InvalidTextRepresentation, "invalid input syntax for type pg_lsn: %q", s)
	}
	return LSN(h<<32 | l), nil
}
