// Package connlimit bounds the connections of a listener that unknown clients reach, so that a crowd of them cannot use
// up the descriptors of the process. It answers crowds that open connections and leave them idle or half-way: above the
// bound a connection of the address that has the most is closed, so that new clients are still served.
package connlimit

import "time"

// Table decides which connections of a listener are kept. It holds no clock and does no I/O, and is not safe for
// concurrent use.
type Table struct {
	max     int
	lastID  uint64
	entries map[uint64]*entry
	// counts holds the number of connections by address.
	counts map[string]int
}

// entry is one connection.
type entry struct {
	address string
	// protectedUntil is the time before which the connection is not closed for another.
	protectedUntil time.Duration
}

// NewTable returns the Table of a listener with up to max connections.
func NewTable(max int) *Table {
	return &Table{max: max, entries: map[uint64]*entry{}, counts: map[string]int{}}
}

// Len returns the number of connections.
func (t *Table) Len() int { return len(t.entries) }

// noConnection is the number of no connection; they are numbered from 1.
const noConnection = 0

// Add decides on a new connection from an address. It returns the connection's number, and that of the one to be closed
// in its favour or noConnection. ok is false if the new connection is to be closed.
func (t *Table) Add(address string, now time.Duration) (id, victim uint64, ok bool) {
	if len(t.entries) >= t.max {
		victim = t.victim(now)
		if victim == noConnection {
			return noConnection, noConnection, false
		}
		t.Remove(victim)
	}
	t.lastID++
	t.entries[t.lastID] = &entry{address: address}
	t.counts[address]++
	return t.lastID, victim, true
}

// victim returns the oldest unprotected connection of the address that has the most, of those with one.
func (t *Table) victim(now time.Duration) uint64 {
	victim := uint64(noConnection)
	for id, e := range t.entries {
		if e.protectedUntil <= now && (victim == noConnection || t.closesBefore(id, victim)) {
			victim = id
		}
	}
	return victim
}

func (t *Table) closesBefore(a, b uint64) bool {
	countA, countB := t.counts[t.entries[a].address], t.counts[t.entries[b].address]
	if countA != countB {
		return countA > countB
	}
	// Numbers rise with the time of opening.
	return a < b
}

// Protect keeps a connection from being closed for another before a time. A time in the past ends the protection.
func (t *Table) Protect(id uint64, until time.Duration) {
	if e, ok := t.entries[id]; ok {
		e.protectedUntil = until
	}
}

// Remove forgets a connection.
func (t *Table) Remove(id uint64) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	delete(t.entries, id)
	t.counts[e.address]--
	if t.counts[e.address] == 0 {
		delete(t.counts, e.address)
	}
}
