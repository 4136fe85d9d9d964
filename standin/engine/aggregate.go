package engine

import (
	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/store"
	"github.com/jayloom/jayloom/standin/value"
)

var aggregateNames = map[string]bool{"count": true, "sum": true, "min": true, "max": true}

// aggregatesOf returns the aggregate calls of a SELECT list.
func aggregatesOf(items []sql.Item) []*sql.Call {
	var calls []*sql.Call
	for _, item := range items {
		walk(item.Expr, func(x sql.Expr) {
			if c, ok := x.(*sql.Call); ok && aggregateNames[c.Name] {
				calls = append(calls, c)
			}
		})
	}
	return calls
}

// walk calls f for x and the expressions in it; subqueries are left out.
func walk(x sql.Expr, f func(sql.Expr)) {
	if x == nil {
		return
	}
	f(x)
	for _, child := range children(x) {
		walk(child, f)
	}
}

func children(x sql.Expr) []sql.Expr {
	switch typed := x.(type) {
	case *sql.Call:
		return typed.Args
	case *sql.Binary:
		return []sql.Expr{typed.Left, typed.Right}
	case *sql.Not:
		return []sql.Expr{typed.Value}
	case *sql.IsNull:
		return []sql.Expr{typed.Value}
	case *sql.In:
		return append([]sql.Expr{typed.Value}, typed.List...)
	case *sql.Cast:
		return []sql.Expr{typed.Value}
	case *sql.Extract:
		return []sql.Expr{typed.Value}
	case *sql.Case:
		var list []sql.Expr
		for _, w := range typed.Whens {
			list = append(list, w.Condition, w.Result)
		}
		return append(list, typed.Else)
	}
	return nil
}

// aggregate computes the calls over rows and keeps the values for the projection.
func (e *env) aggregate(calls []*sql.Call, rows []store.VisibleRow) error {
	values := map[*sql.Call]any{}
	for _, c := range calls {
		v, err := e.fold(c, rows)
		if err != nil {
			return err
		}
		values[c] = v
	}
	e.aggregates = values
	return nil
}

func (e *env) fold(c *sql.Call, rows []store.VisibleRow) (any, error) {
	if c.Star {
		return int64(len(rows)), nil
	}
	if len(c.Args) != 1 {
		return nil, unknownFunction(c.Name)
	}
	var result any
	n := int64(0)
	for _, r := range rows {
		e.row = r.Values
		v, err := e.eval(c.Args[0])
		if err != nil {
			return nil, err
		}
		if v == nil {
			continue
		}
		n++
		if result, err = combine(c.Name, result, v); err != nil {
			return nil, err
		}
	}
	if c.Name == "count" {
		return n, nil
	}
	return result, nil
}

func combine(name string, result, v any) (any, error) {
	if result == nil || name == "count" {
		return v, nil
	}
	if name == "sum" {
		return arithmetic("+", result, v)
	}
	order, err := value.Compare(v, result)
	if err != nil {
		return nil, err
	}
	if (name == "min") == (order < 0) {
		return v, nil
	}
	return result, nil
}
