package standin_test

import (
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
)

// Guards against values that change on their way through binary parameters,
// storage and binary results.
func TestValuesSurviveRoundTrip(t *testing.T) {
	s := startWith(t, "CREATE TABLE v (k text PRIMARY KEY, i int, b bigint, f double precision, o boolean, at timestamptz, m numeric, y bytea); CREATE INDEX ON v (i)")
	c := connect(t, s)
	at := time.Date(2026, 5, 1, 10, 0, 0, 123456000, time.UTC)
	mustExec(t, c, "INSERT INTO v VALUES ($1, $2, $3, $4, $5, $6, $7, $8)", "kūka \t'ā'", 7, int64(1)<<40, 1.25, true, at, 12.5, []byte{0, 255})
	var (
		k    string
		i    int32
		b    int64
		f, m float64
		o    bool
		when time.Time
		y    []byte
	)
	err := c.QueryRow(t.Context(), "SELECT * FROM v WHERE k = $1 AND b = $2 AND y = $3", "kūka \t'ā'", int64(1)<<40, []byte{0, 255}).Scan(&k, &i, &b, &f, &o, &when, &m, &y)
	if err != nil {
		t.Fatal(err)
	}
	got := []any{k, i, b, f, o, when.UTC(), m, y}
	if diff := cmp.Diff([]any{"kūka \t'ā'", int32(7), int64(1) << 40, 1.25, true, at, 12.5, []byte{0, 255}}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against rows that a condition, an order, a limit or an aggregate gets wrong.
func TestQueries(t *testing.T) {
	s := startWith(t, trays+`; INSERT INTO trays (station, n) VALUES ('a', 3), ('b', 1), ('a', 5), ('c', NULL)`)
	c := connect(t, s)
	for _, test := range []struct {
		query string
		want  []any
	}{
		{"SELECT id FROM trays WHERE station = 'a' AND n > 3", []any{int64(3)}},
		{"SELECT id FROM trays WHERE n < 4 OR station = 'c' ORDER BY id DESC", []any{int64(4), int64(2), int64(1)}},
		{"SELECT id FROM trays ORDER BY n DESC, id LIMIT 2 OFFSET 1", []any{int64(3), int64(1)}},
		{"SELECT id FROM trays WHERE station IN ('b', 'c') AND NOT n IS NULL", []any{int64(2)}},
		{"SELECT id FROM trays WHERE id = 4 AND station = 'a'", []any{}},
		{"SELECT sum(n) + count(*) FROM trays", []any{int64(13)}},
		{"SELECT count(n) FROM trays WHERE station <> 'a'", []any{int64(1)}},
		{"SELECT coalesce(sum(n), 0) FROM trays WHERE station = 'nowhere'", []any{int64(0)}},
		{"SELECT /* 'a;' */ 'it''s' || ' here' -- end", []any{"it's here"}},
		{"SELECT CASE WHEN 1 > 2 THEN 'x' ELSE 'y' END", []any{"y"}},
	} {
		rows, err := c.Query(t.Context(), test.query)
		if err != nil {
			t.Fatalf("%s: %v", test.query, err)
		}
		got, err := pgx.CollectRows(rows, func(r pgx.CollectableRow) (any, error) {
			values, err := r.Values()
			return values[0], err
		})
		if err != nil {
			t.Fatalf("%s: %v", test.query, err)
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: %s", test.query, diff)
		}
	}
}

// Guards against writes that touch the wrong rows or report the wrong count.
func TestWrites(t *testing.T) {
	c := connect(t, startWith(t, trays))
	for _, test := range []struct{ statement, tag string }{
		{"INSERT INTO trays (station) VALUES ('a'), ('b'), ('c')", "INSERT 0 3"},
		{"INSERT INTO trays VALUES (2, 'again', 1), (9, 'new', 1) ON CONFLICT (id) DO NOTHING", "INSERT 0 1"},
		{"INSERT INTO trays VALUES (DEFAULT, 'after', DEFAULT)", "INSERT 0 1"},
		{"UPDATE trays SET n = n + 5, station = 'z' WHERE id < 3", "UPDATE 2"},
		{"DELETE FROM trays WHERE station = 'c'", "DELETE 1"},
		{"DELETE FROM trays WHERE id = 77", "DELETE 0"},
	} {
		tag, err := c.Exec(t.Context(), test.statement)
		if err != nil || tag.String() != test.tag {
			t.Fatalf("%s: %q, %v", test.statement, tag, err)
		}
	}
	if got := queryInt(t, c, "SELECT sum(n) FROM trays WHERE station = 'z'"); got != 10 {
		t.Fatalf("sum is %d, want 10", got)
	}
	if got := queryInt(t, c, "INSERT INTO trays (station) VALUES ($1) RETURNING id", "x"); got != 11 {
		t.Fatalf("id is %d, want 11: a number was given twice or skipped", got)
	}
}

// Guards against a wrong SQLSTATE, by which drivers and the proxy decide.
func TestErrorCodes(t *testing.T) {
	s := startWith(t, trays+"; INSERT INTO trays (station) VALUES ('a')")
	c := connect(t, s)
	for statement, state := range map[string]string{
		"SELEC 1":                                         "42601",
		"SELECT 1 FROM":                                   "42601",
		"SELECT 'open":                                    "42601",
		"SELECT * FROM missing":                           "42P01",
		"INSERT INTO missing VALUES (1)":                  "42P01",
		"SELECT missing FROM trays":                       "42703",
		"SELECT missing()":                                "42883",
		"INSERT INTO trays VALUES (1,'b')":                "23505",
		"UPDATE trays SET station = NULL":                 "23502",
		"INSERT INTO trays (n, station) VALUES ('x','y')": "22P02",
		"CREATE TABLE trays (id int)":                     "42P07",
		"EXECUTE missing":                                 "26000",
		"SET missing = 1":                                 "42704",
		"SELECT 1/0":                                      "22012",
		"SELECT pg_promote()":                             "55000",
	} {
		_, err := c.Exec(t.Context(), statement, pgx.QueryExecModeSimpleProtocol)
		if got := stateOf(err); got != state {
			t.Errorf("%s: SQLSTATE is %q, want %q (%v)", statement, got, state, err)
		}
		_, err = c.Exec(t.Context(), statement, pgx.QueryExecModeExec)
		if got := stateOf(err); got != state {
			t.Errorf("%s in the extended protocol: SQLSTATE is %q, want %q (%v)", statement, got, state, err)
		}
	}
}

// Guards against prepared statements that leak between names or miscount parameters.
func TestPreparedStatements(t *testing.T) {
	c := connect(t, startWith(t, trays+"; INSERT INTO trays (station) VALUES ('a'), ('b')"))
	if _, err := c.Prepare(t.Context(), "one", "SELECT id FROM trays WHERE station = $1"); err != nil {
		t.Fatal(err)
	}
	if got := queryInt(t, c, "one", "b"); got != 2 {
		t.Fatalf("id is %d, want 2", got)
	}
	mustExec(t, c, "PREPARE two (text) AS SELECT id FROM trays WHERE station = $1")
	if got := queryInt(t, c, "EXECUTE two ('a')"); got != 1 {
		t.Fatalf("id is %d, want 1", got)
	}
	_, err := c.Exec(t.Context(), "EXECUTE two")
	wantState(t, err, "42601")
	mustExec(t, c, "DEALLOCATE two")
	_, err = c.Exec(t.Context(), "EXECUTE two ('a')")
	wantState(t, err, "26000")
}

// Guards against COPY that loses rows at message boundaries, or mangles special
// characters and NULL.
func TestCopy(t *testing.T) {
	c := connect(t, startWith(t, trays))
	odd := "tab\tline\nback\\slash"
	rows := [][]any{{int64(1), odd, nil}, {int64(2), "plain", int32(4)}}
	count, err := c.CopyFrom(t.Context(), pgx.Identifier{"trays"}, []string{"id", "station", "n"}, pgx.CopyFromRows(rows))
	if err != nil || count != 2 {
		t.Fatalf("%d rows, %v", count, err)
	}
	var out copyBuffer
	if _, err := c.PgConn().CopyTo(t.Context(), &out, "COPY trays TO STDOUT"); err != nil {
		t.Fatal(err)
	}
	want := "1\ttab\\tline\\nback\\\\slash\t\\N\n2\tplain\t4\n"
	if diff := cmp.Diff(want, string(out.data)); diff != "" {
		t.Fatal(diff)
	}
	mustExec(t, c, "DELETE FROM trays")
	tag, err := c.PgConn().CopyFrom(t.Context(), &out, "COPY trays FROM STDIN")
	if err != nil || tag.String() != "COPY 2" {
		t.Fatalf("%q, %v", tag, err)
	}
	if got := queryInt(t, c, "SELECT count(*) FROM trays WHERE station = $1 AND n IS NULL", odd); got != 1 {
		t.Fatal("the odd row did not survive")
	}
	out.data = []byte("3\tx\n")
	_, err = c.PgConn().CopyFrom(t.Context(), &out, "COPY trays FROM STDIN")
	wantState(t, err, "22P04")
	if got := queryInt(t, c, "SELECT count(*) FROM trays"); got != 2 {
		t.Fatalf("a failed COPY left rows: %d", got)
	}
}

// copyBuffer returns its data in pieces of three bytes, so that rows are split
// between messages.
type copyBuffer struct{ data []byte }

func (b *copyBuffer) Write(p []byte) (int, error) {
	b.data = append(b.data, p...)
	return len(p), nil
}

func (b *copyBuffer) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(3, len(p))], b.data)
	b.data = b.data[n:]
	return n, nil
}
