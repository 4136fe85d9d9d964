package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/proxy/admission"
	"github.com/jayloom/jayloom/proxy/view"
)

// Guards against a position query that would break a COPY or a chained transaction, and
// against overlooking session state.
func TestStatementTexts(t *testing.T) {
	cases := []struct {
		sql                      string
		follows, commits, byWord bool
		byText                   bool
	}{
		{sql: "INSERT INTO t VALUES (1)", follows: true},
		{sql: " /* a /* b */ */ -- c\n update t SET a = 1;", follows: true},
		{sql: "INSERT INTO t VALUES (1); COPY t FROM STDIN"},
		{sql: "INSERT INTO t VALUES (1); -- end", follows: true, commits: true},
		{sql: "COPY t FROM STDIN"},
		{sql: "commit", follows: true, commits: true},
		{sql: "COMMIT AND CHAIN", commits: true},
		{sql: "WITH x AS (SELECT 1) SELECT * FROM x", follows: true},
		{sql: "SELECT 1; SELECT 2"},
		{sql: "SET search_path TO x", byWord: true},
		{sql: "SET LOCAL search_path TO x"},
		{sql: "SELECT set_config('a.b', 'c', false)", follows: true, byText: true},
		{sql: "SELECT pg_advisory_lock_shared(1)", follows: true, byText: true},
		{sql: "SELECT temperature FROM oven", follows: true},
		{sql: "SELECT 1 INTO TEMP x", follows: true, byText: true},
		{sql: "LISTEN x", byWord: true},
		{sql: "SELECT weekend FROM t", follows: true},
		{sql: ""},
	}
	for _, c := range cases {
		if got := canAppendPositionQuery(c.sql); got != c.follows {
			t.Errorf("%q: can append a position query: %v", c.sql, got)
		}
		if got := mayCommit(c.sql); got != c.commits {
			t.Errorf("%q: may commit %v", c.sql, got)
		}
		if got := pinsByFirstWord(c.sql); got != c.byWord {
			t.Errorf("%q: pins by word %v", c.sql, got)
		}
		if got := pinsByText(c.sql); got != c.byText {
			t.Errorf("%q: pins by text %v", c.sql, got)
		}
	}
}

// Guards against sending local commands to an upstream, and against handling other
// statements locally.
func TestParseLocal(t *testing.T) {
	cases := []struct {
		sql   string
		local bool
		want  localCommand
	}{
		{"SET jayloom.route = 'a'", true, localCommand{"SET", settingRoute, "a"}},
		{"set session JAYLOOM.Slot to 3;", true, localCommand{"SET", settingSlot, "3"}},
		{"/* x */ SHOW jayloom.session ;", true, localCommand{"SHOW", settingSession, ""}},
		{"RESET jayloom.route", true, localCommand{"RESET", settingRoute, ""}},
		{"SET jayloom.route = 'it''s'", true, localCommand{"SET", settingRoute, "it's"}},
		{"SET jayloom.route = 'a'; DROP TABLE t", true, localCommand{"", settingRoute, ""}},
		{"SET search_path = 'jayloom.route'", false, localCommand{}},
		{"SELECT 1", false, localCommand{}},
	}
	for _, c := range cases {
		got, local := parseLocalCommand(c.sql)
		if local != c.local || got.verb != c.want.verb || got.verb != "" && got != c.want {
			t.Errorf("%s: got %+v, %v", c.sql, got, local)
		}
	}
}

// Guards against a crash on any startup message, and against accepting a caller without
// a team.
func FuzzStartup(f *testing.F) {
	message, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "driver", "options": `-c jayloom.slot=1 --a\ b=c`}}).Encode(nil)
	f.Add(message[4:])
	f.Add([]byte{0, 3, 0, 0, 0})
	f.Fuzz(func(t *testing.T, body []byte) {
		packet, err := parseStartup(body)
		if err != nil {
			return
		}
		c := &caller{}
		if c.applyStartup(packet.parameters) == nil && c.team == "" {
			t.Error("a caller without a team was accepted")
		}
	})
}

// Guards against a crash on any messages of an authenticated caller.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{'P', 0, 0, 0, 8, 0, 0, 0, 0, 'B', 0, 0, 0, 6, 0, 0, 'S', 0, 0, 0, 4})
	f.Add([]byte{'Q', 0, 0, 0, 5, 0, 'C', 0, 0, 0, 6, 'S', 0, 'H', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, stream []byte) {
		s := newDetachedServer()
		ours, theirs := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.serveCaller(ours)
		}()
		_ = theirs.SetDeadline(time.Now().Add(5 * time.Second))
		go func() {
			_, _ = theirs.Write(stream)
			_ = theirs.Close()
		}()
		discardInput(theirs)
		<-done
	})
}

// detachedServer is a server with an empty view, for messages that are refused before
// anything is sent to an upstream.
type detachedServer struct{ *Server }

func emptyView() view.View { return view.NewStore() }

func newDetachedServer() detachedServer {
	s := &Server{registry: newRegistry(), retries: newRetryBudget(10)}
	s.admission = admission.New(&fakeTokens{}, func() {})
	s.view = emptyView()
	return detachedServer{s}
}

func (d detachedServer) serveCaller(conn net.Conn) {
	h := &handshake{server: d.Server}
	h.setConn(conn)
	c := &caller{server: d.Server, tx: txIdle, team: "driver", net: h.net, rd: h.rd, out: h.out}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.run()
}
