package engine

import (
	"strconv"

	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

func (e *env) statement(statement sql.Statement) (*Result, error) {
	switch typed := statement.(type) {
	case *sql.Select:
		return e.selectStatement(typed)
	case *sql.Insert:
		return e.insert(typed)
	case *sql.Update:
		return e.update(typed)
	case *sql.Delete:
		return e.delete(typed)
	case *sql.Copy:
		return e.copy(typed)
	case *sql.CreateTable:
		return e.createTable(typed)
	case *sql.CreateIndex:
		return &Result{Tag: "CREATE INDEX"}, e.session.allowWrite("CREATE INDEX")
	case *sql.DropTable:
		return e.dropTable(typed)
	case *sql.Prepare:
		return e.prepare(typed)
	case *sql.Execute:
		return e.execute(typed)
	case *sql.AlterSystem:
		return e.alterSystem(typed)
	}
	return e.session.control(statement)
}

// control runs the statements that act on the session only.
func (s *Session) control(statement sql.Statement) (*Result, error) {
	switch typed := statement.(type) {
	case *sql.Begin:
		return s.beginBlock(typed)
	case *sql.Commit:
		return s.endBlock("COMMIT")
	case *sql.Rollback:
		return s.endBlock("ROLLBACK")
	case *sql.Set:
		return s.set(typed)
	case *sql.Reset:
		return &Result{Tag: "RESET"}, s.settings.reset(typed.Name)
	case *sql.Show:
		text, err := s.show(typed.Name)
		return &Result{Tag: "SHOW", Fields: []Field{{typed.Name, value.Text}}, Rows: [][]any{{text}}}, err
	case *sql.Listen:
		return &Result{Tag: typed.Command}, nil
	case *sql.Deallocate:
		return s.deallocate(typed.Name)
	case *sql.DiscardAll:
		return s.discardAll()
	}
	return nil, sqlerr.New(sqlerr.FeatureNotSupported, "statement is not supported")
}

func (s *Session) beginBlock(b *sql.Begin) (*Result, error) {
	if !s.explicit && b.ReadOnly != nil {
		s.readOnly = *b.ReadOnly || s.Server.InRecovery()
	}
	s.explicit = true
	return &Result{Tag: "BEGIN"}, nil
}

func (s *Session) endBlock(tag string) (*Result, error) {
	if s.failed {
		tag = "ROLLBACK"
	}
	s.explicit, s.failed = false, false
	s.Audit.SetResult(s.entries[len(s.entries)-1], tag, "")
	if tag == "COMMIT" {
		s.commit()
	} else {
		s.rollback()
	}
	return &Result{Tag: tag}, nil
}

func (s *Session) set(statement *sql.Set) (*Result, error) {
	r := &Result{Tag: "SET"}
	if statement.Default {
		return r, s.settings.reset(statement.Name)
	}
	if statement.Name == "transaction_read_only" {
		wanted, err := checkSetting(statement.Name, statement.Value)
		if err != nil {
			return nil, err
		}
		s.readOnly = wanted == "on" || s.Server.InRecovery()
		return r, nil
	}
	if statement.Local {
		return r, s.settings.setLocal(statement.Name, statement.Value)
	}
	return r, s.settings.set(statement.Name, statement.Value)
}

func (s *Session) discardAll() (*Result, error) {
	if s.inBlock() {
		return nil, sqlerr.New(sqlerr.ActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	s.prepared = map[string]*Prepared{}
	s.tables.DropTemporaryTables()
	s.dropAdvisory()
	s.lastSerial = 0
	if err := s.settings.reset("all"); err != nil {
		return nil, err
	}
	return s.commitNow("DISCARD ALL"), nil
}

// commitNow ends the transaction of a command that PostgreSQL commits at once,
// even inside a pipeline; what follows runs under the settings it left.
func (s *Session) commitNow(tag string) *Result {
	s.Audit.SetResult(s.entries[len(s.entries)-1], tag, "")
	s.commit()
	return &Result{Tag: tag}
}

// inBlock reports whether other statements belong to the current transaction.
func (s *Session) inBlock() bool {
	return s.explicit || s.Multiple || len(s.entries) > 1
}

// show returns a setting; the access mode is the current transaction's.
func (s *Session) show(name string) (string, error) {
	if name == "transaction_read_only" {
		return onOff(s.readOnly), nil
	}
	return s.settings.show(name)
}

// allowWrite refuses a write in a read-only transaction.
func (s *Session) allowWrite(command string) error {
	if !s.readOnly {
		return nil
	}
	if s.Server.InRecovery() && command == "CREATE TEMP TABLE" {
		return sqlerr.New(sqlerr.ReadOnlyTransaction, "cannot create temporary tables during recovery")
	}
	return sqlerr.New(sqlerr.ReadOnlyTransaction, "cannot execute %s in a read-only transaction", command)
}

func (e *env) alterSystem(a *sql.AlterSystem) (*Result, error) {
	if e.session.inBlock() {
		return nil, sqlerr.New(sqlerr.ActiveTransaction, "ALTER SYSTEM cannot run inside a transaction block")
	}
	if a.Name != "primary_conninfo" {
		return nil, unknownSetting(a.Name)
	}
	e.session.Server.SetPrimaryConninfo(a.Value)
	return e.session.commitNow("ALTER SYSTEM"), nil
}

func count(command string, n int) string {
	return command + " " + strconv.Itoa(n)
}
