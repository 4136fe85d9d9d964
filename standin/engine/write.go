package engine

import (
	"time"

	"github.com/jayloom/jayloom/standin/commitlog"
	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/store"
	"github.com/jayloom/jayloom/standin/value"
)

// writable returns the table of a write, which a read-only transaction may only
// do to a temporary one.
func (s *Session) writable(command, name string) (*store.Table, error) {
	t, err := s.tx.Table(name)
	if err != nil {
		return nil, err
	}
	if t.Temporary {
		return t, nil
	}
	return t, s.allowWrite(command)
}

func (e *env) insert(s *sql.Insert) (*Result, error) {
	t, err := e.session.writable("INSERT", s.Table)
	if err != nil {
		return nil, err
	}
	targets, err := targetColumns(t, s.Columns)
	if err != nil {
		return nil, err
	}
	var written []store.VisibleRow
	for _, row := range s.Rows {
		values, err := e.newRow(t, targets, len(s.Columns) > 0, row)
		if err != nil {
			return nil, err
		}
		added, err := e.session.tx.Insert(e.ctx, t, values)
		switch {
		case err != nil:
			return nil, err
		case added:
			written = append(written, store.VisibleRow{Values: values})
		case !s.DoNothing:
			return nil, store.NewDuplicateKeyError(t)
		}
	}
	return e.returning(count("INSERT 0", len(written)), t, s.Returning, written)
}

func targetColumns(t *store.Table, names []string) ([]int, error) {
	var targets []int
	if len(names) == 0 {
		for i := range t.Columns {
			targets = append(targets, i)
		}
		return targets, nil
	}
	for _, name := range names {
		i, ok := t.ColumnIndex(name)
		if !ok {
			return nil, sqlerr.New(sqlerr.UndefinedColumn,
				"column %q of relation %q does not exist", name, t.Name)
		}
		targets = append(targets, i)
	}
	return targets, nil
}

func (e *env) newRow(t *store.Table, targets []int, named bool, row []sql.Expr) ([]any, error) {
	if len(row) > len(targets) {
		return nil, sqlerr.New(sqlerr.SyntaxError, "INSERT has more expressions than target columns")
	}
	if named && len(row) < len(targets) {
		return nil, sqlerr.New(sqlerr.SyntaxError, "INSERT has more target columns than expressions")
	}
	given := make([]bool, len(t.Columns))
	values := make([]any, len(t.Columns))
	for i, x := range row {
		if x == nil {
			continue
		}
		v, err := e.eval(x)
		if err != nil {
			return nil, err
		}
		given[targets[i]] = true
		values[targets[i]] = v
	}
	return values, e.session.complete(t, given, values)
}

// complete fills in defaults and checks types and NOT NULL.
func (s *Session) complete(t *store.Table, given []bool, values []any) error {
	for i, c := range t.Columns {
		if !given[i] {
			values[i] = s.defaultValue(t, c)
		}
		v, err := value.Convert(values[i], c.Type)
		if err != nil {
			return err
		}
		if v == nil && (c.NotNull || c.PrimaryKey) {
			return sqlerr.New(sqlerr.NotNullViolation,
				"null value in column %q of relation %q violates not-null constraint", c.Name, t.Name)
		}
		values[i] = v
	}
	return nil
}

func (s *Session) defaultValue(t *store.Table, c commitlog.Column) any {
	switch {
	case c.Serial:
		s.lastSerial = t.NextSerial()
		return s.lastSerial
	case c.DefaultNow:
		return time.Now()
	}
	return c.Default
}

func (e *env) update(s *sql.Update) (*Result, error) {
	t, err := e.session.writable("UPDATE", s.Table)
	if err != nil {
		return nil, err
	}
	src := &source{columns: t.Columns, table: t}
	rows, err := e.lockMatching(src, s.Where)
	if err != nil {
		return nil, err
	}
	for i, r := range rows {
		values, err := e.assigned(t, s.Set, r.Values)
		if err != nil {
			return nil, err
		}
		if err := e.session.tx.Update(e.ctx, t, r.ID, r.Values, values); err != nil {
			return nil, err
		}
		rows[i].Values = values
	}
	return e.returning(count("UPDATE", len(rows)), t, s.Returning, rows)
}

func (e *env) assigned(t *store.Table, set []sql.Assignment, old []any) ([]any, error) {
	e.row = old
	given := make([]bool, len(old))
	for i := range given {
		given[i] = true
	}
	values := append([]any(nil), old...)
	for _, a := range set {
		i, ok := t.ColumnIndex(a.Column)
		if !ok {
			return nil, unknownColumn(a.Column)
		}
		v, err := e.eval(a.Value)
		if err != nil {
			return nil, err
		}
		values[i] = v
	}
	return values, e.session.complete(t, given, values)
}

func (e *env) delete(s *sql.Delete) (*Result, error) {
	t, err := e.session.writable("DELETE", s.Table)
	if err != nil {
		return nil, err
	}
	src := &source{columns: t.Columns, table: t}
	rows, err := e.lockMatching(src, s.Where)
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		e.session.tx.Delete(t, r.ID, r.Values)
	}
	return e.returning(count("DELETE", len(rows)), t, s.Returning, rows)
}

// lockMatching locks the matching rows and returns them as they are once all are
// locked; a row that changed while its lock was waited for is matched again.
func (e *env) lockMatching(src *source, where sql.Expr) ([]store.VisibleRow, error) {
	e.columns = src.columns
	for {
		rows, err := e.matching(src, where)
		if err != nil {
			return nil, err
		}
		complete := true
		for _, r := range rows {
			if e.session.tx.HoldsRowLock(src.table, r.ID, r.Values) {
				continue
			}
			complete = false
			if err := e.session.tx.LockRow(e.ctx, src.table, r.ID, r.Values); err != nil {
				return nil, err
			}
		}
		if complete {
			return rows, nil
		}
	}
}

func (e *env) returning(tag string, t *store.Table, items []sql.Item, rows []store.VisibleRow) (*Result, error) {
	if items == nil {
		return &Result{Tag: tag}, nil
	}
	src := &source{columns: t.Columns, table: t}
	fields, err := e.session.fields(items, src, paramTypes(e.params))
	if err != nil {
		return nil, err
	}
	e.columns = t.Columns
	output, err := e.project(items, rows)
	return &Result{Tag: tag, Fields: fields, Rows: output}, err
}

func (e *env) createTable(s *sql.CreateTable) (*Result, error) {
	command := "CREATE TABLE"
	if s.Temporary {
		command = "CREATE TEMP TABLE"
	}
	if err := e.session.allowWrite(command); err != nil {
		return nil, err
	}
	var columns []commitlog.Column
	for _, d := range s.Columns {
		c, err := e.columnOf(d)
		if err != nil {
			return nil, err
		}
		columns = append(columns, c)
	}
	created, err := e.session.tx.CreateTable(e.ctx, s.Table, columns, s.Temporary)
	if err != nil {
		return nil, err
	}
	if !created && !s.IfNotExists {
		return nil, sqlerr.New(sqlerr.DuplicateTable, "relation %q already exists", s.Table)
	}
	return &Result{Tag: "CREATE TABLE"}, nil
}

func (e *env) columnOf(d sql.ColumnDef) (commitlog.Column, error) {
	t, err := value.TypeByName(d.Type)
	if err != nil {
		return commitlog.Column{}, err
	}
	c := commitlog.Column{
		Name:       d.Name,
		Type:       t,
		PrimaryKey: d.PrimaryKey,
		NotNull:    d.NotNull,
		Serial:     d.Type == "serial" || d.Type == "bigserial",
	}
	if call, ok := d.Default.(*sql.Call); ok && functions[call.Name].result == value.Timestamptz {
		c.DefaultNow = true
		return c, nil
	}
	if d.Default != nil {
		c.Default, err = e.eval(d.Default)
	}
	return c, err
}

func (e *env) dropTable(s *sql.DropTable) (*Result, error) {
	if err := e.session.allowWrite("DROP TABLE"); err != nil {
		return nil, err
	}
	if !e.session.tx.DropTable(s.Table) && !s.IfExists {
		return nil, sqlerr.New(sqlerr.UndefinedTable, "table %q does not exist", s.Table)
	}
	return &Result{Tag: "DROP TABLE"}, nil
}
