package store

import (
	"context"
	"slices"
)

// AdvisoryLocks is the set of advisory locks that one session holds. They outlive
// its transactions.
type AdvisoryLocks struct{ tx *Tx }

// NewAdvisoryLocks returns an empty set of advisory locks.
func (s *Store) NewAdvisoryLocks() *AdvisoryLocks { return &AdvisoryLocks{tx: &Tx{store: s}} }

// Lock acquires the lock of key, waiting while another session holds it.
func (a *AdvisoryLocks) Lock(ctx context.Context, key string) error {
	// No table has an empty name, so these names cannot collide with row locks.
	return a.tx.store.locks.acquire(ctx, a.tx, lockName{key: key})
}

// Unlock releases the lock of key. It reports false if the session does not hold it.
func (a *AdvisoryLocks) Unlock(key string) bool {
	name := lockName{key: key}
	i := slices.Index(a.tx.heldLocks, name)
	if i < 0 {
		return false
	}
	remaining := slices.Delete(slices.Clone(a.tx.heldLocks), i, i+1)
	a.tx.heldLocks = []lockName{name}
	a.tx.store.locks.releaseAll(a.tx)
	a.tx.heldLocks = remaining
	return true
}

// UnlockAll releases all locks of the session.
func (a *AdvisoryLocks) UnlockAll() { a.tx.store.locks.releaseAll(a.tx) }
