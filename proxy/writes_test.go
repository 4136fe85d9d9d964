package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/proxy/wire"
)

// faultDialer opens connections on which a test can run code or inject a fault between a
// statement and its answer.
type faultDialer struct {
	Dialer
	// trigger is the text of the statements whose answers are affected; hits counts its
	// occurrences.
	trigger []byte
	hits    atomic.Int64
	// onAnswer runs when the answer has arrived, before the proxy reads it. If it
	// returns true, the connection is closed instead.
	onAnswer func(hit int64) bool
}

type faultConn struct {
	net.Conn
	dialer *faultDialer
	armed  int64
}

func (d *faultDialer) Dial(ctx context.Context, address, service string) (*upstreamConn, error) {
	conn, err := d.Dialer.Dial(ctx, address, service)
	if err != nil {
		return nil, err
	}
	conn.net = &faultConn{Conn: conn.net, dialer: d}
	conn.rd = wire.NewReader(conn.net, maxUpstreamMessageBytes)
	conn.out = wire.NewWriter(conn.net)
	return conn, nil
}

func (c *faultConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if bytes.Contains(p, c.dialer.trigger) {
		c.armed = c.dialer.hits.Add(1)
	}
	return n, err
}

func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if hit := c.armed; hit > 0 && err == nil {
		c.armed = 0
		if c.dialer.onAnswer(hit) {
			_ = c.Close()
			return 0, io.EOF
		}
	}
	return n, err
}

// faultyProxy starts a proxy that connects to upstreams through a faultDialer.
func (s *system) faultyProxy(trigger string, onAnswer func(hit int64) bool) (*testProxy, *faultDialer) {
	d := &faultDialer{
		Dialer:   accountDialer{account: s.account()},
		trigger:  []byte(trigger),
		onAnswer: onAnswer,
	}
	return s.proxy(func(o *Options) { o.Dialer = d }), d
}

// expireLease ends the proxy's primary lease now; with fence set it also fences the
// group.
func (s *system) expireLease(p *testProxy, fence bool) {
	s.mu.Lock()
	s.lease = 0
	if fence {
		s.state.Groups["wax-1"].Phase = controlpb.GroupPhase_GROUP_PHASE_FENCED
		s.state.Revision++
	}
	s.mu.Unlock()
	s.publishTo(p)
}

// Guards against acknowledging a write whose primary may have been replaced between
// sending the write and receiving its answer.
func TestWriteWithoutLeaseIsNotAcknowledged(t *testing.T) {
	cases := []struct {
		name  string
		fence bool
		sql   []string
		code  rescode.Code
	}{
		{"lease expired", false, []string{"INSERT INTO intake VALUES (1, 'marker')"}, rescode.WriteWithoutLease},
		{"fenced", true, []string{"INSERT INTO intake VALUES (1, 'marker')"}, rescode.PrimaryReplaced},
		{"commit", false, []string{"BEGIN", "INSERT INTO intake VALUES (1, 'x')", "COMMIT /* marker */"}, rescode.WriteWithoutLease},
		{"in transaction", false, []string{"BEGIN", "INSERT INTO intake VALUES (1, 'marker')"}, rescode.TransactionAborted},
	}
	for protocol, send := range protocols {
		for _, c := range cases {
			t.Run(protocol+" "+c.name, func(t *testing.T) {
				s := newSystem(t, 0)
				var p *testProxy
				p, d := s.faultyProxy("marker", func(int64) bool {
					s.expireLease(p, c.fence)
					return false
				})
				conn := p.driver(t)
				var err error
				for _, sql := range c.sql {
					_, err = send(conn, sql)
				}
				wantCode(t, err, c.code)
				if !conn.IsClosed() {
					t.Error("the connection was not closed")
				}
				if d.hits.Load() != 1 {
					t.Errorf("sent %d times, want 1", d.hits.Load())
				}
			})
		}
	}
}

// Guards against forwarding a read from a primary that may have been replaced: without
// the lease another server may have acknowledged newer writes.
func TestReadWithoutLeaseIsNotForwarded(t *testing.T) {
	for protocol, send := range protocols {
		s := newSystem(t, 0)
		var p *testProxy
		p, _ = s.faultyProxy("marker", func(int64) bool {
			s.expireLease(p, false)
			return false
		})
		tag, err := send(p.driver(t, "jayloom.route=open"), "SELECT 'marker'")
		if code := codeOf(err); code != rescode.AnswerLost || tag.String() != "" {
			t.Errorf("%s: got %q, %v", protocol, tag, err)
		}
	}
}

// Guards against a Sync that acknowledges a write in parts of a batch, or a COPY,
// although the lease has ended before its answer.
func TestSyncWithoutLeaseIsNotAcknowledged(t *testing.T) {
	parts := map[string]func(t *testing.T, f *pgproto3.Frontend){
		"flushed insert": func(t *testing.T, f *pgproto3.Frontend) {
			f.Send(&pgproto3.Parse{Query: "INSERT INTO intake VALUES (1, 'x')"})
			f.Send(&pgproto3.Bind{})
			f.Send(&pgproto3.Execute{})
			f.Send(&pgproto3.Flush{})
			receive(t, f, 'C')
		},
		"COPY": func(t *testing.T, f *pgproto3.Frontend) {
			f.Send(&pgproto3.Parse{Query: "COPY intake FROM STDIN"})
			f.Send(&pgproto3.Bind{})
			f.Send(&pgproto3.Execute{})
			f.Send(&pgproto3.Sync{})
			receive(t, f, 'G')
			f.Send(&pgproto3.CopyData{Data: []byte("1\tx\n")})
			f.Send(&pgproto3.CopyDone{})
			receive(t, f, 'C')
		},
	}
	for name, part := range parts {
		for _, leased := range []bool{true, false} {
			s := newSystem(t, 0)
			p := s.proxy()
			f := p.driver(t).PgConn().Frontend()
			part(t, f)
			if !leased {
				s.expireLease(p, false)
			}
			f.Send(&pgproto3.Sync{})
			if err := f.Flush(); err != nil {
				t.Fatal(err)
			}
			got, positions := answerToSync(t, f)
			if leased != (got == 0) || leased != positions || !leased && got != rescode.WriteWithoutLease {
				t.Errorf("%s, leased %v: code %v, position reported %v", name, leased, got, positions)
			}
		}
	}
}

// answerToSync returns the code of an error, and whether a position was reported.
func answerToSync(t *testing.T, f *pgproto3.Frontend) (code rescode.Code, position bool) {
	t.Helper()
	for {
		message, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := message.(type) {
		case *pgproto3.ParameterStatus:
			position = m.Name == settingSession
		case *pgproto3.ErrorResponse:
			return codeOf(pgconn.ErrorResponseToPgError(m)), position
		case *pgproto3.ReadyForQuery:
			return 0, position
		}
	}
}

// Guards against acknowledging a write whose lease was valid when the answer arrived but
// ended during the position query. A proxy process that was stopped in between continues
// after another server was promoted.
func TestLeaseEndingAfterAnswerPreventsAcknowledgement(t *testing.T) {
	s := newSystem(t, 0)
	var p *testProxy
	p, d := s.faultyProxy("pg_current_wal_insert_lsn", func(int64) bool {
		s.expireLease(p, false)
		return false
	})
	conn := p.driver(t)
	// The position query for two statements in one query takes a separate round trip.
	_, err := conn.PgConn().Exec(t.Context(),
		"INSERT INTO intake VALUES (1, 'x'); INSERT INTO intake VALUES (2, 'x')").ReadAll()
	wantCode(t, err, rescode.WriteWithoutLease)
	if d.hits.Load() != 1 {
		t.Errorf("the position was queried %d times, want 1", d.hits.Load())
	}
}

// Guards against running a statement twice after a lost answer unless it is idempotent,
// and against not retrying an idempotent one.
func TestLostAnswer(t *testing.T) {
	cases := []struct {
		route string
		runs  int64
		code  rescode.Code
	}{{"write", 1, rescode.AnswerLost}, {"upsert", 2, 0}}
	for i := range 2 * len(cases) {
		c, send := cases[i/2], protocols[[]string{"simple", "extended"}[i%2]]
		s := newSystem(t, 0)
		p, d := s.faultyProxy("marker", func(hit int64) bool { return hit == 1 })
		conn := p.driver(t, "jayloom.route="+c.route)
		_, err := send(conn, "UPDATE intake SET note = 'marker'")
		if codeOf(err) != c.code || err != nil && c.code == 0 {
			t.Errorf("%s: got %v", c.route, err)
		}
		if got := d.hits.Load(); got != c.runs || len(statements(s.primary, "marker")) != int(c.runs) {
			t.Errorf("%s: sent %d times, want %d", c.route, got, c.runs)
		}
		exec(t, conn, "SELECT 1")
	}
}

// Guards against retries beyond their budget, which would multiply the load on a failing
// upstream.
func TestRetriesStopAtTheBudget(t *testing.T) {
	s := newSystem(t, 0)
	p, d := s.faultyProxy("marker", func(int64) bool { return true })
	conn := p.driver(t, "jayloom.route=upsert")
	for range 5 {
		_, err := conn.Exec(context.Background(), "UPDATE intake SET note = 'marker'")
		wantCode(t, err, rescode.AnswerLost)
	}
	if got := d.hits.Load(); got > 5+initialRetries+1 {
		t.Errorf("5 requests were sent %d times", got)
	}
}

// Guards against reporting the outcome of a transaction that lost its connection as
// unknown, and against continuing it on another connection.
func TestTransactionLosesItsUpstream(t *testing.T) {
	s := newSystem(t, 0)
	p, _ := s.faultyProxy("marker", func(int64) bool { return true })
	conn := p.driver(t)
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO intake VALUES (1, 'x')")
	_, err := conn.Exec(context.Background(), "UPDATE intake SET note = 'marker'")
	wantCode(t, err, rescode.TransactionAborted)
	if got := queryText(t, p.driver(t), "SELECT count(*)::text FROM intake"); got != "0" {
		t.Errorf("%s rows of an aborted transaction were stored", got)
	}
}

// Guards against acknowledging a write, on a route that waits for a replica, before any
// replica has it, and against not acknowledging it once one does.
func TestAcknowledgementByReplica(t *testing.T) {
	s := newSystem(t, 2)
	conn := s.proxy().driver(t, "jayloom.route=safe")
	exec(t, conn, "INSERT INTO intake VALUES (1, 'x')")
	if s.replicas[0].Position() < s.primary.Position() && s.replicas[1].Position() < s.primary.Position() {
		t.Error("acknowledged before any replica had the write")
	}
	s.replicas[0].SetLag(time.Hour)
	s.replicas[1].SetLag(time.Hour)
	_, err := conn.Exec(context.Background(), "INSERT INTO intake VALUES (2, 'x')")
	wantCode(t, err, rescode.ReplicaWaitTimeout)
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO intake VALUES (3, 'x')")
	_, err = conn.Exec(context.Background(), "COMMIT")
	wantCode(t, err, rescode.ReplicaWaitTimeout)
}

// Guards against failing writes of the new term after a failover that the proxy has
// learned of.
func TestWritesContinueAfterFailover(t *testing.T) {
	s := newSystem(t, 1)
	p, d := s.faultyProxy("marker", func(int64) bool { return false })
	conn := p.driver(t)
	exec(t, conn, "INSERT INTO intake VALUES (1, 'x')")
	s.catchUp(s.replicas[0])
	old, promoted := s.primary, s.replicas[0]
	old.Freeze()
	t.Cleanup(old.Unfreeze)
	blocked := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO intake VALUES (2, 'marker')")
		blocked <- err
	}()
	eventually(t, "the write is sent", func() bool { return d.hits.Load() == 1 })
	s.change(func(state *controlpb.FleetState) {
		state.Groups["wax-1"].Phase = controlpb.GroupPhase_GROUP_PHASE_FENCED
	})
	wantCode(t, <-blocked, rescode.PrimaryReplaced)
	if err := promoted.Promote(); err != nil {
		t.Fatal(err)
	}
	s.primary, s.replicas = promoted, nil
	s.change(func(state *controlpb.FleetState) {
		group := state.Groups["wax-1"]
		group.Phase, group.Term, group.Primary = controlpb.GroupPhase_GROUP_PHASE_HEALTHY, 2, promoted.Addr()
		group.History = append(group.History, &controlpb.TermStart{Term: 2, StartLsn: uint64(promoted.Position()), Timeline: promoted.Timeline()})
		state.Upstreams[old.Addr()].State = controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED
	})
	exec(t, p.driver(t), "INSERT INTO intake VALUES (3, 'x')")
}

// Guards against a caller that continues after its session state was lost.
func TestLostSessionStateEndsTheCaller(t *testing.T) {
	for name, lose := range map[string]func(s *system){
		"leaving": func(s *system) {
			s.change(func(state *controlpb.FleetState) {
				state.Upstreams[s.primary.Addr()].State = controlpb.UpstreamState_UPSTREAM_STATE_LEAVING
			})
		},
		"crashed":     func(s *system) { s.primary.Crash() },
		"answer lost": func(*system) {},
	} {
		s := newSystem(t, 0)
		p, _ := s.faultyProxy("marker", func(int64) bool { return true })
		conn := p.driver(t)
		exec(t, conn, "SET search_path TO mine")
		lose(s)
		_, err := conn.Exec(context.Background(), "SELECT 'marker'")
		if code := codeOf(err); code != rescode.UpstreamLost && code != rescode.AnswerLost || !conn.IsClosed() {
			t.Errorf("%s: got %v, closed %v", name, err, conn.IsClosed())
		}
	}
}

// Guards against a caller's setting that changes the meaning of the proxy's own position
// queries.
func TestPositionQueriesRunWithoutCallerSettings(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(oneConnection)
	conn := p.driver(t, "options='-c search_path=mine'")
	exec(t, conn, "SELECT 1")
	if _, err := p.barrierOf("wax-1").wait(context.Background()); err != nil {
		t.Fatal(err)
	}
	audit := s.primary.Audit()
	if before := audit[len(audit)-2].Statement; before != sqlReset {
		t.Errorf("the statement before the position query was %q", before)
	}
}
