package engine

import (
	"bytes"
	"context"
	"strings"

	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/store"
	"github.com/jayloom/jayloom/standin/value"
)

// CopyIn takes the rows of COPY FROM STDIN.
type CopyIn struct {
	session *Session
	table   *store.Table
	targets []int
	binary  bool
	pending []byte
	// headerRead is set once the header of the binary format was read.
	headerRead bool
	rows       int
	ended      bool
}

// Formats returns the format codes of the columns for CopyInResponse.
func (c *CopyIn) Formats() []uint16 {
	formats := make([]uint16, len(c.targets))
	for i := range formats {
		if c.binary {
			formats[i] = uint16(value.FormatBinary)
		}
	}
	return formats
}

// Binary reports the overall format.
func (c *CopyIn) Binary() bool { return c.binary }

func (e *env) copy(s *sql.Copy) (*Result, error) {
	if s.From {
		return e.copyIn(s)
	}
	if s.Binary {
		return nil, sqlerr.New(sqlerr.FeatureNotSupported, "COPY TO in binary format is not supported")
	}
	query := s.Query
	if query == nil {
		query = &sql.Select{Items: copyItems(s.Columns), From: &sql.From{Name: s.Table}}
	}
	r, err := e.selectStatement(query)
	if err != nil {
		return nil, err
	}
	r.Tag = count("COPY", len(r.Rows))
	r.CopyOut = true
	return r, nil
}

func copyItems(columns []string) []sql.Item {
	if len(columns) == 0 {
		return []sql.Item{{Star: true}}
	}
	var items []sql.Item
	for _, name := range columns {
		items = append(items, sql.Item{Expr: &sql.Column{Name: name}})
	}
	return items
}

func (e *env) copyIn(s *sql.Copy) (*Result, error) {
	t, err := e.session.writable("COPY FROM", s.Table)
	if err != nil {
		return nil, err
	}
	targets, err := targetColumns(t, s.Columns)
	if err != nil {
		return nil, err
	}
	return &Result{CopyIn: &CopyIn{session: e.session, table: t, targets: targets, binary: s.Binary}}, nil
}

// Write takes a piece of the data; rows may be split between pieces.
func (c *CopyIn) Write(ctx context.Context, data []byte) error {
	c.pending = append(c.pending, data...)
	next := c.nextLine
	if c.binary {
		next = c.nextTuple
	}
	for {
		found, err := next(ctx)
		if err != nil {
			return c.session.fail(nil, err)
		}
		if !found {
			return nil
		}
	}
}

func (c *CopyIn) nextLine(ctx context.Context) (bool, error) {
	line, rest, found := bytes.Cut(c.pending, []byte{'\n'})
	if !found {
		return false, nil
	}
	c.pending = rest
	return true, c.line(ctx, strings.TrimSuffix(string(line), "\r"))
}

// Done ends the data and returns the command tag.
func (c *CopyIn) Done(ctx context.Context) (string, error) {
	if len(c.pending) > 0 && !c.binary {
		if err := c.line(ctx, string(c.pending)); err != nil {
			return "", c.session.fail(nil, err)
		}
	}
	tag := count("COPY", c.rows)
	if n := len(c.session.entries); n > 0 {
		c.session.Audit.SetResult(c.session.entries[n-1], tag, "")
	}
	return tag, nil
}

// Abort drops the work after the client gave up.
func (c *CopyIn) Abort(message string) error {
	return c.session.fail(nil, sqlerr.New(sqlerr.QueryCanceled, "COPY from stdin failed: %s", message))
}

func (c *CopyIn) line(ctx context.Context, line string) error {
	if c.ended || line == `\.` {
		c.ended = true
		return nil
	}
	parts := strings.Split(line, "\t")
	if len(parts) != len(c.targets) {
		return sqlerr.New(sqlerr.BadCopyFormat, "a line has %d columns, %d are expected", len(parts), len(c.targets))
	}
	given := make([]bool, len(c.table.Columns))
	values := make([]any, len(c.table.Columns))
	for i, part := range parts {
		given[c.targets[i]] = true
		if part != `\N` {
			values[c.targets[i]] = copyUnescape.Replace(part)
		}
	}
	return c.add(ctx, given, values)
}

func (c *CopyIn) add(ctx context.Context, given []bool, values []any) error {
	if err := c.session.complete(c.table, given, values); err != nil {
		return err
	}
	added, err := c.session.tx.Insert(ctx, c.table, values)
	if err == nil && !added {
		err = store.NewDuplicateKeyError(c.table)
	}
	c.rows++
	return err
}

var (
	copyEscape   = strings.NewReplacer("\\", `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)
	copyUnescape = strings.NewReplacer(`\\`, "\\", `\t`, "\t", `\n`, "\n", `\r`, "\r")
)

// CopyLine returns a row in the text format of COPY.
func CopyLine(row []any, fields []Field) ([]byte, error) {
	var line []byte
	for i, v := range row {
		if i > 0 {
			line = append(line, '\t')
		}
		if v == nil {
			line = append(line, `\N`...)
			continue
		}
		text, err := value.Encode(v, fields[i].Type, value.FormatText)
		if err != nil {
			return nil, err
		}
		line = append(line, copyEscape.Replace(string(text))...)
	}
	return append(line, '\n'), nil
}
