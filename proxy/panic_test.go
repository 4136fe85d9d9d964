package proxy

import (
	"context"
	"testing"
)

// Guards against an answer of an upstream that ends the whole process: the panic ends the session of one
// caller, which may not be told that its write has not run. The connections of more such callers than a pool
// has are not lost, and their open transactions are rolled back.
func TestPanicEndsOnlyItsCaller(t *testing.T) {
	s := newSystem(t, 0)
	p, _ := s.faultyProxy("malformed", func(int64) bool { panic("malformed answer") })
	other := p.driver(t)
	exec(t, other, "INSERT INTO intake VALUES (1, 'before')")
	for i := range 6 {
		failing := p.driver(t)
		if i%2 == 0 {
			exec(t, failing, "BEGIN")
		}
		_, err := failing.Exec(context.Background(), "INSERT INTO intake VALUES ($1, 'malformed')", 10+i)
		if err == nil || codeOf(err) != 0 {
			t.Errorf("the failing caller was told %v, want the end of its connection", err)
		}
		if !failing.IsClosed() {
			t.Error("the session of the failing caller goes on")
		}
	}
	exec(t, other, "INSERT INTO intake VALUES (2, 'after')")
	var rows int
	query := "SELECT count(*) FROM intake WHERE id IN (10, 12, 14)"
	if err := other.QueryRow(context.Background(), query).Scan(&rows); err != nil || rows != 0 {
		t.Errorf("%d rows of open transactions, %v", rows, err)
	}
	eventually(t, "the failing callers are gone", func() bool { return p.registry.count() == 1 })
}
