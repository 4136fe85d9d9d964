package wire

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/standin/engine"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// portal is a statement bound to its parameters.
type portal struct {
	prepared *engine.Prepared
	args     []any
	formats  []int16
	result   *engine.Result // set by the first Execute
	sent     int
}

func (k *conn) extended(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch typed := m.(type) {
	case *pgproto3.Parse:
		if _, err := k.session.Prepare(typed.Name, typed.Query, typed.ParameterOIDs); err != nil {
			return err
		}
		k.backend.Send(&pgproto3.ParseComplete{})
		return nil
	case *pgproto3.Bind:
		return k.bind(typed)
	case *pgproto3.Describe:
		return k.describe(typed)
	case *pgproto3.Execute:
		return k.execute(ctx, typed)
	case *pgproto3.Close:
		if typed.ObjectType == 'S' {
			k.session.Forget(typed.Name)
		} else {
			delete(k.portals, typed.Name)
		}
		k.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return unexpected(m)
}

func (k *conn) bind(m *pgproto3.Bind) error {
	prepared, err := k.session.Prepared(m.PreparedStatement)
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
	k.portals[m.DestinationPortal] = p
	k.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (k *conn) portal(name string) (*portal, error) {
	p, ok := k.portals[name]
	if !ok {
		return nil, sqlerr.New(sqlerr.InvalidCursorName, "portal %q does not exist", name)
	}
	return p, nil
}

func (k *conn) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, err := k.portal(m.Name)
		if err != nil {
			return err
		}
		k.sendFields(p.prepared.Fields, p.formats)
		return nil
	}
	prepared, err := k.session.Prepared(m.Name)
	if err != nil {
		return err
	}
	d := &pgproto3.ParameterDescription{}
	for _, t := range prepared.Params {
		d.ParameterOIDs = append(d.ParameterOIDs, uint32(t))
	}
	k.backend.Send(d)
	k.sendFields(prepared.Fields, nil)
	return nil
}

func (k *conn) sendFields(fields []engine.Field, formats []int16) {
	if fields == nil {
		k.backend.Send(&pgproto3.NoData{})
		return
	}
	k.backend.Send(rowDescription(fields, formats))
}

func (k *conn) execute(ctx context.Context, m *pgproto3.Execute) error {
	p, err := k.portal(m.Portal)
	if err != nil {
		return err
	}
	if p.prepared.Parsed == nil {
		k.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, stop := k.cancel.start(ctx)
	defer stop()
	if p.result == nil {
		if p.result, err = k.session.Execute(ctx, p.prepared.Parsed, p.args); err != nil {
			return err
		}
	}
	switch {
	case p.result.CopyIn != nil:
		return k.copyIn(ctx, p.result.CopyIn)
	case p.result.CopyOut:
		return k.copyOut(p.result)
	}
	return k.sendPortal(p, int(m.MaxRows))
}

// sendPortal sends the next rows of a portal, at most limit of them if it is not 0.
func (k *conn) sendPortal(p *portal, limit int) error {
	rows := p.result.Rows[p.sent:]
	suspended := limit > 0 && len(rows) > limit
	if suspended {
		rows = rows[:limit]
	}
	p.sent += len(rows)
	if err := k.sendRows(rows, p.prepared.Fields, p.formats); err != nil {
		return err
	}
	if suspended {
		k.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	k.complete(p.result.Tag)
	return nil
}
