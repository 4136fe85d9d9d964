// Package position orders places in the logs of a database group.
package position

import "fmt"

// Position is a place in a log. The zero Position is before every commit.
type Position struct {
	// Term is that of the primary which wrote the entry.
	Term   uint64
	Number uint64
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Number < q.Number
}

// IsZero reports whether no position is known.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String returns the term and the number.
func (p Position) String() string {
	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

// Max returns the later of two positions.
func Max(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
