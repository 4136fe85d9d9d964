package engine

import (
	"github.com/jayloom/jayloom/standin/commitlog"
	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/store"
	"github.com/jayloom/jayloom/standin/value"
)

// source is what FROM names: a table or a system view.
type source struct {
	columns []commitlog.Column
	table   *store.Table
	rows    func(*Session) [][]any // set for system views
}

func (s *Session) source(from *sql.From) (*source, error) {
	if from == nil {
		return &source{rows: func(*Session) [][]any { return [][]any{{}} }}, nil
	}
	if from.Call {
		if from.Name == "pg_control_checkpoint" {
			return controlCheckpoint, nil
		}
		return nil, unknownFunction(from.Name)
	}
	switch from.Name {
	case "pg_stat_wal_receiver":
		return walReceiver, nil
	case "standin_audit":
		return auditView, nil
	}
	t, err := s.tx.Table(from.Name)
	if err != nil {
		return nil, err
	}
	return &source{columns: t.Columns, table: t}, nil
}

var controlCheckpoint = &source{
	columns: []commitlog.Column{{Name: "timeline_id", Type: value.Int4}},
	rows: func(s *Session) [][]any {
		return [][]any{{int64(s.Server.Timeline())}}
	},
}

var walReceiver = &source{
	columns: []commitlog.Column{
		{Name: "status", Type: value.Text},
		{Name: "last_msg_receipt_time", Type: value.Timestamptz},
	},
	rows: func(s *Session) [][]any {
		r, ok := s.Server.Receiver()
		if !ok {
			return nil
		}
		return [][]any{{"streaming", r.LastMessage}}
	},
}

var auditView = &source{
	columns: []commitlog.Column{
		{Name: "sequence", Type: value.Int8},
		{Name: "at", Type: value.Timestamptz},
		{Name: "process", Type: value.Int8},
		{Name: "username", Type: value.Text},
		{Name: "application", Type: value.Text},
		{Name: "transaction", Type: value.Int8},
		{Name: "statement", Type: value.Text},
		{Name: "args", Type: value.Text},
		{Name: "tag", Type: value.Text},
		{Name: "sqlstate", Type: value.Text},
		{Name: "outcome", Type: value.Text},
		{Name: "position", Type: value.Text},
	},
	rows: auditRows,
}

func auditRows(s *Session) [][]any {
	entries := s.Audit.Entries()
	rows := make([][]any, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, []any{
			int64(e.Sequence), e.At, int64(e.Process), e.User, e.Application, int64(e.Transaction),
			e.Statement, joinArgs(e.Args), e.Tag, e.SQLState, e.Outcome, e.Position,
		})
	}
	return rows
}
