package store

import (
	"context"
	"strconv"

	"github.com/jayloom/jayloom/standin/commitlog"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// Tx is a transaction with its uncommitted changes. It is not safe for concurrent use.
type Tx struct {
	ID uint64

	store            *Store
	session          *Session
	changes          []commitlog.Change
	temporaryChanges map[*Table][]commitlog.Change
	overlays         map[*Table]*overlay
	createdTables    map[string]*Table
	droppedTables    map[string]bool
	heldLocks        []lockName
}

// Session holds the temporary tables of one connection.
type Session struct {
	store           *Store
	temporaryTables map[string]*Table
}

// NewSession returns a session without temporary tables.
func (s *Store) NewSession() *Session {
	return &Session{store: s, temporaryTables: map[string]*Table{}}
}

// DropTemporaryTables drops the session's temporary tables.
func (s *Session) DropTemporaryTables() {
	s.temporaryTables = map[string]*Table{}
}

// Begin starts a transaction.
func (s *Session) Begin() *Tx {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.lastTxID++
	return &Tx{
		ID:               s.store.lastTxID,
		store:            s.store,
		session:          s,
		temporaryChanges: map[*Table][]commitlog.Change{},
		overlays:         map[*Table]*overlay{},
		createdTables:    map[string]*Table{},
		droppedTables:    map[string]bool{},
	}
}

// overlay holds a transaction's uncommitted changes to one table.
type overlay struct {
	changed  map[int64][]any // new values by row ID; nil if the row is deleted
	inserted []*Row
	byKey    map[string]int64 // IDs of the rows written by the transaction, by primary key
}

func (tx *Tx) overlayFor(t *Table) *overlay {
	o, ok := tx.overlays[t]
	if !ok {
		o = &overlay{changed: map[int64][]any{}, byKey: map[string]int64{}}
		tx.overlays[t] = o
	}
	return o
}

// Table returns a table by name. A temporary table hides a permanent one of the
// same name.
func (tx *Tx) Table(name string) (*Table, error) {
	if t, ok := tx.findTable(name); ok {
		return t, nil
	}
	return nil, sqlerr.New(sqlerr.UndefinedTable, "relation %q does not exist", name)
}

func (tx *Tx) findTable(name string) (*Table, bool) {
	if t, ok := tx.createdTables[name]; ok {
		return t, true
	}
	if tx.droppedTables[name] {
		return nil, false
	}
	if t, ok := tx.session.temporaryTables[name]; ok {
		return t, true
	}
	tx.store.mu.RLock()
	defer tx.store.mu.RUnlock()
	t, ok := tx.store.tables[name]
	return t, ok
}

// CreateTable creates a table, which other transactions see after Commit. It
// reports false if the table exists.
func (tx *Tx) CreateTable(ctx context.Context, name string, columns []commitlog.Column, temporary bool) (bool, error) {
	if !temporary {
		if err := tx.store.locks.acquire(ctx, tx, lockName{table: name}); err != nil {
			return false, err
		}
	}
	if t, ok := tx.findTable(name); ok && t.Temporary == temporary {
		return false, nil
	}
	t := newTable(tx.store, name, columns)
	t.Temporary = temporary
	tx.createdTables[name] = t
	if !temporary {
		tx.changes = append(tx.changes, commitlog.Change{Op: commitlog.CreateTable, Table: name, Columns: columns})
	}
	return true, nil
}

// DropTable drops a table. It reports false if the table does not exist.
func (tx *Tx) DropTable(name string) bool {
	t, ok := tx.findTable(name)
	if !ok {
		return false
	}
	delete(tx.createdTables, name)
	tx.droppedTables[name] = true
	if !t.Temporary {
		tx.changes = append(tx.changes, commitlog.Change{Op: commitlog.DropTable, Table: name})
	}
	return true
}

// HasChanges reports whether the transaction has changes that are replicated.
func (tx *Tx) HasChanges() bool { return len(tx.changes) > 0 }

// Commit makes the changes visible atomically and returns the log position after
// the commit.
func (tx *Tx) Commit() value.LSN {
	end := tx.store.commitTx(tx)
	for name := range tx.droppedTables {
		delete(tx.session.temporaryTables, name)
	}
	for name, t := range tx.createdTables {
		if t.Temporary {
			tx.session.temporaryTables[name] = t
		}
	}
	tx.releaseLocks()
	return end
}

// Rollback discards the changes.
func (tx *Tx) Rollback() { tx.releaseLocks() }

func (tx *Tx) releaseLocks() {
	tx.store.locks.releaseAll(tx)
}

// VisibleRow is a row as seen by a transaction, with the transaction's own changes.
type VisibleRow struct {
	ID     int64
	Values []any
}

// Rows returns all rows of t in insertion order: a consistent view of the committed
// rows, followed by the rows that the transaction inserted.
func (tx *Tx) Rows(t *Table) []VisibleRow {
	tx.store.mu.RLock()
	defer tx.store.mu.RUnlock()
	o := tx.overlays[t]
	rows := make([]VisibleRow, 0, len(t.rows))
	for _, r := range t.insertionOrder {
		if !r.deleted {
			rows = appendVisible(rows, o, r)
		}
	}
	if o != nil {
		for _, r := range o.inserted {
			rows = appendVisible(rows, o, r)
		}
	}
	return rows
}

func appendVisible(rows []VisibleRow, o *overlay, r *Row) []VisibleRow {
	if o == nil {
		return append(rows, VisibleRow{r.ID, r.Values})
	}
	values, changed := o.changed[r.ID]
	switch {
	case !changed:
		return append(rows, VisibleRow{r.ID, r.Values})
	case values == nil:
		return rows
	}
	return append(rows, VisibleRow{r.ID, values})
}

// FindByKey returns the row with the given primary key as a list of at most one
// element.
func (tx *Tx) FindByKey(t *Table, key string) []VisibleRow {
	tx.store.mu.RLock()
	defer tx.store.mu.RUnlock()
	o := tx.overlays[t]
	if o != nil {
		if id, ok := o.byKey[key]; ok {
			return []VisibleRow{{id, o.changed[id]}}
		}
	}
	r, ok := t.byKey[key]
	if !ok {
		return nil
	}
	if o != nil {
		if _, changed := o.changed[r.ID]; changed {
			return nil // deleted, or moved to another key
		}
	}
	return []VisibleRow{{r.ID, r.Values}}
}

// LockRow locks a row, waiting while another transaction holds it.
func (tx *Tx) LockRow(ctx context.Context, t *Table, id int64, values []any) error {
	if t.Temporary {
		return nil
	}
	return tx.store.locks.acquire(ctx, tx, rowLock(t, id, values))
}

// HoldsRowLock reports whether the transaction has locked the row.
func (tx *Tx) HoldsRowLock(t *Table, id int64, values []any) bool {
	if t.Temporary {
		return true
	}
	tx.store.locks.mu.Lock()
	defer tx.store.locks.mu.Unlock()
	return tx.store.locks.owners[rowLock(t, id, values)] == tx
}

// rowLock returns the lock name of a row. It uses the primary key if there is one,
// so that inserts of the same key wait for each other.
func rowLock(t *Table, id int64, values []any) lockName {
	if len(t.keyColumns) > 0 {
		return lockName{table: t.Name, key: t.EncodeKey(values)}
	}
	return lockName{table: t.Name, key: strconv.FormatInt(id, 10)}
}

// Insert adds a row. It reports false if the primary key already exists.
func (tx *Tx) Insert(ctx context.Context, t *Table, values []any) (bool, error) {
	if len(t.keyColumns) > 0 {
		if err := tx.LockRow(ctx, t, 0, values); err != nil {
			return false, err
		}
		if tx.hasKey(t, values) {
			return false, nil
		}
	}
	id := t.allocateRowID()
	o := tx.overlayFor(t)
	o.inserted = append(o.inserted, &Row{ID: id, Values: values})
	o.changed[id] = values
	o.byKey[t.EncodeKey(values)] = id
	tx.recordChange(t, commitlog.Change{Op: commitlog.Insert, Table: t.Name, Row: id, Values: values})
	return true, nil
}

func (tx *Tx) hasKey(t *Table, values []any) bool {
	return len(tx.FindByKey(t, t.EncodeKey(values))) > 0
}

// Update replaces the values of a row that the transaction has locked.
func (tx *Tx) Update(ctx context.Context, t *Table, id int64, old, values []any) error {
	o := tx.overlayFor(t)
	if len(t.keyColumns) > 0 && t.EncodeKey(old) != t.EncodeKey(values) {
		if err := tx.LockRow(ctx, t, id, values); err != nil {
			return err
		}
		if tx.hasKey(t, values) {
			return newDuplicateKeyError(t)
		}
		delete(o.byKey, t.EncodeKey(old))
	}
	o.changed[id] = values
	o.byKey[t.EncodeKey(values)] = id
	tx.recordChange(t, commitlog.Change{Op: commitlog.Update, Table: t.Name, Row: id, Values: values})
	return nil
}

// Delete removes a row that the transaction has locked.
func (tx *Tx) Delete(t *Table, id int64, values []any) {
	o := tx.overlayFor(t)
	o.changed[id] = nil
	delete(o.byKey, t.EncodeKey(values))
	tx.recordChange(t, commitlog.Change{Op: commitlog.Delete, Table: t.Name, Row: id})
}

// recordChange adds a change to the commit record. Changes to temporary tables are
// kept apart because they are not logged.
func (tx *Tx) recordChange(t *Table, c commitlog.Change) {
	if t.Temporary {
		tx.temporaryChanges[t] = append(tx.temporaryChanges[t], c)
		return
	}
	tx.changes = append(tx.changes, c)
}

// NewDuplicateKeyError returns the unique violation for a duplicate primary key of t.
func NewDuplicateKeyError(t *Table) error { return newDuplicateKeyError(t) }
