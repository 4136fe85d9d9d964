// Package audit records every statement that the stand-in executes, so that
// tests can detect duplicated, lost or mixed-up writes.
package audit

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcomes of the transaction that a statement belongs to.
const (
	Open       = "open"
	Committed  = "committed"
	RolledBack = "rolled back"
)

// Entry describes one executed statement.
type Entry struct {
	Sequence    uint64    `json:"sequence"`
	At          time.Time `json:"at"`
	Process     uint32    `json:"process"`
	User        string    `json:"user"`
	Application string    `json:"application"`
	Transaction uint64    `json:"transaction"`
	Statement   string    `json:"statement"`
	Args        []string  `json:"args,omitempty"`
	Tag         string    `json:"tag"`
	SQLState    string    `json:"sqlstate"`
	Outcome     string    `json:"outcome"`
	// Position is the end of the log after the commit.
	Position string `json:"position,omitempty"`
}

// Log keeps the newest entries in memory and writes each entry to a file once its
// outcome is known.
type Log struct {
	mu       sync.Mutex
	entries  []*Entry
	capacity int
	sequence uint64
	encoder  *json.Encoder
	writeErr error
}

// New returns a log that keeps up to capacity entries in memory and writes entries to
// file, unless it is nil.
func New(capacity int, file io.Writer) *Log {
	l := &Log{capacity: capacity}
	if file != nil {
		l.encoder = json.NewEncoder(file)
	}
	return l
}

// Add records a statement whose transaction is open.
func (l *Log) Add(e Entry) *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	e.Sequence = l.sequence
	e.Outcome = Open
	stored := &e
	// Dropping half of the entries at once keeps the amortized cost per entry
	// constant.
	if len(l.entries) >= l.capacity {
		l.entries = append([]*Entry(nil), l.entries[len(l.entries)-l.capacity/2:]...)
	}
	l.entries = append(l.entries, stored)
	return stored
}

// SetResult sets the command tag and SQLSTATE of a statement.
func (l *Log) SetResult(e *Entry, tag, sqlState string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Tag, e.SQLState = tag, sqlState
}

// FinishTransaction sets the outcome of a transaction's statements and writes them to
// the file.
func (l *Log) FinishTransaction(entries []*Entry, outcome, position string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		e.Outcome = outcome
		e.Position = position
		if l.encoder == nil {
			continue
		}
		if err := l.encoder.Encode(e); err != nil && l.writeErr == nil {
			l.writeErr = errors.Wrap(err, "write audit file")
		}
	}
}

// Entries returns copies of the entries in memory, oldest first.
func (l *Log) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	copies := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		copies = append(copies, *e)
	}
	return copies
}

// Err returns the first error that occurred while writing the file.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writeErr
}
