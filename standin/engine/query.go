package engine

import (
	"slices"
	"strings"

	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/store"
	"github.com/jayloom/jayloom/standin/value"
)

func (e *env) selectStatement(s *sql.Select) (*Result, error) {
	src, err := e.session.source(s.From)
	if err != nil {
		return nil, err
	}
	e.columns = src.columns
	fields, err := e.session.fields(s.Items, src, paramTypes(e.params))
	if err != nil {
		return nil, err
	}
	rows, err := e.matching(src, s.Where)
	if err != nil {
		return nil, err
	}
	if s.ForUpdate && src.table != nil {
		if rows, err = e.lockMatching(src, s.Where); err != nil {
			return nil, err
		}
	}
	if err := e.sort(rows, s.OrderBy); err != nil {
		return nil, err
	}
	output, err := e.output(s, rows)
	if err != nil {
		return nil, err
	}
	return &Result{Tag: count("SELECT", len(output)), Fields: fields, Rows: output}, nil
}

func (e *env) output(s *sql.Select, rows []store.VisibleRow) ([][]any, error) {
	aggregates := aggregatesOf(s.Items)
	if len(aggregates) > 0 {
		if err := e.aggregate(aggregates, rows); err != nil {
			return nil, err
		}
		rows = []store.VisibleRow{{}}
	}
	rows, err := e.limit(s, rows)
	if err != nil {
		return nil, err
	}
	return e.project(s.Items, rows)
}

// matching returns the rows of src for which where holds.
func (e *env) matching(src *source, where sql.Expr) ([]store.VisibleRow, error) {
	rows, err := e.candidates(src, where)
	if err != nil || where == nil {
		return rows, err
	}
	var matched []store.VisibleRow
	for _, r := range rows {
		holds, err := e.holds(where, r.Values)
		if err != nil {
			return nil, err
		}
		if holds {
			matched = append(matched, r)
		}
	}
	return matched, nil
}

func (e *env) holds(where sql.Expr, row []any) (bool, error) {
	e.row = row
	v, err := e.eval(where)
	return v == true, err
}

// candidates uses the primary key if where fixes all of its columns.
func (e *env) candidates(src *source, where sql.Expr) ([]store.VisibleRow, error) {
	if src.table == nil {
		var rows []store.VisibleRow
		for _, values := range src.rows(e.session) {
			rows = append(rows, store.VisibleRow{Values: values})
		}
		return rows, nil
	}
	key, ok, err := e.keyOf(src.table, where)
	if err != nil {
		return nil, err
	}
	if ok {
		return e.session.tx.FindByKey(src.table, key), nil
	}
	return e.session.tx.Rows(src.table), nil
}

func (e *env) keyOf(t *store.Table, where sql.Expr) (string, bool, error) {
	if len(t.KeyColumns()) == 0 || where == nil {
		return "", false, nil
	}
	fixed := map[string]sql.Expr{}
	equalities(where, fixed)
	values := make([]any, len(t.Columns))
	for _, i := range t.KeyColumns() {
		x, ok := fixed[t.Columns[i].Name]
		if !ok {
			return "", false, nil
		}
		v, err := e.eval(x)
		if err != nil || v == nil {
			return "", false, err
		}
		// A value of another type, as 1.5 for an integer, is left to the comparison.
		converted, err := value.Convert(v, t.Columns[i].Type)
		if err != nil || value.Format(converted) != value.Format(v) {
			return "", false, nil
		}
		values[i] = converted
	}
	return t.EncodeKey(values), true, nil
}

// equalities collects the conjuncts of the form column = constant.
func equalities(where sql.Expr, fixed map[string]sql.Expr) {
	b, ok := where.(*sql.Binary)
	if !ok {
		return
	}
	if b.Op == "and" {
		equalities(b.Left, fixed)
		equalities(b.Right, fixed)
		return
	}
	c, isColumn := b.Left.(*sql.Column)
	if b.Op == "=" && isColumn && constant(b.Right) {
		fixed[c.Name] = b.Right
	}
}

func constant(x sql.Expr) bool {
	switch typed := x.(type) {
	case *sql.Literal, *sql.Param:
		return true
	case *sql.Cast:
		return constant(typed.Value)
	}
	return false
}

func (e *env) sort(rows []store.VisibleRow, by []sql.Order) error {
	if len(by) == 0 {
		return nil
	}
	keys := make(map[int64][]any, len(rows))
	for i := range rows {
		// System views have no row ids; the position serves as one.
		if rows[i].ID == 0 {
			rows[i].ID = -int64(i) - 1
		}
		e.row = rows[i].Values
		list := make([]any, len(by))
		for j, o := range by {
			v, err := e.eval(o.Expr)
			if err != nil {
				return err
			}
			list[j] = v
		}
		keys[rows[i].ID] = list
	}
	var failure error
	slices.SortStableFunc(rows, func(a, b store.VisibleRow) int {
		order, err := compareKeys(keys[a.ID], keys[b.ID], by)
		if err != nil {
			failure = err
		}
		return order
	})
	return failure
}

// compareKeys puts NULL behind all values, in front of them when descending.
func compareKeys(a, b []any, by []sql.Order) (int, error) {
	for i, o := range by {
		order := 0
		var err error
		switch {
		case a[i] == nil && b[i] == nil:
		case a[i] == nil:
			order = 1
		case b[i] == nil:
			order = -1
		default:
			order, err = value.Compare(a[i], b[i])
		}
		if err != nil {
			return 0, err
		}
		if o.Descending {
			order = -order
		}
		if order != 0 {
			return order, nil
		}
	}
	return 0, nil
}

func (e *env) limit(s *sql.Select, rows []store.VisibleRow) ([]store.VisibleRow, error) {
	skip, _, err := e.rowCount(s.Offset)
	if err != nil {
		return nil, err
	}
	rows = rows[min(skip, len(rows)):]
	n, limited, err := e.rowCount(s.Limit)
	if err != nil || !limited {
		return rows, err
	}
	return rows[:min(n, len(rows))], nil
}

func (e *env) rowCount(x sql.Expr) (int, bool, error) {
	if x == nil {
		return 0, false, nil
	}
	v, err := e.eval(x)
	if err != nil || v == nil {
		return 0, false, err
	}
	n, err := value.Convert(v, value.Int8)
	if err != nil {
		return 0, false, err
	}
	if n.(int64) < 0 {
		return 0, false, sqlerr.New("2201W", "LIMIT must not be negative")
	}
	return int(n.(int64)), true, nil
}

func (e *env) project(items []sql.Item, rows []store.VisibleRow) ([][]any, error) {
	output := make([][]any, 0, len(rows))
	for _, r := range rows {
		e.row = r.Values
		line := make([]any, 0, len(items))
		for _, item := range items {
			if item.Star {
				line = append(line, r.Values...)
				continue
			}
			v, err := e.eval(item.Expr)
			if err != nil {
				return nil, err
			}
			line = append(line, v)
		}
		output = append(output, line)
	}
	return output, nil
}

func joinArgs(args []string) string { return strings.Join(args, ", ") }
