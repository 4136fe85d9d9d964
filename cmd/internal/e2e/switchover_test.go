package e2e

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// shortLag keeps replicas behind the newest writes at any moment under load, and is short
// enough for a replica to catch up before callers time out.
const shortLag = 100 * time.Millisecond

// checkStored fails for acknowledged writes that a stand-in does not store.
func checkStored(t *testing.T, d *Deployment, h *history, s *StandIn) {
	t.Helper()
	conn, err := d.ConnectDirectly(t.Context(), s)
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
	stored := map[int64]bool{}
	for _, id := range ids {
		stored[id] = true
	}
	for _, w := range h.recordedWrites() {
		if w.err == nil && !stored[w.id] {
			t.Errorf("write %d was acknowledged by %s and is not on %s", w.id, w.proxy, s.Name)
		}
	}
}

// switchOver makes the primary announce that it is leaving, calls during, and returns the
// old and the next primary. Transactions that stay open are committed after the promotion.
func switchOver(t *testing.T, d *Deployment, h *history, during func()) (old, next *StandIn) {
	t.Helper()
	old = d.Primary()
	term := d.Group().Term
	commitOld := openTransactions(t, d, h, d.Proxies[0])
	old.Announcer.Leave(t.Context())
	during()
	next = d.WaitForTerm(term + 1)
	commitOld()
	if next == old || !old.Running() {
		t.Fatalf("%s follows %s, which runs: %t", next.Name, old.Name, old.Running())
	}
	waitForWrites(d, h, d.Proxies...)
	return old, next
}

// Guards against a planned switchover that loses an acknowledged write, that waits for the
// leaving primary to exit, or after which that primary acknowledges writes; then the same
// when the control leader is killed during the switchover.
func TestLeavingPrimaryIsReplacedWithoutLoss(t *testing.T) {
	d := Start(t, Options{Lag: shortLag})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	h := newHistory()
	stop := h.startWriters(d, 4, d.Proxies...)
	defer stop()
	waitForWrites(d, h, d.Proxies...)

	leader := d.Leader()
	first, second := switchOver(t, d, h, func() {})
	if n := d.Metric(leader.HTTP, `jayloom_control_switchovers_total{outcome="completed"}`); n != 1 {
		t.Errorf("%v switchovers were counted as completed", n)
	}
	_, third := switchOver(t, d, h, func() {
		d.WaitFor("the fence", func() bool { return d.Group().GetSwitchover() })
		leader.Kill()
	})
	stop()
	checkNoAcknowledgementAfter(t, d, h, first, termStartTime(t, d, 2))
	checkNoAcknowledgementAfter(t, d, h, second, termStartTime(t, d, 3))
	checkAcknowledgedWrites(t, d, h)
	checkStored(t, d, h, third)
}
