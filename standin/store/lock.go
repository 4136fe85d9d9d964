package store

import (
	"context"
	"sync"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// lockName identifies a row lock, a table lock (empty key) or an advisory lock
// (empty table).
type lockName struct {
	table string
	key   string
}

// lockTable holds the locks of open transactions and sessions.
type lockTable struct {
	mu       sync.Mutex
	owners   map[lockName]*Tx
	waitsFor map[*Tx]*Tx // wait-for graph, to detect deadlocks
	released chan struct{}
}

func newLockTable() *lockTable {
	return &lockTable{
		owners:   map[lockName]*Tx{},
		waitsFor: map[*Tx]*Tx{},
		released: make(chan struct{}),
	}
}

// acquire waits until tx owns the lock. It fails when waiting would close a cycle
// of the wait-for graph.
func (l *lockTable) acquire(ctx context.Context, tx *Tx, name lockName) error {
	for {
		released, err := l.tryAcquire(tx, name)
		if released == nil || err != nil {
			return err
		}
		select {
		case <-released:
		case <-ctx.Done():
			l.removeWait(tx)
			return context.Cause(ctx)
		}
	}
}

// tryAcquire takes the lock, or returns a channel that is closed when any lock is
// released.
func (l *lockTable) tryAcquire(tx *Tx, name lockName) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waitsFor, tx)
	owner, locked := l.owners[name]
	if owner == tx {
		return nil, nil
	}
	if !locked {
		l.owners[name] = tx
		tx.heldLocks = append(tx.heldLocks, name)
		return nil, nil
	}
	for next := owner; next != nil; next = l.waitsFor[next] {
		if next == tx {
			return nil, sqlerr.New(sqlerr.DeadlockDetected, "deadlock detected")
		}
	}
	l.waitsFor[tx] = owner
	return l.released, nil
}

// removeWait removes tx from the wait-for graph.
func (l *lockTable) removeWait(tx *Tx) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waitsFor, tx)
}

// releaseAll releases all locks of tx and wakes all waiting transactions.
func (l *lockTable) releaseAll(tx *Tx) {
	if len(tx.heldLocks) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range tx.heldLocks {
		delete(l.owners, name)
	}
	tx.heldLocks = nil
	close(l.released)
	l.released = make(chan struct{})
}
