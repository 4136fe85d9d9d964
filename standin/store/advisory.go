package store

import (
	"context"
	"slices"
)

// AdvisoryLocks owns locks that outlive transactions, as advisory locks do.
type AdvisoryLocks struct{ tx *Tx }

// NewAdvisoryLocks returns a holder without locks.
func (s *Store) NewAdvisoryLocks() *AdvisoryLocks { return &AdvisoryLocks{tx: &Tx{store: s}} }

// Lock waits until the holder owns the lock.
func (h *AdvisoryLocks) Lock(ctx context.Context, key string) error {
	// No table has an empty name, so these locks never meet those of rows.
	return h.tx.store.locks.acquire(ctx, h.tx, lockName{key: key})
}

// Unlock gives one lock back; it reports false if the holder does not own it.
func (h *AdvisoryLocks) Unlock(key string) bool {
	name := lockName{key: key}
	i := slices.Index(h.tx.heldLocks, name)
	if i < 0 {
		return false
	}
	rest := slices.Delete(slices.Clone(h.tx.heldLocks), i, i+1)
	h.tx.heldLocks = []lockName{name}
	h.tx.store.locks.releaseAll(h.tx)
	h.tx.heldLocks = rest
	return true
}

// UnlockAll gives all locks back.
func (h *AdvisoryLocks) UnlockAll() { h.tx.store.locks.releaseAll(h.tx) }
