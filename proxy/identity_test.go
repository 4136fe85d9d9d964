package proxy

import (
	"context"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/jayloom/jayloom/api/rescode"
)

const identified = "INSERT INTO intake VALUES (1, 'it''s') /*request='r-1'*/"

// Guards against running a write with an identity twice when it is sent again, to the
// same proxy or another, and against accepting another statement under its identity.
func TestRequestIdentityRunsOnce(t *testing.T) {
	s := newSystem(t, 0)
	ctx := context.Background()
	first, second := s.proxy().driver(t), s.proxy().driver(t)
	for _, conn := range []*pgx.Conn{first, first, second} {
		tag, err := conn.Exec(ctx, identified, pgx.QueryExecModeSimpleProtocol)
		if err != nil || tag.String() != "INSERT 0 1" {
			t.Fatalf("got %q, %v", tag, err)
		}
	}
	if got := queryText(t, first, "SELECT count(*)::text FROM intake"); got != "1" {
		t.Errorf("%s rows", got)
	}
	_, err := second.Exec(ctx, "/*request='r-1'*/ DELETE FROM intake", pgx.QueryExecModeSimpleProtocol)
	wantCode(t, err, rescode.RequestIdentityReused)
	// Another team may use the same identity.
	other := s.proxies[0].connect(t, "sorter", keySorter)
	exec(t, other, "DELETE FROM intake /*request='r-1'*/", pgx.QueryExecModeSimpleProtocol)
	_, err = other.Exec(ctx, "/*request='r-2'*/ SELECT 1", pgx.QueryExecModeSimpleProtocol)
	wantCode(t, err, rescode.RequestIdentityUnsupported)
	_, err = other.Exec(ctx, "/*request='r-2'*/ DELETE FROM intake WHERE id = $1", pgx.QueryExecModeExec, 5)
	wantCode(t, err, rescode.RequestIdentityUnsupported)
}

// Guards against concurrent copies of a write that take effect more than once.
func TestConcurrentIdentities(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	exec(t, p.driver(t), "INSERT INTO intake VALUES (0, 'x') /*request='r-0'*/", pgx.QueryExecModeSimpleProtocol)
	var running sync.WaitGroup
	for range 4 {
		conn := p.driver(t)
		running.Go(func() {
			_, err := conn.Exec(context.Background(), "UPDATE intake SET note = note || '!' /*request='r-9'*/", pgx.QueryExecModeSimpleProtocol)
			if err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	if got := queryText(t, p.driver(t), "SELECT note FROM intake"); got != "x!" {
		t.Errorf("after 4 copies of one update: %q", got)
	}
}

// Guards against repeating a write with an identity after its answer, or that of its
// commit, was lost.
func TestIdentitySurvivesLostAnswers(t *testing.T) {
	for _, trigger := range []string{"it''s", "COMMIT"} {
		s := newSystem(t, 0)
		p, d := s.faultyProxy(trigger, func(hit int64) bool { return hit == 1 })
		conn := p.driver(t)
		exec(t, conn, identified, pgx.QueryExecModeSimpleProtocol)
		if got := queryText(t, conn, "SELECT count(*)::text FROM intake"); got != "1" || d.hits.Load() == 0 {
			t.Errorf("answer to %s lost: %s rows, %d hits", trigger, got, d.hits.Load())
		}
	}
}

// Guards against a failed write consuming its identity.
func TestFailedWriteLeavesItsIdentityUnused(t *testing.T) {
	s := newSystem(t, 0)
	conn := s.proxy().driver(t)
	exec(t, conn, "INSERT INTO intake VALUES (1, 'x')")
	if _, err := conn.Exec(context.Background(), identified, pgx.QueryExecModeSimpleProtocol); err == nil {
		t.Error("a duplicate row was accepted")
	}
	exec(t, conn, "DELETE FROM intake")
	exec(t, conn, identified, pgx.QueryExecModeSimpleProtocol)
	if got := queryText(t, conn, "SELECT note FROM intake"); got != "it's" {
		t.Errorf("read %q", got)
	}
}

// Guards against a request identity that ends the proxy's own statement early, and so costs an upstream connection
// with each repetition.
func TestUnencodableRequestIdentityIsRefused(t *testing.T) {
	s := newSystem(t, 0)
	conn := s.proxy(oneConnection).driver(t)
	for _, identity := range []string{"a%00", "%00", "%FF"} {
		_, err := conn.Exec(context.Background(), "INSERT INTO intake VALUES (1, 'x') /*request='"+identity+"'*/", pgx.QueryExecModeSimpleProtocol)
		if code := codeOf(err); code != rescode.BadTag {
			t.Errorf("%s: %v (%v), want %v", identity, code, err, rescode.BadTag)
		}
	}
}

// Guards against a literal of the proxy that ends early on a connection with standard_conforming_strings off, where a
// backslash escapes the quote behind it.
func TestLiteralsHoldOnAnySession(t *testing.T) {
	for text, want := range map[string]string{
		"plain": `'plain'`, "it's": `'it''s'`, `a\`: `E'a\\'`, `\', 1`: `E'\\'', 1'`,
	} {
		if got := quoteLiteral(text); got != want {
			t.Errorf("%s is quoted as %s, want %s", text, got, want)
		}
	}
}

// Guards against a backslash in a request identity that changes it.
func TestBackslashInRequestIdentity(t *testing.T) {
	s := newSystem(t, 0)
	conn := s.proxy().driver(t)
	for range 2 {
		exec(t, conn, `INSERT INTO intake VALUES (1, 'x') /*request='a%5C%27b'*/`, pgx.QueryExecModeSimpleProtocol)
	}
	if got := queryText(t, conn, "SELECT identity FROM jayloom_request"); got != `a\'b` {
		t.Errorf("recorded as %s", got)
	}
}
