package e2e

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/jayloom/jayloom/api/rescode"
)

const (
	// servingLease is how long a proxy may serve without contact with control.
	servingLease = 5 * time.Second
	// queuedMetric counts the requests of a proxy that waited for an upstream connection.
	queuedMetric = "jayloom_proxy_pool_queued_total"
)

func connectWithKey(t *testing.T, d *Deployment, p *Proxy, key string) *pgx.Conn {
	t.Helper()
	conn, err := d.ConnectAs(t.Context(), p, Team, key)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// checkEndedByWithdrawal fails unless a caller's request or connection ended because its key
// was withdrawn.
func checkEndedByWithdrawal(t *testing.T, what string, conn *pgx.Conn, err error) {
	t.Helper()
	if code := rescode.Code(resultCode(err)); code != rescode.KeyWithdrawn && !conn.IsClosed() {
		t.Errorf("%s: %v", what, err)
	}
}

// maxWithdrawals is how often a key is withdrawn until a request has stayed in the queue until then.
const maxWithdrawals = 5

// Guards against a withdrawn key that continues to work for connected callers: idle, in a
// transaction, and queued for an upstream connection.
func TestWithdrawnKeyEndsConnectedCallers(t *testing.T) {
	d := Start(t, Options{ConnectionLimit: 6, StandIns: 1})
	d.Ctl("route", "set", "patient", "--service", Service, "--deadline-ms", "60000")
	d.Ctl("route", "set", "hasty", "--service", Service, "--deadline-ms", "200")
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	ranBefore := map[int64]bool{}
	held := false
	for attempt := 0; !held && attempt < maxWithdrawals; attempt++ {
		held = withdrawWhileQueued(t, d, attempt, ranBefore)
	}
	if !held {
		t.Errorf("no request stayed in the queue until its key was withdrawn, in %d attempts", maxWithdrawals)
	}
	for _, e := range d.Audit(d.StandIns[0]) {
		if strings.Contains(e.Statement, "'queued'") && !ranBefore[queuedID(t, e.Statement)] {
			t.Errorf("a queued request ran under a withdrawn key: %s", e.Statement)
		}
	}
	for _, id := range rowIDs(t, d) {
		if !ranBefore[id] {
			t.Errorf("row %d was written under a withdrawn key", id)
		}
	}
}

// queuedRequest is a request that waits for an upstream connection.
type queuedRequest struct {
	id    int64
	conn  *pgx.Conn
	ended chan struct{}
	// err and endedAt are set when it has ended.
	err     error
	endedAt time.Time
}

// withdrawWhileQueued withdraws a new key of callers that are idle, in a transaction and queued, and checks
// that it ends all of them. It returns false if a queued request got a connection before that, since control
// had moved one to its proxy; the row of that request is added to ranBefore.
func withdrawWhileQueued(t *testing.T, d *Deployment, attempt int, ranBefore map[int64]bool) (held bool) {
	t.Helper()
	withdrawn := strings.TrimSpace(d.Ctl("key", "give", Team))
	waitForProxyRevision(d, d.Show().State.Revision)
	var idle, inTransaction []*pgx.Conn
	var requests []*queuedRequest
	for i, p := range d.Proxies {
		id := int64(100*attempt + i)
		idle = append(idle, connectWithKey(t, d, p, withdrawn))
		inTransaction = append(inTransaction, connectWithKey(t, d, p, withdrawn))
		requests = append(requests, &queuedRequest{
			id: 1000 + id, conn: connectWithKey(t, d, p, withdrawn), ended: make(chan struct{}),
		})
		exec(t, inTransaction[i], "BEGIN")
		exec(t, inTransaction[i], fmt.Sprintf("INSERT INTO lot VALUES (%d, 'inside')", id))
	}
	// Connections that one proxy gains while another is filled are taken in the second round, so
	// that the queued requests stay in the queue.
	var holders []*pgx.Conn
	for range 2 {
		for _, p := range d.Proxies {
			holders = append(holders, exhaustConnections(t, d, p)...)
		}
	}
	for i, p := range d.Proxies {
		before := d.Metric(p.HTTP, queuedMetric)
		go requests[i].run()
		d.WaitFor("a queued request", func() bool { return d.Metric(p.HTTP, queuedMetric) > before })
	}

	withdrawnAt := time.Now()
	d.Ctl("key", "withdraw", Team, withdrawn)
	held = true
	for i, p := range d.Proxies {
		r := requests[i]
		<-r.ended
		if r.err == nil && r.endedAt.Before(withdrawnAt) {
			t.Logf("the queued request on %s ran %v before its key was withdrawn", p.Name, withdrawnAt.Sub(r.endedAt))
			ranBefore[r.id], held = true, false
		} else {
			checkEndedByWithdrawal(t, "queued on "+p.Name, r.conn, r.err)
		}
		checkIdleCallersEnd(t, d, p, idle[i], inTransaction[i])
		if _, err := d.ConnectAs(t.Context(), p, Team, withdrawn); rescode.Code(resultCode(err)) != rescode.WrongKey {
			t.Errorf("%s: connecting with a withdrawn key: %v", p.Name, err)
		}
	}
	for _, conn := range holders {
		closeConn(conn)
	}
	return held
}

// queuedStatement is the statement of a queuedRequest, with its row.
const queuedStatement = "INSERT INTO lot VALUES (%d, 'queued') /*route='patient'*/"

func (r *queuedRequest) run() {
	defer close(r.ended)
	_, r.err = r.conn.Exec(context.Background(), fmt.Sprintf(queuedStatement, r.id))
	r.endedAt = time.Now()
}

// queuedID returns the row of a queuedStatement.
func queuedID(t *testing.T, statement string) int64 {
	t.Helper()
	var id int64
	if _, err := fmt.Sscanf(statement, queuedStatement, &id); err != nil {
		t.Errorf("unexpected statement %q: %v", statement, err)
	}
	return id
}

// checkIdleCallersEnd waits for the end of an idle caller and of one in a transaction.
func checkIdleCallersEnd(t *testing.T, d *Deployment, p *Proxy, idle, inTransaction *pgx.Conn) {
	t.Helper()
	d.WaitFor("the end of the idle caller", func() bool {
		_, err := idle.Exec(t.Context(), "SELECT 1 /*route='hasty'*/")
		return err != nil && idle.IsClosed()
	})
	d.WaitFor("the end of the caller in a transaction", func() bool {
		_, err := inTransaction.Exec(t.Context(), "COMMIT")
		if err == nil {
			t.Fatalf("%s: a transaction was committed under a withdrawn key", p.Name)
		}
		return inTransaction.IsClosed()
	})
}

// exhaustConnections opens transactions until the pool of a proxy has no free connection, and returns the
// connections that hold them.
func exhaustConnections(t *testing.T, d *Deployment, p *Proxy) []*pgx.Conn {
	t.Helper()
	var holders []*pgx.Conn
	d.WaitFor("all connections of "+p.Name+" to be in use", func() bool {
		conn := connect(t, d, p)
		holders = append(holders, conn)
		_, err := conn.Exec(t.Context(), "BEGIN /*route='hasty'*/")
		return rescode.Code(resultCode(err)) == rescode.QueueTimeout
	})
	return holders
}

// rowIDs returns the IDs of all rows on the primary, bypassing the proxies.
func rowIDs(t *testing.T, d *Deployment) []int64 {
	t.Helper()
	conn, err := d.ConnectDirectly(t.Context(), d.Primary())
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(conn)
	rows, err := conn.Query(t.Context(), "SELECT id FROM lot")
	if err != nil {
		t.Fatal(err)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	if err != nil {
		t.Fatal(err)
	}
	return ids
}

// Guards against a proxy that is cut off from control and serves a withdrawn key for longer
// than its serving lease. It has to stop by itself.
func TestCutOffProxyStopsServingWithdrawnKey(t *testing.T) {
	d := Start(t, Options{StandIns: 1})
	withdrawn := strings.TrimSpace(d.Ctl("key", "give", Team))
	waitForProxyRevision(d, d.Show().State.Revision)
	cutOff := d.Proxies[1]
	idle, inTransaction := connectWithKey(t, d, cutOff, withdrawn), connectWithKey(t, d, cutOff, withdrawn)
	exec(t, inTransaction, "BEGIN")
	for _, c := range d.Controls {
		d.Cut(cutOff.Name, c.Name)
	}
	d.Ctl("key", "withdraw", Team, withdrawn)
	cut, last := time.Now(), time.Now()
	d.WaitFor("the proxy to stop", func() bool {
		_, idleErr := idle.Exec(t.Context(), "SELECT 1")
		if idleErr == nil {
			last = time.Now()
		}
		_, insideErr := inTransaction.Exec(t.Context(), "SELECT 2")
		if insideErr == nil {
			last = time.Now()
		}
		return idleErr != nil && insideErr != nil
	})
	// The factor allows for a machine that is slow to run the proxy's timer.
	if served := last.Sub(cut); served > 2*servingLease {
		t.Errorf("the withdrawn key was served for %v after the cut", served)
	}
	if _, err := d.ConnectAs(t.Context(), cutOff, Team, withdrawn); err == nil {
		t.Error("the proxy that is cut off from control accepts a withdrawn key")
	}
	for _, c := range d.Controls {
		d.Heal(cutOff.Name, c.Name)
	}
	d.WaitFor("the proxy to serve again", func() bool {
		conn, err := d.Connect(t.Context(), cutOff)
		if err != nil {
			return false
		}
		defer closeConn(conn)
		_, err = conn.Exec(t.Context(), "SELECT 1")
		return err == nil
	})
	if _, err := d.ConnectAs(t.Context(), cutOff, Team, withdrawn); err == nil {
		t.Error("the proxy accepts a withdrawn key after it reconnected to control")
	}
}
