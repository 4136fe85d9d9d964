package forward

import (
	"context"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/holders"
	"github.com/jayloom/jayloom/gateway/stop"
)

func read(text string) engine.Statement {
	return engine.Statement{ID: "id-" + text, Kind: engine.Read, Text: text}
}

func write(text string) engine.Statement {
	return engine.Statement{ID: "id-" + text, Kind: engine.Write, Text: text}
}

// newFleet starts a node that callers use and the node that holds the connections to the upstream.
func newFleet(t *testing.T) (d *fakeDatabase, edge, holder *testNode) {
	t.Helper()
	d = newFakeDatabase()
	edge, holder = newTestNode(t, d), newTestNode(t, d)
	edge.configure(holder.address)
	holder.configure(holder.address)
	return d, edge, holder
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal(what)
}

// Guards against connections that each node opens, and against values and prepared statements of one caller on the
// shared connection while another caller's statement runs.
func TestCallersOfAllNodesShareTheHoldersConnection(t *testing.T) {
	d, edge, holder := newFleet(t)
	other := newTestNode(t, d)
	other.configure(holder.address)
	a, b := edge.open(), other.open()
	edge.mustRun(a, engine.Statement{ID: "s", Kind: engine.SetValue, Name: "v", Value: "of a"})
	edge.mustRun(a, engine.Statement{ID: "p", Kind: engine.Prepare, Name: "q", Shape: "shape of a"})
	other.mustRun(b, engine.Statement{ID: "p", Kind: engine.Prepare, Name: "q", Shape: "shape of b", Writes: true})
	for range 3 {
		got := edge.mustRun(a, engine.Statement{ID: "1", Kind: engine.Execute, Name: "q", Text: "execute"})
		if r := d.last(); r.value != "of a" || r.shape != "shape of a" || got.Digest != "digest-1" {
			t.Errorf("ran %+v with the digest %q", r, got.Digest)
		}
		other.mustRun(b, engine.Statement{ID: "2", Kind: engine.Execute, Name: "q", Text: "execute"})
		if r := d.last(); r.value != "" || r.shape != "shape of b" {
			t.Errorf("ran %+v", r)
		}
	}
	if edge.dialer.count() != 0 || other.dialer.count() != 0 || holder.dialer.count() != 1 {
		t.Errorf("the nodes opened %d and %d connections, the holder %d", edge.dialer.count(), other.dialer.count(), holder.dialer.count())
	}
}

// Guards against a transaction on two connections, one that goes on after its caller has left, and a connection
// inside a transaction that is handed to another caller.
func TestTransactionKeepsItsConnection(t *testing.T) {
	d, edge, holder := newFleet(t)
	s := edge.open()
	edge.mustRun(s, engine.Statement{ID: "b", Kind: engine.Begin})
	edge.mustRun(s, write("first"))
	conn := d.last().conn
	edge.mustRun(edge.open(), write("of another caller"))
	if d.last().conn == conn {
		t.Fatal("another caller's statement ran inside the transaction")
	}
	edge.mustRun(s, write("second"))
	if r := d.last(); r.conn != conn || !r.inTransaction {
		t.Errorf("ran %+v", r)
	}
	edge.mustRun(s, engine.Statement{ID: "c", Kind: engine.Commit, Text: "COMMIT"})
	if s.State() != engine.Idle || holder.dialer.count() != 2 || edge.dialer.count() != 0 {
		t.Errorf("after the commit: state %v, %d and %d connections", s.State(), holder.dialer.count(), edge.dialer.count())
	}
	gone := edge.open()
	edge.mustRun(gone, engine.Statement{ID: "b", Kind: engine.Begin})
	edge.mustRun(gone, write("third"))
	gone.AbortIdleTransaction()
	eventually(t, "the transaction of a caller that left is still open", func() bool { return d.openConns() == 1 })
}

// Guards against an answer of any size that is held by the holder or by the caller's node.
func TestRowsWaitForTheCaller(t *testing.T) {
	d, edge, _ := newFleet(t)
	d.rows = []string{strings.Repeat("r", 64<<10)}
	s := edge.open()
	reader := &pausedReader{reads: make(chan struct{})}
	s.SendRowsTo(reader)
	answered := make(chan engine.Answer)
	go func() { answered <- s.Handle(context.Background(), read("rows")) }()
	reader.reads <- struct{}{}
	sent := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.sent
	}
	stable := 0
	eventually(t, "the rows were never held back", func() bool {
		before := sent()
		time.Sleep(5 * time.Millisecond)
		if before == sent() {
			stable++
		} else {
			stable = 0
		}
		return stable > 20
	})
	if n := sent(); n > 100 {
		t.Errorf("%d of 1000 parts of 64 KiB were sent to a caller that does not read", n)
	}
	close(reader.reads)
	if a := <-answered; a.Refusal != nil || reader.rows != 1000 {
		t.Errorf("the caller got %d parts and %+v", reader.rows, a.Refusal)
	}
}

// pausedReader is a caller that reads one part of rows for each message on reads.
type pausedReader struct {
	reads chan struct{}
	rows  int
}

func (r *pausedReader) WriteRows(rows []string, _ time.Time) error {
	<-r.reads
	r.rows += len(rows)
	return nil
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// Guards against statements that fail because of a holder that does not take them, and against a second run: nothing
// was sent in any of these cases.
func TestUnitThatIsNotServedRunsDirectly(t *testing.T) {
	for name, prepare := range map[string]func(edge, holder *testNode){
		"unreachable": func(edge, _ *testNode) { edge.configure(unusedAddress(edge.t)) },
		"stopping": func(_, holder *testNode) {
			holder.engine.BeginStop(stop.NewPlan(clock.Now(), time.Minute))
		},
		"without a lease": func(_, holder *testNode) { holder.control.expireLease() },
		"full":            func(_, holder *testNode) { holder.server.limit = 0 },
		"full of bytes":   func(_, holder *testNode) { holder.server.byteLimit.Store(1) },
		"unknown upstream": func(_, holder *testNode) {
			holder.engine.Update(holder.control.View())
			holder.control.view.Topology.Upstreams = nil
			holder.engine.Update(holder.control.View())
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, edge, holder := newFleet(t)
			prepare(edge, holder)
			retries := metrics.GetOrCreateCounter(`jayloom_gateway_retries_total{reason="not_forwarded"}`)
			retriesBefore := retries.Get()
			s := edge.open()
			edge.mustRun(s, write("single"))
			edge.mustRun(s, engine.Statement{ID: "b", Kind: engine.Begin})
			edge.mustRun(s, write("in a transaction"))
			edge.mustRun(s, engine.Statement{ID: "c", Kind: engine.Commit, Text: "COMMIT"})
			if diff := cmp.Diff([]string{"single", "in a transaction", "COMMIT"}, d.texts()); diff != "" {
				t.Error(diff)
			}
			if n := retries.Get() - retriesBefore; n > 0 {
				t.Errorf("%d retries, which are for upstreams", n)
			}
			if holder.dialer.count() != 0 || edge.dialer.count() != 1 {
				t.Errorf("the holder opened %d connections, the caller's node %d", holder.dialer.count(), edge.dialer.count())
			}
		})
	}
}

// Load pattern: a burst that an upstream cannot serve. Guards against statements that its holder refuses and that all
// nodes then send over connections of their own.
func TestUpstreamWithoutRoomIsNotAskedDirectly(t *testing.T) {
	d, edge, holder := newFleet(t)
	answers := make(chan engine.Answer)
	running := 0
	for holder.dialer.count() < holders.Share(23, 1) {
		go func() { answers <- edge.open().Handle(context.Background(), write("wait")) }()
		<-d.started
		running++
	}
	a := edge.open().Handle(context.Background(), write("too much"))
	if a.Refusal == nil || a.Refusal.Code != rescode.QueueTimeout || slices.Contains(d.texts(), "too much") {
		t.Errorf("answered with %+v", a.Refusal)
	}
	if n := edge.dialer.count(); n != 0 {
		t.Errorf("the caller's node opened %d connections", n)
	}
	close(d.release)
	for range running {
		if a := <-answers; a.Refusal != nil {
			t.Errorf("a write that ran was refused: %+v", a.Refusal)
		}
	}
}

// Guards against a second run of a write whose answer was lost with the link, and against a read that fails although it
// may run again.
func TestLinkCutBehindTheSend(t *testing.T) {
	d, edge, holder := newFleet(t)
	answers := make(chan engine.Answer, 2)
	go func() { answers <- edge.open().Handle(context.Background(), write("wait write")) }()
	<-d.started
	holder.grpc.Stop()
	if a := <-answers; a.Refusal == nil || a.Refusal.Code != rescode.AnswerLost {
		t.Errorf("the write was answered with %+v", a.Refusal)
	}
	if diff := cmp.Diff([]string{"wait write"}, d.texts()); diff != "" {
		t.Error(diff)
	}
	d2, edge, holder := newFleet(t)
	go func() { answers <- edge.open().Handle(context.Background(), read("wait read")) }()
	<-d2.started
	holder.grpc.Stop()
	<-d2.started
	close(d2.release)
	if a := <-answers; a.Refusal != nil {
		t.Errorf("the read was refused: %+v", a.Refusal)
	}
}

// Guards against a transaction that goes on although its link was lost, and is said to have been committed or to be
// unsure before a commit was sent.
func TestLinkCutInATransaction(t *testing.T) {
	d, edge, holder := newFleet(t)
	s := edge.open()
	edge.mustRun(s, engine.Statement{ID: "b", Kind: engine.Begin})
	edge.mustRun(s, write("first"))
	holder.grpc.Stop()
	if a := s.Handle(context.Background(), write("second")); a.Refusal == nil || a.Refusal.Code != rescode.TransactionAborted {
		t.Errorf("answered with %+v", a.Refusal)
	}
	if diff := cmp.Diff([]string{"first"}, d.texts()); diff != "" {
		t.Error(diff)
	}
	eventually(t, "the transaction was not rolled back", func() bool { return d.openConns() == 0 })
}

// Guards against callers that wait for a node that does not run: reads that are under way run elsewhere, statements
// that follow do not wait, and a write is never run again. Once the node runs, it is used again over a new connection.
func TestFrozenHolder(t *testing.T) {
	d, edge, holder := newFleet(t)
	edge.mustRun(edge.open(), read("first"))
	held := d.last().conn
	holder.relay.freeze()
	edge.mustRun(edge.open(), read("under way"))
	startedAt := time.Now()
	edge.mustRun(edge.open(), write("next"))
	const others = 40
	for range others {
		edge.mustRun(edge.open(), read("others"))
	}
	if edge.dialer.count() == 0 {
		t.Error("the caller's node used no connection of its own")
	}
	if waited := time.Since(startedAt); waited > others/2*connectWait {
		t.Errorf("the next statements waited %s", waited)
	}
	holder.relay.thaw()
	dials := edge.dialer.count()
	eventually(t, "the holder is not used again", func() bool {
		edge.mustRun(edge.open(), read("after"))
		return d.last().conn == held
	})
	if n := edge.dialer.count(); n > dials+1 {
		t.Errorf("%d connections were opened beside an idle one", n-dials)
	}
	count := 0
	for _, text := range d.texts() {
		if text == "next" {
			count++
		}
	}
	if count != 1 {
		t.Errorf("the write ran %d times", count)
	}
}

// Guards against a planned stop that cuts transactions short, and against one that does not end: an open transaction
// goes on, a statement that runs too long is interrupted, and its caller is told that the transaction was aborted.
func TestHolderStopsInATransaction(t *testing.T) {
	d, edge, holder := newFleet(t)
	s, long := edge.open(), edge.open()
	for _, session := range []*engine.Session{s, long} {
		edge.mustRun(session, engine.Statement{ID: "b", Kind: engine.Begin})
		edge.mustRun(session, write("first"))
	}
	const grace = 2 * time.Second
	plan := stop.NewPlan(clock.Now(), grace)
	holder.engine.BeginStop(plan)
	ended := make(chan struct{})
	go func() {
		holder.server.Shutdown(context.Background(), plan)
		close(ended)
	}()
	edge.mustRun(s, write("second"))
	edge.mustRun(s, engine.Statement{ID: "c", Kind: engine.Commit, Text: "COMMIT"})
	if holder.dialer.count() != 2 || edge.dialer.count() != 0 {
		t.Errorf("%d connections at the holder, %d elsewhere", holder.dialer.count(), edge.dialer.count())
	}
	a := long.Handle(context.Background(), write("wait long"))
	if a.Refusal == nil || a.Refusal.Code != rescode.TransactionAborted {
		t.Errorf("answered with %+v", a.Refusal)
	}
	<-ended
	if clock.Now() > plan.EndsAt {
		t.Error("the stop took longer than the grace period")
	}
	if n := d.openConns(); n > 1 {
		t.Errorf("%d connections are open", n)
	}
}

// Guards against two connections for one transaction when its holder is replaced, and against statements that go on
// to the earlier holder.
func TestReplacedHolderEndsItsTransactions(t *testing.T) {
	d, edge, holder := newFleet(t)
	next := newTestNode(t, d)
	s := edge.open()
	edge.mustRun(s, engine.Statement{ID: "b", Kind: engine.Begin})
	edge.mustRun(s, write("first"))
	conn := d.last().conn
	for _, n := range []*testNode{edge, holder, next} {
		n.configure(next.address)
	}
	edge.mustRun(edge.open(), write("of another caller"))
	if next.dialer.count() != 1 {
		t.Errorf("the next holder opened %d connections", next.dialer.count())
	}
	edge.mustRun(s, write("second"))
	if d.last().conn != conn {
		t.Error("the transaction changed its connection")
	}
	edge.mustRun(s, engine.Statement{ID: "c", Kind: engine.Commit, Text: "COMMIT"})
}

// Guards against a stop of the caller's node that waits for a holder.
func TestInterruptedStatement(t *testing.T) {
	d, edge, _ := newFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	answered := make(chan engine.Answer)
	go func() { answered <- edge.open().Handle(ctx, write("wait")) }()
	<-d.started
	cancelledAt := time.Now()
	cancel()
	if a := <-answered; time.Since(cancelledAt) > 2*time.Second || a.Refusal == nil || a.Refusal.Code != rescode.AnswerLost {
		t.Errorf("answered with %+v", a.Refusal)
	}
	eventually(t, "the statement still runs at the holder", func() bool { return d.openConns() == 0 })
}

// Guards against a connection that a node which is gone keeps inside a transaction.
func TestIdleTransactionOfASilentNodeEnds(t *testing.T) {
	d, edge, holder := newFleet(t)
	holder.configureIdleTimeout(time.Millisecond)
	s := edge.open()
	edge.mustRun(s, engine.Statement{ID: "b", Kind: engine.Begin})
	edge.mustRun(s, write("first"))
	eventually(t, "the transaction is still open", func() bool { return d.openConns() == 0 })
	if a := s.Handle(context.Background(), write("second")); a.Refusal == nil || a.Refusal.Code != rescode.TransactionAborted {
		t.Errorf("answered with %+v", a.Refusal)
	}
	if diff := cmp.Diff([]string{"first"}, d.texts()); diff != "" {
		t.Error(diff)
	}
}
