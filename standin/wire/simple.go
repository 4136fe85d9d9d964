package wire

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/standin/engine"
	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/value"
)

// flushRows is how many rows are collected before they are sent.
const flushRows = 256

// simple runs a simple query: its statements form one implicit transaction. Its
// answer is sent after the commit, because complete messages wait for ready.
func (k *conn) simple(ctx context.Context, text string) {
	statements, err := sql.Parse(text)
	if err != nil {
		k.sendError("ERROR", k.session.Fail(err))
		return
	}
	if len(statements) == 0 {
		k.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	k.session.Multiple = len(statements) > 1
	defer func() { k.session.Multiple = false }()
	for _, p := range statements {
		if err := k.runSimple(ctx, p); err != nil {
			k.sendError("ERROR", k.session.Fail(err))
			return
		}
	}
	k.session.EndImplicit()
}

func (k *conn) runSimple(ctx context.Context, p *sql.Parsed) error {
	ctx, stop := k.cancel.start(ctx)
	defer stop()
	r, err := k.session.Execute(ctx, p, nil)
	if err != nil {
		return err
	}
	switch {
	case r.CopyIn != nil:
		return k.copyIn(ctx, r.CopyIn)
	case r.CopyOut:
		return k.copyOut(r)
	case r.Fields != nil:
		k.backend.Send(rowDescription(r.Fields, nil))
		if err := k.sendRows(r.Rows, r.Fields, nil); err != nil {
			return err
		}
	}
	k.complete(r.Tag)
	return nil
}

func (k *conn) complete(tag string) {
	k.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
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

// formatOf applies the protocol's rule: no code means text, one code is for all.
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

func (k *conn) sendRows(rows [][]any, fields []engine.Field, formats []int16) error {
	for n, row := range rows {
		line := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			if v == nil {
				continue
			}
			data, err := value.Encode(v, fields[i].Type, formatOf(formats, i))
			if err != nil {
				return err
			}
			line.Values[i] = data
		}
		k.backend.Send(line)
		if err := k.flushAfter(n); err != nil {
			return err
		}
	}
	return nil
}

// flushAfter sends what is collected after every flushRows rows.
func (k *conn) flushAfter(row int) error {
	if row%flushRows != flushRows-1 {
		return nil
	}
	return k.backend.Flush()
}

func (k *conn) copyOut(r *engine.Result) error {
	k.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(r.Fields))})
	for n, row := range r.Rows {
		line, err := engine.CopyLine(row, r.Fields)
		if err != nil {
			return err
		}
		k.backend.Send(&pgproto3.CopyData{Data: line})
		if err := k.flushAfter(n); err != nil {
			return err
		}
	}
	k.backend.Send(&pgproto3.CopyDone{})
	k.complete(r.Tag)
	return nil
}

func (k *conn) copyIn(ctx context.Context, c *engine.CopyIn) error {
	response := &pgproto3.CopyInResponse{ColumnFormatCodes: c.Formats()}
	if c.Binary() {
		response.OverallFormat = byte(value.FormatBinary)
	}
	k.backend.Send(response)
	if err := k.backend.Flush(); err != nil {
		return err
	}
	for {
		m, err := k.backend.Receive()
		if err != nil {
			return err
		}
		switch typed := m.(type) {
		case *pgproto3.CopyData:
			if err := c.Write(ctx, typed.Data); err != nil {
				return err
			}
		case *pgproto3.CopyDone:
			return k.endCopyIn(ctx, c)
		case *pgproto3.CopyFail:
			return c.Abort(typed.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return unexpected(m)
		}
	}
}

func (k *conn) endCopyIn(ctx context.Context, c *engine.CopyIn) error {
	tag, err := c.Done(ctx)
	if err != nil {
		return err
	}
	k.complete(tag)
	return nil
}
