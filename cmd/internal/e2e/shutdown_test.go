package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
)

const (
	// drainCallers is the number of callers, which are in transactions when a proxy is stopped.
	drainCallers = 200
	// drainConnections lets one proxy hold the transactions of all callers.
	drainConnections = drainCallers + 50
	// callerInterval limits all callers together to a few thousand requests per second.
	callerInterval = 100 * time.Millisecond
)

// drainTest runs callers with transactions and single writes that move to another proxy
// when theirs disconnects them between two requests.
type drainTest struct {
	t    *testing.T
	d    *Deployment
	next atomic.Int64

	mu sync.Mutex
	// committed holds the row IDs of acknowledged writes. refused holds the first row ID of
	// each refused transaction or write; a transaction writes this ID and the next one.
	committed, refused []int64
	// heldByProxy counts the callers that wait in the middle of a transaction.
	heldByProxy map[string]int
	// release is closed to let them continue; it is nil while transactions are not held.
	release chan struct{}
}

// holdTransactions makes callers wait in the middle of their next transaction.
func (x *drainTest) holdTransactions() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.release = make(chan struct{})
}

func (x *drainTest) releaseTransactions() {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.release)
	x.release = nil
}

func (x *drainTest) heldTransactionCount(proxy string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.heldByProxy[proxy]
}

func (x *drainTest) waitWhileHeld(proxy string) {
	x.mu.Lock()
	release := x.release
	if release == nil {
		x.mu.Unlock()
		return
	}
	x.heldByProxy[proxy]++
	x.mu.Unlock()
	<-release
	x.mu.Lock()
	x.heldByProxy[proxy]--
	x.mu.Unlock()
}

// runCaller runs transactions and writes until ctx ends, through the proxy home whenever
// that accepts connections.
func (x *drainTest) runCaller(ctx context.Context, home int) {
	for pause(ctx, reconnectDelay) {
		p := x.d.Proxies[home]
		conn, err := x.d.Connect(ctx, p)
		if err != nil {
			p = x.d.Proxies[1-home]
			if conn, err = x.d.Connect(ctx, p); err != nil {
				continue
			}
		}
		for pause(ctx, callerInterval) && !conn.IsClosed() && x.runWork(conn, p) && p == x.d.Proxies[home] {
		}
		closeConn(conn)
	}
}

// runWork runs one transaction and one single write, and reports whether the connection is
// still usable.
func (x *drainTest) runWork(conn *pgx.Conn, p *Proxy) bool {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	id := x.next.Add(3)
	if !x.sendOutsideTransaction(ctx, conn, p, id, "BEGIN") {
		return false
	}
	for i, statement := range []string{insertRow(id, p), "", insertRow(id+1, p), "COMMIT"} {
		if statement == "" {
			x.waitWhileHeld(p.Name)
			continue
		}
		if _, err := conn.Exec(ctx, statement); err != nil {
			x.t.Errorf("%s cut a transaction at step %d: %v", p.Name, i, err)
			return false
		}
	}
	x.record(&x.committed, id, id+1)
	if !x.sendOutsideTransaction(ctx, conn, p, id+2, insertRow(id+2, p)) {
		return false
	}
	x.record(&x.committed, id+2)
	return true
}

// sendOutsideTransaction sends a request outside a transaction. The only refusal allowed is
// the one as not run because the proxy shuts down.
func (x *drainTest) sendOutsideTransaction(ctx context.Context, conn *pgx.Conn, p *Proxy, id int64, statement string) bool {
	_, err := conn.Exec(ctx, statement)
	if err == nil {
		return true
	}
	if rescode.Code(resultCode(err)) != rescode.ProxyDraining {
		x.t.Errorf("%s ended a request outside a transaction: %v", p.Name, err)
	}
	x.record(&x.refused, id)
	return false
}

func (x *drainTest) record(list *[]int64, ids ...int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	*list = append(*list, ids...)
}

func insertRow(id int64, p *Proxy) string {
	return fmt.Sprintf("INSERT INTO lot VALUES (%d, '%s')", id, p.Name)
}

// Guards against a graceful shutdown that aborts a transaction, loses a request or refuses
// one as not run that did run: 200 callers are in the middle of transactions while the two
// proxies are restarted in turn.
func TestRestartOfProxiesCutsNothing(t *testing.T) {
	d := Start(t, Options{StandIns: 1, ConnectionLimit: drainConnections, SelectGroups: true})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	x := &drainTest{t: t, d: d, heldByProxy: map[string]int{}}
	x.holdTransactions()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for i := range drainCallers {
		callers.Go(func() { x.runCaller(ctx, i%2) })
	}
	for _, p := range d.Proxies {
		d.WaitFor("all callers of "+p.Name+" to be in transactions", func() bool {
			return x.heldTransactionCount(p.Name) >= drainCallers/2
		})
		p.Terminate()
		d.WaitFor(p.Name+" to refuse connections", func() bool {
			conn, err := d.Connect(t.Context(), p)
			if err == nil {
				closeConn(conn)
			}
			return err != nil
		})
		if n := x.heldTransactionCount(p.Name); n < drainCallers/2 {
			t.Errorf("%s has %d callers in transactions after SIGTERM", p.Name, n)
		}
		x.releaseTransactions()
		p.Wait()
		p.Start()
		x.holdTransactions()
	}
	x.releaseTransactions()
	stop()
	callers.Wait()

	found := map[int64]bool{}
	for _, id := range rowIDs(t, d) {
		found[id] = true
	}
	for _, id := range x.committed {
		if !found[id] {
			t.Errorf("row %d was acknowledged and is not there", id)
		}
	}
	for _, id := range x.refused {
		if found[id] {
			t.Errorf("row %d was refused as not run and is there", id)
		}
	}
	if len(found) != len(x.committed) {
		t.Errorf("%d rows, %d acknowledged", len(found), len(x.committed))
	}
	t.Logf("%d rows acknowledged, %d requests refused as not run", len(x.committed), len(x.refused))
}

// unfinishedCallers is the number of callers of each kind that a stop finds at work.
const unfinishedCallers = 20

// unfinishedWork starts one caller of each kind, whose work doesn't end before the drain
// timeout, and sends the errors that they get to outcomes.
func unfinishedWork(t *testing.T, d *Deployment, p *Proxy, outcomes map[rescode.Code]chan error) {
	t.Helper()
	single, inside, idle := connect(t, d, p), connect(t, d, p), connect(t, d, p)
	exec(t, inside, "BEGIN")
	exec(t, idle, "BEGIN")
	run := func(conn *pgx.Conn, code rescode.Code) {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(60)")
		outcomes[code] <- err
	}
	go run(single, rescode.AnswerLost)
	go run(inside, rescode.TransactionAborted)
	go func() {
		message, err := idle.PgConn().ReceiveMessage(context.Background())
		if refusal, ok := message.(*pgproto3.ErrorResponse); ok {
			err = pgconn.ErrorResponseToPgError(refusal)
		}
		outcomes[rescode.TransactionAborted] <- err
	}()
}

// Guards against a proxy process that ends at its drain timeout without an answer to
// callers whose work has not ended.
func TestShutdownAnswersUnfinishedWork(t *testing.T) {
	const drainTimeout = 3 * time.Second
	d := Start(t, Options{Proxies: 1, StandIns: 1, ConnectionLimit: drainConnections, DrainTimeout: drainTimeout})
	p := d.Proxies[0]
	outcomes := map[rescode.Code]chan error{
		rescode.AnswerLost:         make(chan error, unfinishedCallers),
		rescode.TransactionAborted: make(chan error, 2*unfinishedCallers),
	}
	for range unfinishedCallers {
		unfinishedWork(t, d, p, outcomes)
	}
	d.WaitFor("the statements to run", func() bool {
		return openStatementCount(t, d, d.Primary(), "pg_sleep") == 2*unfinishedCallers
	})
	began := time.Now()
	p.Terminate()
	for code, errs := range outcomes {
		for range cap(errs) {
			if err := <-errs; rescode.Code(resultCode(err)) != code {
				t.Errorf("got %v, want code %v", err, code)
			}
		}
	}
	p.Wait()
	// The report to control and the calls of peers take up to a second each.
	if took := time.Since(began); took > drainTimeout+2*time.Second {
		t.Errorf("the proxy took %v to end", took)
	}
}
