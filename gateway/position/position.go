// Package position defines positions in the logs of a database group and their order.
package position

import "fmt"

// Position is a position in a log. The zero Position is before every commit.
type Position struct {
	// Term is the term of the primary that wrote the entry.
	Term uint64
	// Number is the number of the commit.
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

// String returns the position in the form TERM.NUMBER.
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
