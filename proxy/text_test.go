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

// Guards against a position question where it would break a COPY or a chained
// transaction, and against callers' session state being overlooked.
func TestStatementTexts(t *testing.T) {
	cases := []struct {
		sql                     string
		follows, commits, pinsW bool
		pinsT                   bool
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
		{sql: "SET search_path TO x", pinsW: true},
		{sql: "SET LOCAL search_path TO x"},
		{sql: "SELECT set_config('a.b', 'c', false)", follows: true, pinsT: true},
		{sql: "SELECT pg_advisory_lock_shared(1)", follows: true, pinsT: true},
		{sql: "SELECT temperature FROM oven", follows: true},
		{sql: "SELECT 1 INTO TEMP x", follows: true, pinsT: true},
		{sql: "LISTEN x", pinsW: true},
		{sql: "SELECT weekend FROM t", follows: true},
		{sql: ""},
	}
	for _, c := range cases {
		if got := positionFollows(c.sql); got != c.follows {
			t.Errorf("%q: position follows %v", c.sql, got)
		}
		if got := mayCommit(c.sql); got != c.commits {
			t.Errorf("%q: may commit %v", c.sql, got)
		}
		if got := pinsByWord(c.sql); got != c.pinsW {
			t.Errorf("%q: pins by word %v", c.sql, got)
		}
		if got := pinsByText(c.sql); got != c.pinsT {
			t.Errorf("%q: pins by text %v", c.sql, got)
		}
	}
}

// Guards against local commands being sent upstream, and others being kept back.
func TestParseLocal(t *testing.T) {
	cases := []struct {
		sql   string
		local bool
		want  localCommand
	}{
		{"SET jayloom.route = 'a'", true, localCommand{"SET", nameRoute, "a"}},
		{"set session JAYLOOM.Slot to 3;", true, localCommand{"SET", nameSlot, "3"}},
		{"/* x */ SHOW jayloom.session ;", true, localCommand{"SHOW", nameSession, ""}},
		{"RESET jayloom.route", true, localCommand{"RESET", nameRoute, ""}},
		{"SET jayloom.route = 'it''s'", true, localCommand{"SET", nameRoute, "it's"}},
		{"SET jayloom.route = 'a'; DROP TABLE t", true, localCommand{"", nameRoute, ""}},
		{"SET search_path = 'jayloom.route'", false, localCommand{}},
		{"SELECT 1", false, localCommand{}},
	}
	for _, c := range cases {
		got, local := parseLocal(c.sql)
		if local != c.local || got.verb != c.want.verb || got.verb != "" && got != c.want {
			t.Errorf("%s: got %+v, %v", c.sql, got, local)
		}
	}
}

// Guards against a crash on any startup message, and against parameters that do not
// come from it.
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

// Guards against a crash on any message of an authenticated caller.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{'P', 0, 0, 0, 8, 0, 0, 0, 0, 'B', 0, 0, 0, 6, 0, 0, 'S', 0, 0, 0, 4})
	f.Add([]byte{'Q', 0, 0, 0, 5, 0, 'C', 0, 0, 0, 6, 'S', 0, 'H', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, stream []byte) {
		s := newDetached()
		ours, theirs := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.serveDetached(ours)
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

// detached is a server whose view serves nothing, for messages that are refused
// before anything is sent.
type detached struct{ *Server }

func emptyView() view.View { return view.NewStore() }

func newDetached() detached {
	s := &Server{registry: newRegistry(), retries: newRetryBudget(10)}
	s.admission = admission.New(&fakeTokens{}, func() {})
	s.view = emptyView()
	return detached{s}
}

func (d detached) serveDetached(conn net.Conn) {
	h := &handshake{server: d.Server}
	h.setConn(conn)
	c := &caller{server: d.Server, tx: txIdle, team: "driver", net: h.net, rd: h.rd, out: h.out}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.run()
}
