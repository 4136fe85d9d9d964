// Package engine executes statements for one client of the stand-in.
package engine

import (
	"context"
	"time"

	"github.com/jayloom/jayloom/standin/audit"
	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/store"
	"github.com/jayloom/jayloom/standin/value"
)

// Receiver describes the stream from the primary.
type Receiver struct {
	LastMessage time.Time
}

// Server is what sessions ask about the server they run on.
type Server interface {
	InRecovery() bool
	Timeline() uint32
	// Replayed is false on a server that never was a replica.
	Replayed() (value.LSN, bool)
	// Receiver is false while no primary streams to this server.
	Receiver() (Receiver, bool)
	Promote(ctx context.Context) error
	SetPrimaryConninfo(conninfo string)
	ReloadSettings()
}

// Options are the session's fixed properties.
type Options struct {
	Server      Server
	Store       *store.Store
	Audit       *audit.Log
	Process     uint32
	User        string
	Database    string
	Application string
	// Startup are the settings of the startup message.
	Startup map[string]string
	// Delay is waited before each statement.
	Delay func() time.Duration
}

// Field describes a result column.
type Field struct {
	Name string
	Type value.Type
}

// Result is what one statement returned.
type Result struct {
	Tag string
	// Fields is nil for statements that return no rows.
	Fields []Field
	Rows   [][]any
	// CopyIn is set when the client is to send rows.
	CopyIn *CopyIn
	// CopyOut says that Rows go to the client as COPY data.
	CopyOut bool
}

// Session is the state of one connection. One goroutine uses it.
type Session struct {
	Options
	tables   *store.Session
	settings *settings
	prepared map[string]*Prepared

	tx       *store.Tx
	explicit bool
	failed   bool
	readOnly bool
	// Multiple is set while a simple query of several statements runs, in which
	// some commands are refused as in a transaction.
	Multiple bool
	entries  []*audit.Entry

	advisory   *store.AdvisoryLocks
	lastSerial int64
}

// NewSession returns a session in its initial state.
func NewSession(o Options) (*Session, error) {
	s := &Session{
		Options:  o,
		tables:   o.Store.NewSession(),
		settings: newSettings(o.User, o.Application),
		prepared: map[string]*Prepared{},
	}
	return s, s.settings.startup(o.Startup)
}

// Status is the transaction state of ReadyForQuery: idle, in a transaction, failed.
func (s *Session) Status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.explicit:
		return 'T'
	}
	return 'I'
}

// Execute runs one statement. Without an explicit transaction its work stays
// private until EndImplicit.
func (s *Session) Execute(ctx context.Context, p *sql.Parsed, args []any) (*Result, error) {
	ctx, stop := s.settings.withTimeout(ctx)
	defer stop()
	if err := sleep(ctx, s.Delay()); err != nil {
		return nil, s.fail(nil, err)
	}
	entry := s.record(p, args)
	r, err := s.run(ctx, p, args)
	if err != nil {
		return nil, s.fail(entry, err)
	}
	statementsOK.Inc()
	if len(s.entries) > 0 {
		s.Audit.SetResult(entry, r.Tag, "")
	}
	return r, nil
}

func (s *Session) run(ctx context.Context, p *sql.Parsed, args []any) (*Result, error) {
	if s.failed && !endsTransaction(p.Statement) {
		return nil, errFailed()
	}
	e := &env{session: s, ctx: ctx, params: args}
	return e.statement(p.Statement)
}

func endsTransaction(statement sql.Statement) bool {
	switch statement.(type) {
	case *sql.Commit, *sql.Rollback:
		return true
	}
	return false
}

func errFailed() error {
	return sqlerr.New(sqlerr.FailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}

// record adds the statement to the audit, with the transaction it belongs to.
func (s *Session) record(p *sql.Parsed, args []any) *audit.Entry {
	if !s.failed {
		s.begin()
	}
	e := audit.Entry{
		At:          time.Now(),
		Process:     s.Process,
		User:        s.User,
		Application: s.settings.get("application_name"),
		Statement:   p.Text,
	}
	if s.tx != nil {
		e.Transaction = s.tx.ID
	}
	for _, a := range args {
		e.Args = append(e.Args, value.Format(a))
	}
	entry := s.Audit.Add(e)
	s.entries = append(s.entries, entry)
	return entry
}

// begin starts a transaction if there is none. Its access mode is fixed here, as
// in PostgreSQL: a later SET default_transaction_read_only does not change it.
func (s *Session) begin() {
	if s.tx != nil {
		return
	}
	s.tx = s.tables.Begin()
	s.readOnly = s.Server.InRecovery() || s.settings.get("default_transaction_read_only") == "on"
	s.settings.begin()
}

// fail ends the transaction's work after an error.
func (s *Session) fail(entry *audit.Entry, err error) error {
	if entry != nil {
		statementsFailed.Inc()
		s.Audit.SetResult(entry, "", sqlerr.From(err).Code)
	}
	s.rollback()
	s.failed = s.explicit
	return err
}

// Fail records an error that the protocol layer met, such as an unknown portal.
func (s *Session) Fail(err error) error { return s.fail(nil, err) }

// Close rolls back what is open.
func (s *Session) Close() {
	s.rollback()
	s.explicit, s.failed = false, false
	s.dropAdvisory()
}

// EndImplicit commits the work of statements outside an explicit transaction.
func (s *Session) EndImplicit() {
	if !s.explicit && s.tx != nil {
		s.commit()
	}
}

func (s *Session) commit() {
	if s.tx == nil {
		return
	}
	commits.Inc()
	position := s.tx.Commit()
	s.tx = nil
	s.settings.commit()
	s.Audit.FinishTransaction(s.entries, audit.Committed, position.String())
	s.entries = nil
}

func (s *Session) rollback() {
	if s.tx != nil {
		rollbacks.Inc()
		s.tx.Rollback()
		s.tx = nil
		s.settings.rollback()
	}
	s.Audit.FinishTransaction(s.entries, audit.RolledBack, "")
	s.entries = nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
