// Package commitlog implements the stand-in's write-ahead log: commits with their
// positions, and the timelines started by promotions.
package commitlog

import (
	"encoding/gob"
	"sort"
	"sync"
	"time"

	"github.com/jayloom/jayloom/standin/value"
)

// InitialLSN is the position of an empty log. A new PostgreSQL cluster starts at the
// same position, after its first segment.
const InitialLSN value.LSN = 0x1000000

func init() {
	gob.Register(time.Time{})
	gob.Register(value.LSN(0))
	gob.Register(value.Bytes(""))
}

// Op is the kind of a change.
type Op uint8

// Kinds of changes.
const (
	CreateTable Op = iota + 1
	DropTable
	Insert
	Update
	Delete
)

// Column describes a column of a table.
type Column struct {
	Name       string
	Type       value.Type
	PrimaryKey bool
	NotNull    bool
	// Serial columns default to the next value of the table's sequence.
	Serial bool
	// Default is the value used when none is given. DefaultNow means now().
	Default    any
	DefaultNow bool
}

// Change is one change to a row or table within a commit.
type Change struct {
	Op      Op
	Table   string
	Row     int64
	Values  []any
	Columns []Column
}

// Record is one commit, or the start of a timeline if it has no changes.
type Record struct {
	Timeline    uint32
	Start, End  value.LSN
	CommittedAt time.Time
	Changes     []Change
}

// Sizes by which a record advances the position. As in PostgreSQL, they are positive
// and grow with the content; their exact values do not matter.
const (
	recordHeaderBytes = 48
	changeHeaderBytes = 56
	valueBytes        = 8
)

// Log holds all records since InitialLSN in memory.
type Log struct {
	mu       sync.Mutex
	records  []*Record
	history  History
	appended chan struct{} // closed and replaced when a record is appended
}

// New returns an empty log of a primary, on timeline 1 with a new branch identifier.
func New() *Log {
	return &Log{history: newHistory(), appended: make(chan struct{})}
}

// NewFollower returns an empty log of a replica, which adopts the history of its
// primary.
func NewFollower() *Log {
	return &Log{appended: make(chan struct{})}
}

// Append appends a commit of this server.
func (l *Log) Append(changes []Change, at time.Time) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCommit(changes, at)
}

func (l *Log) appendCommit(changes []Change, at time.Time) *Record {
	start := l.end()
	r := &Record{
		Timeline:    l.history.Timeline(),
		Start:       start,
		End:         start + recordSize(changes),
		CommittedAt: at,
		Changes:     changes,
	}
	l.appendRecord(r)
	return r
}

// AppendReceived appends a record received from the primary with the given history.
func (l *Log) AppendReceived(r *Record, primary History) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendRecord(r)
	l.history = primary.UpTo(r.End)
}

// AdoptHistory replaces the history by the part of the primary's history that covers
// the log.
func (l *Log) AdoptHistory(primary History) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = primary.UpTo(l.end())
}

// StartTimeline begins the next timeline at the end of the log.
func (l *Log) StartTimeline(at time.Time) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = l.history.withNextTimeline(l.end())
	l.appendCommit(nil, at)
	return l.history.Timeline()
}

func (l *Log) appendRecord(r *Record) {
	l.records = append(l.records, r)
	close(l.appended)
	l.appended = make(chan struct{})
}

// End returns the position after the last record.
func (l *Log) End() value.LSN {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end()
}

func (l *Log) end() value.LSN {
	if len(l.records) == 0 {
		return InitialLSN
	}
	return l.records[len(l.records)-1].End
}

// History returns the timelines of the log.
func (l *Log) History() History {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(History(nil), l.history...)
}

// RecordsFrom returns the records that start at or after position, and a channel
// that is closed when a record is appended.
func (l *Log) RecordsFrom(position value.LSN) ([]*Record, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := sort.Search(len(l.records), func(i int) bool { return l.records[i].Start >= position })
	return l.records[first:len(l.records):len(l.records)], l.appended
}

// recordSize returns the size by which a record with the given changes advances the
// position.
func recordSize(changes []Change) value.LSN {
	total := recordHeaderBytes
	for _, c := range changes {
		total += changeHeaderBytes + valueBytes*len(c.Values)
		for _, v := range c.Values {
			if s, ok := v.(string); ok {
				total += (len(s) + valueBytes - 1) / valueBytes * valueBytes
			}
		}
	}
	return value.LSN(total)
}
