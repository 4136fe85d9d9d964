// Package audit records every statement that the stand-in executes, so that a
// test can find a doubled, lost or mixed write.
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

// Entry is one statement.
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
	// Position is the end of the log behind the commit.
	Position string `json:"position,omitempty"`
}

// Log keeps the newest entries, and writes each to a file once its outcome is known.
type Log struct {
	mu       sync.Mutex
	entries  []*Entry
	keep     int
	sequence uint64
	encoder  *json.Encoder
	writeErr error
}

// New returns a log that keeps so many entries in memory; file may be nil.
func New(keep int, file io.Writer) *Log {
	l := &Log{keep: keep}
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
	// Halving keeps the cost of dropping old entries constant per entry.
	if len(l.entries) >= l.keep {
		l.entries = append([]*Entry(nil), l.entries[len(l.entries)-l.keep/2:]...)
	}
	l.entries = append(l.entries, stored)
	return stored
}

// SetResult sets how a statement ended.
func (l *Log) SetResult(e *Entry, tag, sqlState string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Tag, e.SQLState = tag, sqlState
}

// FinishTransaction sets the outcome of a transaction's statements.
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
	list := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		list = append(list, *e)
	}
	return list
}

// Err returns the first error of writing the file.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writeErr
}
