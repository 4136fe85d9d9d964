package engine

import (
	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/value"
)

func paramTypes(params []any) []value.Type {
	types := make([]value.Type, len(params))
	for i, p := range params {
		types[i] = value.TypeOf(p)
	}
	return types
}

// typeOf returns the type of an expression.
func (s *Session) typeOf(x sql.Expr, src *source, params []value.Type) (value.Type, error) {
	switch typed := x.(type) {
	case *sql.Literal:
		if n, ok := typed.Value.(int64); ok && n == int64(int32(n)) {
			return value.Int4, nil
		}
		return value.TypeOf(typed.Value), nil
	case *sql.Param:
		if typed.Number <= len(params) {
			return params[typed.Number-1], nil
		}
		return value.Text, nil
	case *sql.Column:
		for _, c := range src.columns {
			if c.Name == typed.Name {
				return c.Type, nil
			}
		}
		return 0, unknownColumn(typed.Name)
	case *sql.Call:
		return s.typeOfCall(typed, src, params)
	case *sql.Binary:
		return s.typeOfBinary(typed, src, params)
	case *sql.Not, *sql.IsNull, *sql.In:
		return value.Bool, nil
	case *sql.Case:
		return s.typeOf(typed.Whens[0].Result, src, params)
	case *sql.Cast:
		return value.TypeByName(typed.Type)
	case *sql.Extract:
		return value.Numeric, nil
	case *sql.Subquery:
		fields, err := s.fieldsOf(typed.Select, params)
		if err != nil || len(fields) == 0 {
			return value.Text, err
		}
		return fields[0].Type, nil
	}
	return value.Text, nil
}

func (s *Session) typeOfCall(c *sql.Call, src *source, params []value.Type) (value.Type, error) {
	switch c.Name {
	case "count":
		return value.Int8, nil
	case "coalesce", "min", "max":
		if len(c.Args) == 0 {
			return 0, unknownFunction(c.Name)
		}
		return s.typeOf(c.Args[0], src, params)
	case "sum":
		return s.typeOfSum(c, src, params)
	}
	f, ok := functions[c.Name]
	if !ok {
		return 0, unknownFunction(c.Name)
	}
	return f.result, nil
}

// typeOfSum keeps bigint for sums of integers; PostgreSQL widens a sum of bigint
// to numeric, which drivers read into the same integer.
func (s *Session) typeOfSum(c *sql.Call, src *source, params []value.Type) (value.Type, error) {
	if len(c.Args) != 1 {
		return 0, unknownFunction(c.Name)
	}
	t, err := s.typeOf(c.Args[0], src, params)
	if t == value.Int4 {
		t = value.Int8
	}
	return t, err
}

func (s *Session) typeOfBinary(b *sql.Binary, src *source, params []value.Type) (value.Type, error) {
	switch b.Op {
	case "+", "-", "*", "/", "%":
	case "||":
		return value.Text, nil
	default:
		return value.Bool, nil
	}
	left, err := s.typeOf(b.Left, src, params)
	if err != nil {
		return 0, err
	}
	right, err := s.typeOf(b.Right, src, params)
	if err != nil {
		return 0, err
	}
	return arithmeticType(left, right), nil
}

func arithmeticType(left, right value.Type) value.Type {
	switch {
	case left == value.Int4 && right == value.Int4:
		return value.Int4
	case left == value.Float8 || right == value.Float8:
		return value.Float8
	case isInteger(left) && isInteger(right), left == value.LSNType:
		return value.Int8
	}
	return value.Numeric
}

func isInteger(t value.Type) bool { return t == value.Int4 || t == value.Int8 }

// inferParams gives each parameter without a type the type of what it is
// compared with or assigned to.
func (s *Session) inferParams(statement sql.Statement, types []value.Type) error {
	switch typed := statement.(type) {
	case *sql.Select:
		return s.inferSelect(typed, types)
	case *sql.Insert:
		return s.inferInsert(typed, types)
	case *sql.Update:
		return s.inferUpdate(typed, types)
	case *sql.Delete:
		src, err := s.source(&sql.From{Name: typed.Table})
		if err != nil {
			return err
		}
		s.inferExpr(typed.Where, src, types)
	}
	return nil
}

func (s *Session) inferSelect(q *sql.Select, types []value.Type) error {
	src, err := s.source(q.From)
	if err != nil {
		return err
	}
	for _, item := range q.Items {
		s.inferExpr(item.Expr, src, types)
	}
	s.inferExpr(q.Where, src, types)
	learn(q.Limit, value.Int8, types)
	learn(q.Offset, value.Int8, types)
	return nil
}

func (s *Session) inferInsert(q *sql.Insert, types []value.Type) error {
	t, err := s.tx.Table(q.Table)
	if err != nil {
		return err
	}
	targets, err := targetColumns(t, q.Columns)
	if err != nil {
		return err
	}
	src := &source{columns: t.Columns, table: t}
	for _, row := range q.Rows {
		for i, x := range row {
			if i < len(targets) {
				learn(x, t.Columns[targets[i]].Type, types)
			}
			s.inferExpr(x, src, types)
		}
	}
	return nil
}

func (s *Session) inferUpdate(q *sql.Update, types []value.Type) error {
	src, err := s.source(&sql.From{Name: q.Table})
	if err != nil {
		return err
	}
	for _, a := range q.Set {
		for _, c := range src.columns {
			if c.Name == a.Column {
				learn(a.Value, c.Type, types)
			}
		}
		s.inferExpr(a.Value, src, types)
	}
	s.inferExpr(q.Where, src, types)
	return nil
}

func (s *Session) inferExpr(x sql.Expr, src *source, types []value.Type) {
	walk(x, func(x sql.Expr) {
		switch typed := x.(type) {
		case *sql.Binary:
			s.inferPair(typed.Left, typed.Right, src, types)
			s.inferPair(typed.Right, typed.Left, src, types)
		case *sql.In:
			for _, candidate := range typed.List {
				s.inferPair(typed.Value, candidate, src, types)
			}
		case *sql.Cast:
			if t, err := value.TypeByName(typed.Type); err == nil {
				learn(typed.Value, t, types)
			}
		case *sql.Call:
			if typed.Name == "pg_sleep" && len(typed.Args) == 1 {
				learn(typed.Args[0], value.Float8, types)
			}
		case *sql.Subquery:
			// Errors show when the subquery is analyzed for its columns.
			_ = s.inferSelect(typed.Select, types)
		}
	})
}

func (s *Session) inferPair(known, x sql.Expr, src *source, types []value.Type) {
	if _, isParam := x.(*sql.Param); !isParam {
		return
	}
	if t, err := s.typeOf(known, src, types); err == nil {
		learn(x, t, types)
	}
}

func learn(x sql.Expr, t value.Type, types []value.Type) {
	p, ok := x.(*sql.Param)
	if ok && types[p.Number-1] == value.Unknown {
		types[p.Number-1] = t
	}
}
