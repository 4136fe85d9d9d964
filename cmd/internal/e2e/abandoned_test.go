package e2e

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/jackc/pgx/v5"
)

// IDs of the rows that the abandoned work writes.
const (
	abandonedRow = 7001
	copiedRow    = 7002
)

// startAbandonedWork starts a transaction and a COPY that are in progress on the primary
// when it returns.
func startAbandonedWork(t *testing.T, d *Deployment, p *Proxy) (transaction, copying *pgx.Conn) {
	t.Helper()
	transaction, copying = connect(t, d, p), connect(t, d, p)
	exec(t, transaction, "BEGIN")
	exec(t, transaction, "SET statement_timeout = 12345")
	exec(t, transaction, fmt.Sprintf("INSERT INTO lot VALUES (%d, 'abandoned')", abandonedRow))
	reader, writer := io.Pipe()
	go func() {
		// It returns an error when the proxy or the caller is gone.
		_, _ = copying.PgConn().CopyFrom(context.Background(), reader, "COPY lot FROM STDIN")
		reader.Close()
	}()
	// The second write returns once the first was read for sending.
	for i := range 2 {
		if _, err := fmt.Fprintf(writer, "%d\tcopied\n", copiedRow+i); err != nil {
			t.Fatal(err)
		}
	}
	d.WaitFor("the COPY on the primary", func() bool {
		return hasOpenStatement(t, d, d.Primary(), "COPY lot FROM STDIN")
	})
	return transaction, copying
}

// checkNothingLeft fails if later callers see any of the abandoned work. They use every
// upstream connection of the proxy several times.
func checkNothingLeft(t *testing.T, d *Deployment, p *Proxy, unusedID int64) {
	t.Helper()
	for range 20 {
		conn := connect(t, d, p)
		var timeout string
		if err := conn.QueryRow(t.Context(), "SHOW statement_timeout").Scan(&timeout); err != nil {
			t.Fatal(err)
		}
		if timeout == "12345" || timeout == "12345ms" {
			t.Errorf("%s: the next caller has a setting of the previous one", p.Name)
		}
		if status := conn.PgConn().TxStatus(); status != 'I' {
			t.Errorf("%s: the next caller begins with transaction status %c", p.Name, status)
		}
	}
	if ids := rowIDs(t, d); len(ids) != 0 {
		t.Errorf("%s: rows of abandoned work: %v", p.Name, ids)
	}
	// A transaction that was left open would hold these keys.
	conn := connect(t, d, p)
	for _, id := range []int64{abandonedRow, copiedRow, unusedID} {
		exec(t, conn, fmt.Sprintf("INSERT INTO lot VALUES (%d, 'next')", id))
	}
	exec(t, conn, "DELETE FROM lot")
}

// Guards against uncommitted work that stays visible, or session state that passes to the
// next caller, after a proxy was killed during a transaction and a COPY.
func TestKilledProxyLeavesNoTrace(t *testing.T) {
	d := Start(t, Options{StandIns: 1})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	killed, other := d.Proxies[0], d.Proxies[1]
	transaction, copying := startAbandonedWork(t, d, killed)
	killed.Kill()
	d.WaitFor("the end of both callers", func() bool {
		_, err := transaction.Exec(t.Context(), "COMMIT")
		return err != nil && copying.IsClosed()
	})
	checkNothingLeft(t, d, other, 7100)
	killed.Start()
	checkNothingLeft(t, d, killed, 7200)
}

// Guards against an upstream connection that passes to the next caller with the
// transaction, the COPY or the settings of a caller that closed its socket without ending
// its session.
func TestVanishedCallerLeavesNoTrace(t *testing.T) {
	d := Start(t, Options{StandIns: 1})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	transaction, copying := startAbandonedWork(t, d, d.Proxies[0])
	transaction.PgConn().Conn().Close()
	copying.PgConn().Conn().Close()
	d.WaitFor("the end of the abandoned work", func() bool {
		primary := d.Primary()
		return !hasOpenStatement(t, d, primary, "COPY lot FROM STDIN") && !hasOpenStatement(t, d, primary, "'abandoned'")
	})
	checkNothingLeft(t, d, d.Proxies[0], 7100)
}
