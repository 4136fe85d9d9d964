package engine

import (
	"context"
	"encoding/binary"

	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// Sizes in COPY's binary format.
const (
	copySignature   = "PGCOPY\n\xff\r\n\x00"
	copyHeaderBytes = len(copySignature) + 8 // flags and length of the extension
	copyCountBytes  = 2
	copyLengthBytes = 4
)

// nextTuple reads one row of the binary format; it reports false if more data is
// needed.
func (c *CopyIn) nextTuple(ctx context.Context) (bool, error) {
	if !c.headerRead {
		return c.header()
	}
	if c.ended || len(c.pending) < copyCountBytes {
		return false, nil
	}
	count := int(int16(binary.BigEndian.Uint16(c.pending)))
	if count < 0 {
		c.ended = true
		return false, nil
	}
	if count != len(c.targets) {
		return false, sqlerr.New(sqlerr.BadCopyFormat, "a row has %d columns, %d are expected", count, len(c.targets))
	}
	parts, rest, ok := cutTuple(c.pending[copyCountBytes:], count)
	if !ok {
		return false, nil
	}
	c.pending = rest
	return true, c.tuple(ctx, parts)
}

func (c *CopyIn) header() (bool, error) {
	if len(c.pending) < copyHeaderBytes {
		return false, nil
	}
	if string(c.pending[:len(copySignature)]) != copySignature {
		return false, sqlerr.New(sqlerr.BadCopyFormat, "COPY file signature not recognized")
	}
	c.pending = c.pending[copyHeaderBytes:]
	c.headerRead = true
	return true, nil
}

// cutTuple splits data into count values, nil for NULL, and what follows them.
func cutTuple(data []byte, count int) (parts [][]byte, rest []byte, ok bool) {
	for range count {
		if len(data) < copyLengthBytes {
			return nil, nil, false
		}
		length := int(int32(binary.BigEndian.Uint32(data)))
		data = data[copyLengthBytes:]
		if length < 0 {
			parts = append(parts, nil)
			continue
		}
		if len(data) < length {
			return nil, nil, false
		}
		parts = append(parts, data[:length:length])
		data = data[length:]
	}
	return parts, data, true
}

func (c *CopyIn) tuple(ctx context.Context, parts [][]byte) error {
	given := make([]bool, len(c.table.Columns))
	values := make([]any, len(c.table.Columns))
	for i, part := range parts {
		column := c.targets[i]
		v, err := value.Decode(part, c.table.Columns[column].Type, value.FormatBinary)
		if err != nil {
			return err
		}
		given[column], values[column] = true, v
	}
	return c.add(ctx, given, values)
}
