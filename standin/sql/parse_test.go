package sql

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// Guards against input that makes the parser panic or loop, which would end the
// server for all of a test's clients.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"SELECT a, count(*) FROM t WHERE a = $1 AND NOT b IN (1, 'x') ORDER BY a DESC LIMIT 1 OFFSET 2 FOR UPDATE",
		"INSERT INTO t (a) VALUES (DEFAULT, -1::int), (E'\\n') ON CONFLICT (a) DO NOTHING RETURNING *",
		"CREATE TEMP TABLE IF NOT EXISTS t (a numeric(4, 2) NOT NULL DEFAULT now(), PRIMARY KEY (a))",
		"PREPARE p (int) AS UPDATE t SET a = a + 1 WHERE a < 3; EXECUTE p (1); DEALLOCATE ALL",
		"/* a /* nested */ comment */ BEGIN READ ONLY; SET LOCAL a.b TO 'c', d; COMMIT -- end",
		"COPY t (a) FROM STDIN WITH (FORMAT binary); ALTER SYSTEM SET primary_conninfo = 'host=x'",
		"SELECT CASE WHEN a THEN EXTRACT(epoch FROM now()) ELSE (SELECT 1) END", "'", "/*", "$1", "\"", "((((",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var e *sqlerr.Error
		if _, err := Parse(text); err != nil && !errors.As(err, &e) {
			t.Fatalf("%q: the error %v has no SQLSTATE", text, err)
		}
	})
}

// Guards against a statement nested so deeply that the stack overflows.
func TestNestingIsBounded(t *testing.T) {
	for _, piece := range []string{"(", "NOT ", "- ", "(SELECT ", "CASE WHEN "} {
		_, err := Parse("SELECT " + strings.Repeat(piece, 100_000))
		if sqlerr.From(err).Code != sqlerr.StatementTooComplex {
			t.Errorf("%q repeated: %v", piece, err)
		}
	}
	if _, err := Parse(strings.Repeat("PREPARE p AS ", 100_000)); err == nil {
		t.Error("endless PREPARE is accepted")
	}
}

// Guards against statements that are split in a comment or in quotes, or recorded
// with another text than was sent.
func TestStatementsAreSplit(t *testing.T) {
	list, err := Parse(`;; SELECT ';' /* ; */ ; INSERT INTO t VALUES ('a;''b') /*route='x'*/;`)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, p := range list {
		got = append(got, p.Text)
	}
	if diff := cmp.Diff([]string{"SELECT ';' /* ; */", "INSERT INTO t VALUES ('a;''b') /*route='x'*/"}, got); diff != "" {
		t.Fatal(diff)
	}
}
