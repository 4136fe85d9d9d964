package engine

import (
	"context"
	"time"

	"github.com/jayloom/jayloom/standin/commitlog"
	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// env is what an expression is evaluated in.
type env struct {
	session    *Session
	ctx        context.Context
	params     []any
	columns    []commitlog.Column
	row        []any
	aggregates map[*sql.Call]any
}

func (e *env) eval(x sql.Expr) (any, error) {
	switch typed := x.(type) {
	case *sql.Literal:
		return typed.Value, nil
	case *sql.Param:
		return e.param(typed)
	case *sql.Column:
		return e.column(typed.Name)
	case *sql.Call:
		return e.call(typed)
	case *sql.Binary:
		return e.binary(typed)
	case *sql.Not:
		v, err := e.eval(typed.Value)
		if v == nil || err != nil {
			return nil, err
		}
		return v != true, nil
	case *sql.IsNull:
		v, err := e.eval(typed.Value)
		return (v == nil) != typed.Negate, err
	case *sql.In:
		return e.in(typed)
	case *sql.Case:
		return e.caseOf(typed)
	case *sql.Cast:
		return e.cast(typed)
	case *sql.Extract:
		return e.extract(typed)
	case *sql.Subquery:
		return e.subquery(typed)
	}
	return nil, sqlerr.New(sqlerr.Internal, "unknown expression")
}

func (e *env) evalAll(list []sql.Expr) ([]any, error) {
	values := make([]any, len(list))
	for i, x := range list {
		v, err := e.eval(x)
		if err != nil {
			return nil, err
		}
		values[i] = v
	}
	return values, nil
}

func (e *env) param(p *sql.Param) (any, error) {
	if p.Number > len(e.params) {
		return nil, sqlerr.New("42P02", "there is no parameter $%d", p.Number)
	}
	return e.params[p.Number-1], nil
}

func (e *env) column(name string) (any, error) {
	for i, c := range e.columns {
		if c.Name == name && i < len(e.row) {
			return e.row[i], nil
		}
	}
	return nil, unknownColumn(name)
}

func unknownColumn(name string) error {
	return sqlerr.New(sqlerr.UndefinedColumn, "column %q does not exist", name)
}

func (e *env) binary(b *sql.Binary) (any, error) {
	left, err := e.eval(b.Left)
	if err != nil {
		return nil, err
	}
	if b.Op == "and" || b.Op == "or" {
		return e.logical(b, left)
	}
	right, err := e.eval(b.Right)
	if err != nil || left == nil || right == nil {
		return nil, err
	}
	switch b.Op {
	case "=", "<>", "<", ">", "<=", ">=":
		order, err := value.Compare(left, right)
		return compared(b.Op, order), err
	case "||":
		return value.Format(left) + value.Format(right), nil
	}
	return arithmetic(b.Op, left, right)
}

// logical follows SQL's three-valued logic; the right side is only evaluated if
// it decides.
func (e *env) logical(b *sql.Binary, left any) (any, error) {
	deciding := b.Op == "or"
	if left == deciding {
		return deciding, nil
	}
	right, err := e.eval(b.Right)
	switch {
	case err != nil:
		return nil, err
	case right == deciding:
		return deciding, nil
	case left == nil || right == nil:
		return nil, nil
	}
	return !deciding, nil
}

func compared(op string, order int) bool {
	switch op {
	case "=":
		return order == 0
	case "<>":
		return order != 0
	case "<":
		return order < 0
	case ">":
		return order > 0
	case "<=":
		return order <= 0
	}
	return order >= 0
}

func arithmetic(op string, left, right any) (any, error) {
	if l, ok := left.(time.Time); ok && op == "-" {
		if r, ok := right.(time.Time); ok {
			return l.Sub(r).Seconds(), nil
		}
	}
	if l, ok := left.(value.LSN); ok && op == "-" {
		if r, ok := right.(value.LSN); ok {
			return int64(l) - int64(r), nil
		}
	}
	l, leftInt := left.(int64)
	r, rightInt := right.(int64)
	if leftInt && rightInt {
		return integerArithmetic(op, l, r)
	}
	x, err := value.Convert(left, value.Numeric)
	if err != nil {
		return nil, err
	}
	y, err := value.Convert(right, value.Numeric)
	if err != nil {
		return nil, err
	}
	return floatArithmetic(op, x.(float64), y.(float64))
}

func integerArithmetic(op string, l, r int64) (any, error) {
	switch op {
	case "+":
		return l + r, nil
	case "-":
		return l - r, nil
	case "*":
		return l * r, nil
	}
	if r == 0 {
		return nil, sqlerr.New(sqlerr.DivisionByZero, "division by zero")
	}
	if op == "%" {
		return l % r, nil
	}
	return l / r, nil
}

func floatArithmetic(op string, x, y float64) (any, error) {
	switch op {
	case "+":
		return x + y, nil
	case "-":
		return x - y, nil
	case "*":
		return x * y, nil
	case "/":
		if y == 0 {
			return nil, sqlerr.New(sqlerr.DivisionByZero, "division by zero")
		}
		return x / y, nil
	}
	return nil, sqlerr.New(sqlerr.UndefinedFunction, "operator %s does not exist for these types", op)
}

func (e *env) in(in *sql.In) (any, error) {
	v, err := e.eval(in.Value)
	if v == nil || err != nil {
		return nil, err
	}
	for _, x := range in.List {
		candidate, err := e.eval(x)
		if err != nil {
			return nil, err
		}
		if candidate == nil {
			continue
		}
		if order, err := value.Compare(v, candidate); err != nil || order == 0 {
			return !in.Negate, err
		}
	}
	return in.Negate, nil
}

func (e *env) caseOf(c *sql.Case) (any, error) {
	for _, w := range c.Whens {
		holds, err := e.eval(w.Condition)
		if err != nil {
			return nil, err
		}
		if holds == true {
			return e.eval(w.Result)
		}
	}
	if c.Else == nil {
		return nil, nil
	}
	return e.eval(c.Else)
}

func (e *env) cast(c *sql.Cast) (any, error) {
	t, err := value.TypeByName(c.Type)
	if err != nil {
		return nil, err
	}
	v, err := e.eval(c.Value)
	if err != nil {
		return nil, err
	}
	return value.Convert(v, t)
}

// extract supports the epoch of an interval, which this package holds in seconds,
// and of a time.
func (e *env) extract(x *sql.Extract) (any, error) {
	if x.Field != "epoch" {
		return nil, sqlerr.New(sqlerr.FeatureNotSupported, "EXTRACT(%s) is not supported", x.Field)
	}
	v, err := e.eval(x.Value)
	if err != nil {
		return nil, err
	}
	if t, ok := v.(time.Time); ok {
		return float64(t.UnixMicro()) / 1e6, nil
	}
	return v, nil
}

func (e *env) subquery(q *sql.Subquery) (any, error) {
	inner := &env{session: e.session, ctx: e.ctx, params: e.params}
	r, err := inner.selectStatement(q.Select)
	switch {
	case err != nil:
		return nil, err
	case len(r.Rows) == 0:
		return nil, nil
	case len(r.Rows) > 1:
		return nil, sqlerr.New("21000", "more than one row returned by a subquery used as an expression")
	}
	return r.Rows[0][0], nil
}
