// Package store keeps the tables of the stand-in in memory.
//
// A transaction reads committed rows and its own changes. It locks the rows that it
// writes until it ends, as under PostgreSQL's Read Committed isolation level.
package store

import (
	"strings"
	"sync"
	"time"

	"github.com/jayloom/jayloom/standin/commitlog"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// Row is a committed row. An update replaces the Values slice and never modifies it
// in place.
type Row struct {
	ID      int64
	Values  []any
	deleted bool
}

// Table holds the definition and the committed rows of a table.
type Table struct {
	Name      string
	Columns   []commitlog.Column
	Temporary bool

	store          *Store
	keyColumns     []int // indexes of the primary key's columns
	rows           map[int64]*Row
	byKey          map[string]*Row
	insertionOrder []*Row
	deletedRows    int
	lastRowID      int64
	lastSerial     int64
}

// Store holds all tables and appends commits to the log.
type Store struct {
	mu       sync.RWMutex
	tables   map[string]*Table
	log      *commitlog.Log
	locks    *lockTable
	lastTxID uint64
}

// New returns an empty store that appends its commits to log.
func New(log *commitlog.Log) *Store {
	return &Store{tables: map[string]*Table{}, log: log, locks: newLockTable()}
}

func newTable(s *Store, name string, columns []commitlog.Column) *Table {
	t := &Table{
		Name:    name,
		Columns: columns,
		store:   s,
		rows:    map[int64]*Row{},
		byKey:   map[string]*Row{},
	}
	for i, c := range columns {
		if c.PrimaryKey {
			t.keyColumns = append(t.keyColumns, i)
		}
	}
	return t
}

// ColumnIndex returns the index of a column.
func (t *Table) ColumnIndex(name string) (int, bool) {
	for i, c := range t.Columns {
		if c.Name == name {
			return i, true
		}
	}
	return 0, false
}

// KeyColumns returns the indexes of the primary key's columns.
func (t *Table) KeyColumns() []int { return t.keyColumns }

// EncodeKey returns the primary key of a row as text, or an empty text when the
// table has no primary key.
func (t *Table) EncodeKey(values []any) string {
	if len(t.keyColumns) == 0 {
		return ""
	}
	var b strings.Builder
	for _, i := range t.keyColumns {
		text := value.Format(values[i])
		b.WriteString(text)
		// PostgreSQL text cannot contain a zero byte, so different keys never encode
		// to the same text.
		b.WriteByte(0)
	}
	return b.String()
}

// NextSerial returns the next value of the table's sequence. A rollback does not
// return values to the sequence.
func (t *Table) NextSerial() int64 {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	t.lastSerial++
	return t.lastSerial
}

func (t *Table) allocateRowID() int64 {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	t.lastRowID++
	return t.lastRowID
}

// Position returns the end of the log. All commits before it are visible.
func (s *Store) Position() value.LSN {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.log.End()
}

// Apply appends a record received from the primary to the log and applies its
// changes.
func (s *Store) Apply(r *commitlog.Record, primary commitlog.History) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.AppendReceived(r, primary)
	s.apply(r.Changes)
}

// StartTimeline begins a new timeline and skips serial values. PostgreSQL logs
// sequences some values ahead, so a promoted replica skips values too.
func (s *Store) StartTimeline(at time.Time) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		t.lastSerial += serialLogAhead
	}
	return s.log.StartTimeline(at)
}

// serialLogAhead is the number of values that PostgreSQL logs ahead for a sequence
// (SEQ_LOG_VALS).
const serialLogAhead = 32

// commitTx appends the transaction's changes to the log and applies them atomically.
func (s *Store) commitTx(tx *Tx) value.LSN {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.log.End()
	if len(tx.changes) > 0 {
		end = s.log.Append(tx.changes, time.Now()).End
		s.apply(tx.changes)
	}
	for t, changes := range tx.temporaryChanges {
		for _, c := range changes {
			t.apply(c)
		}
	}
	return end
}

func (s *Store) apply(changes []commitlog.Change) {
	for _, c := range changes {
		switch c.Op {
		case commitlog.CreateTable:
			s.tables[c.Table] = newTable(s, c.Table, c.Columns)
		case commitlog.DropTable:
			delete(s.tables, c.Table)
		default:
			if t, ok := s.tables[c.Table]; ok {
				t.apply(c)
			}
		}
	}
}

func (t *Table) apply(c commitlog.Change) {
	switch c.Op {
	case commitlog.Insert:
		t.insert(&Row{ID: c.Row, Values: c.Values})
	case commitlog.Update:
		t.update(c.Row, c.Values)
	case commitlog.Delete:
		t.remove(c.Row)
	}
}

func (t *Table) insert(r *Row) {
	t.rows[r.ID] = r
	t.insertionOrder = append(t.insertionOrder, r)
	if len(t.keyColumns) > 0 {
		t.byKey[t.EncodeKey(r.Values)] = r
	}
	t.lastRowID = max(t.lastRowID, r.ID)
	for i, c := range t.Columns {
		if n, ok := r.Values[i].(int64); ok && c.Serial {
			t.lastSerial = max(t.lastSerial, n)
		}
	}
}

func (t *Table) update(id int64, values []any) {
	r, ok := t.rows[id]
	if !ok {
		return
	}
	if len(t.keyColumns) > 0 {
		delete(t.byKey, t.EncodeKey(r.Values))
		t.byKey[t.EncodeKey(values)] = r
	}
	r.Values = values
}

func (t *Table) remove(id int64) {
	r, ok := t.rows[id]
	if !ok {
		return
	}
	delete(t.rows, id)
	if len(t.keyColumns) > 0 {
		delete(t.byKey, t.EncodeKey(r.Values))
	}
	r.deleted = true
	t.deletedRows++
	if t.deletedRows > len(t.insertionOrder)/2 {
		t.compact()
	}
}

// compact removes deleted rows from insertionOrder. It runs when they are more than
// half of it, which keeps the amortized cost per deletion constant.
func (t *Table) compact() {
	live := make([]*Row, 0, len(t.rows))
	for _, r := range t.insertionOrder {
		if !r.deleted {
			live = append(live, r)
		}
	}
	t.insertionOrder, t.deletedRows = live, 0
}

func newDuplicateKeyError(t *Table) error {
	return sqlerr.New(sqlerr.UniqueViolation,
		"duplicate key value violates unique constraint %q", t.Name+"_pkey")
}
