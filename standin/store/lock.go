package store

import (
	"context"
	"sync"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

type lockName struct {
	table string
	key   string
}

// lockTable holds the row lockTable of open transactions.
type lockTable struct {
	mu      sync.Mutex
	owners  map[lockName]*Tx
	waitsFor   map[*Tx]*Tx // who waits for whom
	released chan struct{}
}

func newLockTable() *lockTable {
	return &lockTable{
		owners:  map[lockName]*Tx{},
		waitsFor:   map[*Tx]*Tx{},
		released: make(chan struct{}),
	}
}

// acquire waits until tx owns name.
func (l *lockTable) acquire(ctx context.Context, tx *Tx, name lockName) error {
	for {
		changed, err := l.tryAcquire(tx, name)
		if changed == nil || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			l.removeWait(tx)
			return context.Cause(ctx)
		}
	}
}

// tryAcquire takes the lock, or returns a channel that is closed when a lock is released.
func (l *lockTable) tryAcquire(tx *Tx, name lockName) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waitsFor, tx)
	owner, taken := l.owners[name]
	if owner == tx {
		return nil, nil
	}
	if !taken {
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

func (l *lockTable) removeWait(tx *Tx) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waitsFor, tx)
}

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
