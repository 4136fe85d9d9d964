package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/jayloom/jayloom/api/rescode"
)

const (
	replicaLag = 10 * time.Second
	// roamingSessions is the number of concurrent sessions of each kind, with and without a token.
	roamingSessions = 4
	// roamingRounds is how often each session moves to the other proxy.
	roamingRounds = 25
	tokenName     = "jayloom.session"
)

// roamingSession is a session that moves to another proxy after every write. It increments
// the number in one row and remembers the number that it wrote last.
type roamingSession struct {
	d         *Deployment
	id        int
	usesToken bool
	token     string
	value     int
}

// withConnection calls f with a new connection to a proxy, on which the session's newest
// token is set, and stores the token that the proxy reports afterwards.
func (r *roamingSession) withConnection(ctx context.Context, p *Proxy, f func(conn *pgx.Conn) error) error {
	conn, err := r.d.Connect(ctx, p)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	if r.usesToken && r.token != "" {
		if _, err := conn.Exec(ctx, fmt.Sprintf("SET %s = '%s'", tokenName, r.token)); err != nil {
			return err
		}
	}
	err = f(conn)
	if shown := conn.PgConn().ParameterStatus(tokenName); shown != "" {
		r.token = shown
	}
	return err
}

// write writes the next number; the first write inserts the row.
func (r *roamingSession) write(ctx context.Context, p *Proxy) error {
	next := r.value + 1
	statement := fmt.Sprintf("UPDATE tray SET n = %d WHERE id = %d", next, r.id)
	if next == 1 {
		statement = fmt.Sprintf("INSERT INTO tray VALUES (%d, 1)", r.id)
	}
	err := r.withConnection(ctx, p, func(conn *pgx.Conn) error {
		_, err := conn.Exec(ctx, statement)
		return err
	})
	if err == nil {
		r.value = next
	}
	return err
}

// read returns the number that a read-your-writes read returns, 0 without a row.
func (r *roamingSession) read(ctx context.Context, p *Proxy) (int, error) {
	found := 0
	err := r.withConnection(ctx, p, func(conn *pgx.Conn) error {
		rows, err := conn.Query(ctx, fmt.Sprintf("SELECT n FROM tray WHERE id = %d /*route='own'*/", r.id))
		if err != nil {
			return err
		}
		all, err := pgx.CollectRows(rows, pgx.RowTo[int])
		if len(all) > 0 {
			found = all[0]
		}
		return err
	})
	return found, err
}

// roam writes and reads alternately on both proxies.
func (r *roamingSession) roam(t *testing.T, rounds int) {
	for i := range rounds {
		if err := r.write(t.Context(), r.d.Proxies[i%2]); err != nil {
			t.Errorf("session %d: write %d: %v", r.id, r.value+1, err)
			return
		}
		found, err := r.read(t.Context(), r.d.Proxies[(i+1)%2])
		if err != nil || found != r.value {
			t.Errorf("session %d (token %v) wrote %d and read %d on the other proxy, error %v", r.id, r.usesToken, r.value, found, err)
			return
		}
	}
}

func forEachSession(roamers []*roamingSession, f func(r *roamingSession)) {
	var all sync.WaitGroup
	for _, r := range roamers {
		all.Go(func() { f(r) })
	}
	all.Wait()
}

// readUntilAnswered retries a read until it succeeds or reports a lost session position.
func (r *roamingSession) readUntilAnswered(t *testing.T, p *Proxy) (found int, lost bool) {
	t.Helper()
	r.d.WaitFor(fmt.Sprintf("an answer to session %d", r.id), func() bool {
		var err error
		found, err = r.read(t.Context(), p)
		lost = rescode.Code(resultCode(err)) == rescode.SessionPositionLost
		return err == nil || lost
	})
	return found, lost
}

// Guards against reads that miss a session's own writes while it moves between two proxies
// and replicas lag by 10 s, through a proxy that has just started, and after a failover that
// lost writes: then a session with a token must get an error and never silently older data.
func TestRoamingSessionsReadTheirWrites(t *testing.T) {
	d := Start(t, Options{Lag: replicaLag})
	d.Ctl("route", "set", "own", "--service", Service, "--read")
	exec(t, connect(t, d, d.Proxies[0]), "CREATE TABLE tray (id int PRIMARY KEY, n int)")
	var roamers []*roamingSession
	for i := range 2 * roamingSessions {
		roamers = append(roamers, &roamingSession{d: d, id: i + 1, usesToken: i < roamingSessions})
	}
	forEachSession(roamers, func(r *roamingSession) { r.roam(t, roamingRounds) })

	d.Proxies[1].Kill()
	d.Proxies[1].Start()
	forEachSession(roamers, func(r *roamingSession) {
		if found, lost := r.readUntilAnswered(t, d.Proxies[1]); lost || found != r.value {
			t.Errorf("session %d wrote %d and read %d through a proxy that has just started, lost %v", r.id, r.value, found, lost)
		}
	})

	// The replicas have the rows of the first rounds and none of the later writes.
	d.WaitFor("the rows on a replica", func() bool { return countRows(t, d, d.StandIns[1]) == len(roamers) })
	forEachSession(roamers, func(r *roamingSession) { r.roam(t, roamingRounds) })
	primary, term := d.Primary(), d.Group().Term
	primary.Kill()
	d.WaitForTerm(term + 1)
	forEachSession(roamers[:roamingSessions], func(r *roamingSession) {
		for _, p := range d.Proxies {
			found, lost := r.readUntilAnswered(t, p)
			if !lost && found < r.value {
				t.Errorf("session %d wrote %d and read %d after the failover, without an error", r.id, r.value, found)
			}
			if lost {
				return
			}
		}
		t.Errorf("session %d was not told that its position is lost", r.id)
	})
	if t.Failed() {
		return
	}
	// After the error, a session continues from the number that is stored.
	forEachSession(roamers, func(r *roamingSession) {
		r.token = ""
		r.value, _ = r.readUntilAnswered(t, d.Proxies[0])
		r.roam(t, roamingRounds)
	})
}

func countRows(t *testing.T, d *Deployment, s *StandIn) int {
	t.Helper()
	conn, err := d.ConnectDirectly(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(conn)
	var count int
	if err := conn.QueryRow(t.Context(), "SELECT count(*) FROM tray").Scan(&count); err != nil {
		return 0 // the replica has no table yet
	}
	return count
}
