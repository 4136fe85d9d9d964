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

// locks holds the row locks of open transactions.
type locks struct {
	mu      sync.Mutex
	owners  map[lockName]*Tx
	waits   map[*Tx]*Tx // who waits for whom
	changed chan struct{}
}

func newLocks() *locks {
	return &locks{
		owners:  map[lockName]*Tx{},
		waits:   map[*Tx]*Tx{},
		changed: make(chan struct{}),
	}
}

// acquire waits until tx owns name.
func (l *locks) acquire(ctx context.Context, tx *Tx, name lockName) error {
	for {
		changed, err := l.try(tx, name)
		if changed == nil || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			l.stopWaiting(tx)
			return context.Cause(ctx)
		}
	}
}

// try takes the lock, or returns a channel that is closed when a lock is released.
func (l *locks) try(tx *Tx, name lockName) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waits, tx)
	owner, taken := l.owners[name]
	if owner == tx {
		return nil, nil
	}
	if !taken {
		l.owners[name] = tx
		tx.locked = append(tx.locked, name)
		return nil, nil
	}
	for next := owner; next != nil; next = l.waits[next] {
		if next == tx {
			return nil, sqlerr.New(sqlerr.DeadlockDetected, "deadlock detected")
		}
	}
	l.waits[tx] = owner
	return l.changed, nil
}

func (l *locks) stopWaiting(tx *Tx) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waits, tx)
}

func (l *locks) release(tx *Tx) {
	if len(tx.locked) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range tx.locked {
		delete(l.owners, name)
	}
	tx.locked = nil
	close(l.changed)
	l.changed = make(chan struct{})
}
