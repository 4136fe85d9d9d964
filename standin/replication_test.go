package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/standin"
	"github.com/jayloom/jayloom/standin/value"
)

const probe = `SELECT pg_is_in_recovery(), CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_insert_lsn() END, (SELECT timeline_id FROM pg_control_checkpoint()), COALESCE((SELECT extract(epoch FROM now() - last_msg_receipt_time) FROM pg_stat_wal_receiver), -1)`

type probed struct {
	recovery bool
	lsn      string
	timeline int
	age      float64
}

func probeOf(t *testing.T, s *standin.Server) probed {
	t.Helper()
	var p probed
	if err := connect(t, s).QueryRow(t.Context(), probe).Scan(&p.recovery, &p.lsn, &p.timeline, &p.age); err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a probe that control cannot read, on either role.
func TestProbe(t *testing.T) {
	p := startWith(t, trays)
	r := replica(t, p)
	if got := probeOf(t, p); got.recovery || got.lsn != p.Position().String() || got.timeline != 1 || got.age != -1 {
		t.Fatalf("the primary answers %+v", got)
	}
	if got := probeOf(t, r); !got.recovery || got.lsn != p.Position().String() || got.timeline != 1 || got.age < 0 {
		t.Fatalf("the replica answers %+v", got)
	}
	var lsn string
	var timeline int
	err := connect(t, r).QueryRow(t.Context(), "SELECT pg_last_wal_replay_lsn(), (SELECT timeline_id FROM pg_control_checkpoint())").Scan(&lsn, &timeline)
	if err != nil || lsn != r.Position().String() || timeline != 1 {
		t.Fatalf("the prefix of replica reads answers %s, %d, %v", lsn, timeline, err)
	}
}

// Guards against a replica that differs from its primary, or takes writes.
func TestReplicaFollows(t *testing.T) {
	p := startWith(t, trays+"; INSERT INTO trays (station, n) VALUES ('a', NULL), ('b', 2), ('c', 3); "+
		`CREATE TABLE kinds (y bytea, l pg_lsn, t timestamptz, f numeric); INSERT INTO kinds VALUES ('\x00ff', '0/1', now(), 1.5)`)
	r := replica(t, p)
	run(t, p, "UPDATE trays SET n = 5 WHERE station = 'b'; DELETE FROM trays WHERE station = 'c'")
	caughtUp(t, r, p)
	c := connect(t, r)
	if got := queryInt(t, c, "SELECT sum(n) + count(*) FROM trays"); got != 7 {
		t.Fatalf("the replica reads %d, want 7", got)
	}
	if got := queryInt(t, c, `SELECT count(*) FROM kinds WHERE y = '\x00ff' AND l = '0/1' AND t < now() AND f = 1.5`); got != 1 {
		t.Fatal("values changed on their way to the replica")
	}
	_, err := c.Exec(t.Context(), "INSERT INTO trays (station) VALUES ('x')")
	wantState(t, err, "25006")
	_, err = c.Exec(t.Context(), "SELECT pg_current_wal_insert_lsn()")
	wantState(t, err, "55000")
}

// Guards against a replica that logs in to its primary by the environment's account.
func TestReplicaIgnoresEnvironment(t *testing.T) {
	t.Setenv("PGUSER", "someone")
	t.Setenv("PGPASSWORD", "else")
	replica(t, startWith(t, trays))
}

// Guards against a lag that is ignored, and against commits inside it that
// survive a promotion although they were not replicated.
func TestLagHoldsBackAndPromotionLoses(t *testing.T) {
	p := startWith(t, trays)
	r := replica(t, p)
	r.SetLag(time.Hour)
	before := r.Position()
	run(t, p, "INSERT INTO trays (station) VALUES ('a')")
	c := connect(t, r)
	if got := queryInt(t, c, "SELECT count(*) FROM trays"); got != 0 || r.Position() != before {
		t.Fatal("the replica applied a commit before its lag")
	}
	r.SetLag(0)
	caughtUp(t, r, p)
	r.SetLag(time.Hour)
	run(t, p, "INSERT INTO trays (station) VALUES ('late')")
	p.Crash()
	mustExec(t, c, "SELECT pg_promote()")
	if got := queryInt(t, c, "SELECT count(*) FROM trays"); got != 1 {
		t.Fatalf("%d rows after the promotion, want 1", got)
	}
	if got := queryInt(t, c, "INSERT INTO trays (station) VALUES ('new') RETURNING id"); got <= 2 {
		t.Fatalf("id %d may have been given by the old primary", got)
	}
}

// Guards against replicas that stay on the old timeline, and against a replaced
// primary that keeps its divergent commits under the new one.
func TestTimelines(t *testing.T) {
	old := startWith(t, trays)
	winner, other := replica(t, old), replica(t, old)
	if err := winner.Promote(); err != nil {
		t.Fatal(err)
	}
	run(t, winner, "INSERT INTO trays (station) VALUES ('a')")
	mustExec(t, connect(t, other), "ALTER SYSTEM SET primary_conninfo = '"+conninfo(winner)+"'")
	mustExec(t, connect(t, other), "SELECT pg_reload_conf()")
	caughtUp(t, other, winner)
	if got := probeOf(t, other); got.timeline != 2 || !got.recovery {
		t.Fatalf("the replica is at %+v", got)
	}

	run(t, old, "INSERT INTO trays (station) VALUES ('divergent')")
	mustExec(t, connect(t, old), "ALTER SYSTEM SET primary_conninfo = '"+conninfo(winner)+"'")
	mustExec(t, connect(t, old), "SELECT pg_reload_conf()")
	if got := probeOf(t, old); got.recovery || got.timeline != 1 {
		t.Fatalf("the replaced primary became %+v without a restart", got)
	}
	address := old.Addr()
	old.Close()
	again := start(t, func(c *standin.Config) { c.Listen, c.Follow = address, winner.Addr() })
	caughtUp(t, again, winner)
	if got := queryInt(t, connect(t, again), "SELECT count(*) FROM trays WHERE station = 'divergent'"); got != 0 {
		t.Fatal("the restarted server kept a commit that its primary does not have")
	}
}

func conninfo(s *standin.Server) string {
	config, err := pgx.ParseConfig(url(s))
	if err != nil {
		panic(err)
	}
	return "host=" + config.Host + " port=" + value.Format(int64(config.Port))
}

// Guards against a replica that follows a primary which lacks what the replica has.
func TestReplicaRefusesPrimaryBehind(t *testing.T) {
	p := startWith(t, trays)
	ahead, behind := replica(t, p), replica(t, p)
	behind.SetLag(time.Hour)
	run(t, p, "INSERT INTO trays (station) VALUES ('a')")
	caughtUp(t, ahead, p)
	if err := behind.Promote(); err != nil {
		t.Fatal(err)
	}
	run(t, behind, "INSERT INTO trays (station) VALUES ('b'), ('c')")
	position := ahead.Position()
	ahead.Follow(behind.Addr())
	late := start(t, func(c *standin.Config) { c.Follow = behind.Addr() })
	caughtUp(t, late, behind)
	if _, streaming := receiverAge(t, ahead); streaming || ahead.Position() != position || ahead.Timeline() != 1 {
		t.Fatal("the replica followed a primary that branched off before its position")
	}
}

func receiverAge(t *testing.T, s *standin.Server) (float64, bool) {
	age := probeOf(t, s).age
	return age, age >= 0
}

// Guards against a frozen server that answers, and a thawed one that lost work.
func TestFreeze(t *testing.T) {
	s := startWith(t, trays)
	c := connect(t, s)
	s.Freeze()
	ended := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO trays (station) VALUES ('a')")
		ended <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("a frozen server answered: %v", err)
	default:
	}
	s.Unfreeze()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// Guards against a frozen replica that goes on applying commits, and against one
// that never catches up again.
func TestFrozenReplicaStandsStill(t *testing.T) {
	p := startWith(t, trays)
	frozen, other := replica(t, p), replica(t, p)
	frozen.Freeze()
	before := frozen.Position()
	run(t, p, "INSERT INTO trays (station) VALUES ('a')")
	caughtUp(t, other, p)
	if frozen.Position() != before {
		t.Fatal("a frozen replica applied a commit")
	}
	frozen.Unfreeze()
	caughtUp(t, frozen, p)
}

// Guards against a shutdown that clients cannot tell from a lost connection, while
// idle or in a statement.
func TestCloseTellsClients(t *testing.T) {
	s := start(t, nil)
	idle, busy := connect(t, s), connect(t, s)
	ended := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "SELECT pg_sleep(3600)")
		ended <- err
	}()
	await(t, func() bool { return len(s.Audit()) > 0 })
	s.Close()
	wantState(t, <-ended, "57P01")
	m, err := idle.PgConn().Frontend().Receive()
	if e, ok := m.(*pgproto3.ErrorResponse); !ok || e.Code != "57P01" || e.Severity != "FATAL" {
		t.Fatalf("an idle client got %v, %v", m, err)
	}
}

// Guards against a crash that leaves clients waiting.
func TestCrashDropsConnections(t *testing.T) {
	s := start(t, nil)
	c := connect(t, s)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "SELECT pg_sleep(3600)")
		ended <- err
	}()
	await(t, func() bool { return len(s.Audit()) > 0 })
	s.Crash()
	if err := <-ended; err == nil || stateOf(err) != "" {
		t.Fatalf("the crash ended the statement with %v", err)
	}
}
