package engine

import (
	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// Prepared is a parsed statement with the types of its parameters and columns.
type Prepared struct {
	// Parsed is nil for an empty query.
	Parsed *sql.Parsed
	Params []value.Type
	// Fields is nil for statements that return no rows.
	Fields []Field
}

// Prepare parses text and keeps it under name; the empty name may be replaced.
// oids are the parameter types that the client states, 0 for those it does not.
func (s *Session) Prepare(name, text string, oids []uint32) (*Prepared, error) {
	list, err := sql.Parse(text)
	if err != nil {
		return nil, err
	}
	if len(list) > 1 {
		return nil, sqlerr.New(sqlerr.SyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	if _, taken := s.prepared[name]; taken && name != "" {
		return nil, sqlerr.New(sqlerr.DuplicateStatement, "prepared statement %q already exists", name)
	}
	p := &Prepared{}
	if len(list) == 1 {
		if p, err = s.analyze(list[0], oids); err != nil {
			return nil, err
		}
	}
	s.prepared[name] = p
	return p, nil
}

// Prepared returns a statement by name.
func (s *Session) Prepared(name string) (*Prepared, error) {
	p, ok := s.prepared[name]
	if !ok {
		return nil, sqlerr.New(sqlerr.InvalidStatementName, "prepared statement %q does not exist", name)
	}
	return p, nil
}

// Forget drops a prepared statement; an unknown name is no error, as in the protocol.
func (s *Session) Forget(name string) { delete(s.prepared, name) }

func (s *Session) analyze(p *sql.Parsed, oids []uint32) (*Prepared, error) {
	if s.failed && !endsTransaction(p.Statement) {
		return nil, errFailed()
	}
	s.begin()
	types := make([]value.Type, max(p.Params, len(oids)))
	for i, oid := range oids {
		types[i] = value.Type(oid)
	}
	if err := s.inferParams(p.Statement, types); err != nil {
		return nil, err
	}
	for i, t := range types {
		if t == value.Unknown {
			types[i] = value.Text
		}
	}
	fields, err := s.fieldsOf(p.Statement, types)
	return &Prepared{Parsed: p, Params: types, Fields: fields}, err
}

func (s *Session) fieldsOf(statement sql.Statement, params []value.Type) ([]Field, error) {
	switch typed := statement.(type) {
	case *sql.Select:
		src, err := s.source(typed.From)
		if err != nil {
			return nil, err
		}
		return s.fields(typed.Items, src, params)
	case *sql.Insert:
		return s.returningFields(typed.Table, typed.Returning, params)
	case *sql.Update:
		return s.returningFields(typed.Table, typed.Returning, params)
	case *sql.Delete:
		return s.returningFields(typed.Table, typed.Returning, params)
	case *sql.Show:
		return []Field{{typed.Name, value.Text}}, nil
	case *sql.Execute:
		p, err := s.Prepared(typed.Name)
		if err != nil {
			return nil, err
		}
		return p.Fields, nil
	}
	return nil, nil
}

func (s *Session) returningFields(table string, items []sql.Item, params []value.Type) ([]Field, error) {
	src, err := s.source(&sql.From{Name: table})
	if err != nil || items == nil {
		return nil, err
	}
	return s.fields(items, src, params)
}

// fields returns the columns that a SELECT or RETURNING list yields.
func (s *Session) fields(items []sql.Item, src *source, params []value.Type) ([]Field, error) {
	fields := make([]Field, 0, len(items))
	for _, item := range items {
		if item.Star {
			for _, c := range src.columns {
				fields = append(fields, Field{c.Name, c.Type})
			}
			continue
		}
		t, err := s.typeOf(item.Expr, src, params)
		if err != nil {
			return nil, err
		}
		fields = append(fields, Field{fieldName(item), t})
	}
	return fields, nil
}

func fieldName(item sql.Item) string {
	if item.Alias != "" {
		return item.Alias
	}
	switch typed := item.Expr.(type) {
	case *sql.Column:
		return typed.Name
	case *sql.Call:
		return typed.Name
	case *sql.Case:
		return "case"
	case *sql.Extract:
		return "extract"
	case *sql.Cast:
		if c, ok := typed.Value.(*sql.Column); ok {
			return c.Name
		}
	case *sql.Subquery:
		if first := typed.Select.Items[0]; !first.Star {
			return fieldName(first)
		}
	}
	return "?column?"
}

func (e *env) prepare(s *sql.Prepare) (*Result, error) {
	if _, taken := e.session.prepared[s.Name]; taken {
		return nil, sqlerr.New(sqlerr.DuplicateStatement, "prepared statement %q already exists", s.Name)
	}
	var oids []uint32
	for _, name := range s.Types {
		t, err := value.TypeByName(name)
		if err != nil {
			return nil, err
		}
		oids = append(oids, uint32(t))
	}
	p, err := e.session.analyze(s.Body, oids)
	if err != nil {
		return nil, err
	}
	e.session.prepared[s.Name] = p
	return &Result{Tag: "PREPARE"}, nil
}

func (e *env) execute(s *sql.Execute) (*Result, error) {
	p, err := e.session.Prepared(s.Name)
	if err != nil {
		return nil, err
	}
	args, err := e.evalAll(s.Args)
	if err != nil {
		return nil, err
	}
	if len(args) != len(p.Params) {
		return nil, sqlerr.New(sqlerr.SyntaxError, "wrong number of parameters for prepared statement %q", s.Name)
	}
	for i := range args {
		if args[i], err = value.Convert(args[i], p.Params[i]); err != nil {
			return nil, err
		}
	}
	inner := &env{session: e.session, ctx: e.ctx, params: args}
	return inner.statement(p.Parsed.Statement)
}

func (s *Session) deallocate(name string) (*Result, error) {
	if name == "all" {
		s.prepared = map[string]*Prepared{}
		return &Result{Tag: "DEALLOCATE ALL"}, nil
	}
	if _, err := s.Prepared(name); err != nil {
		return nil, err
	}
	s.Forget(name)
	return &Result{Tag: "DEALLOCATE"}, nil
}
