package wire

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/standin/engine"
	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/value"
)

// rowsPerFlush is the number of rows that are buffered before they are sent.
const rowsPerFlush = 256

// handleSimpleQuery runs the statements of a simple query in one implicit
// transaction. The last CommandComplete stays in the buffer until sendReady, so that
// the client is told of success only after the commit.
func (c *conn) handleSimpleQuery(ctx context.Context, text string) {
	statements, err := sql.Parse(text)
	if err != nil {
		c.sendError("ERROR", c.session.Fail(err))
		return
	}
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	c.session.Multiple = len(statements) > 1
	defer func() { c.session.Multiple = false }()
	for _, p := range statements {
		if err := c.executeSimple(ctx, p); err != nil {
			c.sendError("ERROR", c.session.Fail(err))
			return
		}
	}
	c.session.EndImplicit()
}

func (c *conn) executeSimple(ctx context.Context, p *sql.Parsed) error {
	ctx, finish := c.cancelTarget.beginStatement(ctx)
	defer finish()
	r, err := c.session.Execute(ctx, p, nil)
	if err != nil {
		return err
	}
	switch {
	case r.CopyIn != nil:
		return c.copyIn(ctx, r.CopyIn)
	case r.CopyOut:
		return c.copyOut(r)
	case r.Fields != nil:
		c.backend.Send(rowDescription(r.Fields, nil))
		if err := c.sendRows(r.Rows, r.Fields, nil); err != nil {
			return err
		}
	}
	c.sendCommandComplete(r.Tag)
	return nil
}

func (c *conn) sendCommandComplete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func rowDescription(fields []engine.Field, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(fields))}
	for i, f := range fields {
		d.Fields[i] = pgproto3.FieldDescription{
			Name:         []byte(f.Name),
			DataTypeOID:  uint32(f.Type),
			DataTypeSize: f.Type.Size(),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	return d
}

// formatOf returns the format code of column or parameter i. In the protocol, no
// codes mean text for all, and a single code applies to all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return value.FormatText
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return value.FormatText
}

func (c *conn) sendRows(rows [][]any, fields []engine.Field, formats []int16) error {
	for n, row := range rows {
		dataRow := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			if v == nil {
				continue
			}
			data, err := value.Encode(v, fields[i].Type, formatOf(formats, i))
			if err != nil {
				return err
			}
			dataRow.Values[i] = data
		}
		c.backend.Send(dataRow)
		if err := c.flushIfDue(n); err != nil {
			return err
		}
	}
	return nil
}

// flushIfDue flushes the buffer after every rowsPerFlush rows.
func (c *conn) flushIfDue(row int) error {
	if row%rowsPerFlush != rowsPerFlush-1 {
		return nil
	}
	return c.backend.Flush()
}

func (c *conn) copyOut(r *engine.Result) error {
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(r.Fields))})
	for n, row := range r.Rows {
		line, err := engine.CopyLine(row, r.Fields)
		if err != nil {
			return err
		}
		c.backend.Send(&pgproto3.CopyData{Data: line})
		if err := c.flushIfDue(n); err != nil {
			return err
		}
	}
	c.backend.Send(&pgproto3.CopyDone{})
	c.sendCommandComplete(r.Tag)
	return nil
}

func (c *conn) copyIn(ctx context.Context, target *engine.CopyIn) error {
	response := &pgproto3.CopyInResponse{ColumnFormatCodes: target.Formats()}
	if target.Binary() {
		response.OverallFormat = byte(value.FormatBinary)
	}
	c.backend.Send(response)
	if err := c.backend.Flush(); err != nil {
		return err
	}
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return err
		}
		switch typed := m.(type) {
		case *pgproto3.CopyData:
			if err := target.Write(ctx, typed.Data); err != nil {
				return err
			}
		case *pgproto3.CopyDone:
			return c.finishCopyIn(ctx, target)
		case *pgproto3.CopyFail:
			return target.Abort(typed.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return unexpectedMessageError(m)
		}
	}
}

func (c *conn) finishCopyIn(ctx context.Context, target *engine.CopyIn) error {
	tag, err := target.Done(ctx)
	if err != nil {
		return err
	}
	c.sendCommandComplete(tag)
	return nil
}
