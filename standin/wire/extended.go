package wire

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/standin/engine"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// portal is a prepared statement with bound parameters.
type portal struct {
	prepared *engine.Prepared
	args     []any
	formats  []int16
	result   *engine.Result // set by the first Execute
	rowsSent int
}

func (c *conn) handleExtended(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch typed := m.(type) {
	case *pgproto3.Parse:
		if _, err := c.session.Prepare(typed.Name, typed.Query, typed.ParameterOIDs); err != nil {
			return err
		}
		c.backend.Send(&pgproto3.ParseComplete{})
		return nil
	case *pgproto3.Bind:
		return c.bind(typed)
	case *pgproto3.Describe:
		return c.describe(typed)
	case *pgproto3.Execute:
		return c.execute(ctx, typed)
	case *pgproto3.Close:
		if typed.ObjectType == 'S' {
			c.session.Forget(typed.Name)
		} else {
			delete(c.portals, typed.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return unexpectedMessageError(m)
}

func (c *conn) bind(m *pgproto3.Bind) error {
	prepared, err := c.session.Prepared(m.PreparedStatement)
	if err != nil {
		return err
	}
	if len(m.Parameters) != len(prepared.Params) {
		return sqlerr.New(sqlerr.ProtocolViolation,
			"bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(prepared.Params))
	}
	p := &portal{prepared: prepared, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, data := range m.Parameters {
		v, err := value.Decode(data, prepared.Params[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		p.args = append(p.args, v)
	}
	c.portals[m.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *conn) lookupPortal(name string) (*portal, error) {
	p, ok := c.portals[name]
	if !ok {
		return nil, sqlerr.New(sqlerr.InvalidCursorName, "portal %q does not exist", name)
	}
	return p, nil
}

func (c *conn) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, err := c.lookupPortal(m.Name)
		if err != nil {
			return err
		}
		c.sendFields(p.prepared.Fields, p.formats)
		return nil
	}
	prepared, err := c.session.Prepared(m.Name)
	if err != nil {
		return err
	}
	d := &pgproto3.ParameterDescription{}
	for _, t := range prepared.Params {
		d.ParameterOIDs = append(d.ParameterOIDs, uint32(t))
	}
	c.backend.Send(d)
	c.sendFields(prepared.Fields, nil)
	return nil
}

func (c *conn) sendFields(fields []engine.Field, formats []int16) {
	if fields == nil {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(rowDescription(fields, formats))
}

func (c *conn) execute(ctx context.Context, m *pgproto3.Execute) error {
	p, err := c.lookupPortal(m.Portal)
	if err != nil {
		return err
	}
	if p.prepared.Parsed == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, finish := c.cancelTarget.beginStatement(ctx)
	defer finish()
	if p.result == nil {
		if p.result, err = c.session.Execute(ctx, p.prepared.Parsed, p.args); err != nil {
			return err
		}
	}
	switch {
	case p.result.CopyIn != nil:
		return c.copyIn(ctx, p.result.CopyIn)
	case p.result.CopyOut:
		return c.copyOut(p.result)
	}
	return c.sendPortalRows(p, int(m.MaxRows))
}

// sendPortalRows sends the remaining rows of a portal, or at most limit rows if limit
// is not 0.
func (c *conn) sendPortalRows(p *portal, limit int) error {
	rows := p.result.Rows[p.rowsSent:]
	suspended := limit > 0 && len(rows) > limit
	if suspended {
		rows = rows[:limit]
	}
	p.rowsSent += len(rows)
	if err := c.sendRows(rows, p.prepared.Fields, p.formats); err != nil {
		return err
	}
	if suspended {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.sendCommandComplete(p.result.Tag)
	return nil
}
