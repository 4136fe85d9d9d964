package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/jayloom/jayloom/api/controlpb"
)

// readLoad counts the reads that proxies answered.
type readLoad struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *readLoad) answered(proxy string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[proxy]
}

// readTag is part of the text of each read and identifies the proxy in the audit.
func readTag(proxy string) string { return "reader " + proxy }

// startReaders starts callers that read from replicas through proxies until the returned
// function is called.
func startReaders(d *Deployment, readers int, proxies ...*Proxy) (*readLoad, func()) {
	l := &readLoad{counts: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, p := range proxies {
		for range readers {
			running.Go(func() { l.runReader(ctx, d, p) })
		}
	}
	return l, func() {
		cancel()
		running.Wait()
	}
}

func (l *readLoad) runReader(ctx context.Context, d *Deployment, p *Proxy) {
	statement := fmt.Sprintf("SELECT id FROM lot WHERE proxy = '%s' /*route='old'*/", readTag(p.Name))
	for pause(ctx, reconnectDelay) {
		conn, err := d.Connect(ctx, p)
		if err != nil {
			continue
		}
		for pause(ctx, writeInterval) && !conn.IsClosed() {
			if _, err := conn.Exec(ctx, statement); err == nil {
				l.mu.Lock()
				l.counts[p.Name]++
				l.mu.Unlock()
			}
		}
		closeConn(conn)
	}
}

// readsAfter returns how many reads of a proxy a stand-in began after the given time.
func readsAfter(d *Deployment, s *StandIn, proxy string, after time.Time) int {
	count := 0
	for _, e := range d.Audit(s) {
		if strings.Contains(e.Statement, readTag(proxy)) && e.At.After(after) {
			count++
		}
	}
	return count
}

func waitForReads(d *Deployment, l *readLoad, p *Proxy) {
	wanted := l.answered(p.Name) + minWrites
	d.WaitFor("reads through "+p.Name, func() bool { return l.answered(p.Name) >= wanted })
}

// startWithReplicaRoute starts a deployment whose replicas serve the reads of a route.
func startWithReplicaRoute(t *testing.T) *Deployment {
	t.Helper()
	d := Start(t, Options{})
	d.Ctl("route", "set", "old", "--service", Service, "--read", "--max-age-ms", "60000")
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	return d
}

func isLeaving(d *Deployment, s *StandIn) bool {
	u := d.Show().GetState().GetUpstreams()[s.Address]
	return u.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_LEAVING
}

// Guards against new work on an upstream that announced that it is leaving to only one
// control VM, a follower, while the leader changes. A transaction that already runs on the
// upstream must be allowed to finish.
func TestLeavingAnnouncedDuringChangeOfLeader(t *testing.T) {
	d := startWithReplicaRoute(t)
	leaving := d.StandIns[2]
	load, stop := startReaders(d, 3, d.Proxies...)
	defer stop()
	for _, p := range d.Proxies {
		d.WaitFor("reads on the replica", func() bool { return readsAfter(d, leaving, p.Name, time.Time{}) > 0 })
	}
	running := transactionOn(t, d, leaving)

	leader := d.Leader()
	notified := controlsExcept(d.Controls, leader)[0]
	leaving.StopAnnouncing()
	announcer := d.AnnouncerTo(leaving, "http://"+notified.HTTP)
	leader.Kill()
	announcer.Leave(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go announcer.Run(ctx)
	d.WaitFor("the upstream to be leaving", func() bool { return isLeaving(d, leaving) })
	waitForProxyRevision(d, d.Show().State.Revision)
	from := time.Now()
	for _, p := range d.Proxies {
		waitForReads(d, load, p)
	}
	exec(t, running, "SELECT id FROM lot WHERE proxy = 'in the transaction'")
	exec(t, running, "COMMIT")
	stop()
	for _, p := range d.Proxies {
		if n := readsAfter(d, leaving, p.Name, from); n > 0 {
			t.Errorf("%s began %d reads on the leaving upstream after it had the change", p.Name, n)
		}
	}
	if !hasRun(d, leaving, "in the transaction") {
		t.Error("the transaction did not continue on the upstream where it began")
	}
}

// Guards against a proxy that was cut off from control before an upstream announced that it
// is leaving, and that continues to use the upstream.
func TestProxyThatMissedLeavingStops(t *testing.T) {
	d := startWithReplicaRoute(t)
	leaving, missed := d.StandIns[2], d.Proxies[1]
	load, stop := startReaders(d, 3, d.Proxies...)
	defer stop()
	d.WaitFor("reads on the replica", func() bool { return readsAfter(d, leaving, missed.Name, time.Time{}) > 0 })
	for _, c := range d.Controls {
		d.Cut(missed.Name, c.Name)
	}
	leaving.Announcer.Leave(t.Context())
	d.WaitFor("the upstream to be leaving", func() bool { return isLeaving(d, leaving) })
	left := time.Now()
	d.WaitFor("the proxy that missed it to stop", func() bool {
		conn, err := d.Connect(t.Context(), missed)
		if err != nil {
			return true
		}
		defer closeConn(conn)
		_, err = conn.Exec(t.Context(), "SELECT 1")
		return err != nil
	})
	stopped := time.Now()
	waitForReads(d, load, d.Proxies[0])
	// The factor allows for a machine that is slow to run the proxy's timer.
	if lasted := stopped.Sub(left); lasted > 2*servingLease {
		t.Errorf("the proxy that is cut off from control served for %v", lasted)
	}
	for _, c := range d.Controls {
		d.Heal(missed.Name, c.Name)
	}
	waitForReads(d, load, missed)
	stop()
	if n := readsAfter(d, leaving, missed.Name, stopped); n > 0 {
		t.Errorf("%d reads began on the leaving upstream after the proxy had stopped", n)
	}
}

// transactionOn returns a connection with an open transaction that reads from s.
func transactionOn(t *testing.T, d *Deployment, s *StandIn) *pgx.Conn {
	t.Helper()
	var found *pgx.Conn
	for i := 0; found == nil; i++ {
		conn := connect(t, d, d.Proxies[0])
		exec(t, conn, "BEGIN /*route='old'*/")
		mark := fmt.Sprintf("probe %d.", i)
		exec(t, conn, fmt.Sprintf("SELECT id FROM lot WHERE proxy = '%s'", mark))
		// The audit file lists a statement only after its transaction has ended.
		if hasOpenStatement(t, d, s, mark) {
			found = conn
			break
		}
		exec(t, conn, "COMMIT")
	}
	return found
}

// hasOpenStatement asks a stand-in whether a statement that contains text has no outcome
// yet.
func hasOpenStatement(t *testing.T, d *Deployment, s *StandIn, text string) bool {
	t.Helper()
	return openStatementCount(t, d, s, text) > 0
}

// openStatementCount returns how many statements that contain text a stand-in is running.
func openStatementCount(t *testing.T, d *Deployment, s *StandIn, text string) int {
	t.Helper()
	conn, err := d.ConnectDirectly(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(conn)
	rows, err := conn.Query(t.Context(), "SELECT statement FROM standin_audit WHERE outcome = 'open'")
	if err != nil {
		t.Fatal(err)
	}
	statements, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, statement := range statements {
		if strings.Contains(statement, text) {
			count++
		}
	}
	return count
}

func hasRun(d *Deployment, s *StandIn, text string) bool {
	for _, e := range d.Audit(s) {
		if strings.Contains(e.Statement, text) {
			return true
		}
	}
	return false
}
