package engine

import (
	"context"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/policy/throttle"
)

// fakeServer is a database server whose behavior is set by its fields.
type fakeServer struct {
	mu        sync.Mutex
	isPrimary bool
	position  position.Position
	// refuseBusy is the number of statements to refuse as busy; dropAnswers is the number of
	// answers to drop after the statement ran.
	refuseBusy, dropAnswers int
	// fails makes it run the statements of callers and fail them; failed counts them.
	fails       bool
	failed      int
	unreachable bool
	// dropRollbacks makes the answers to rollbacks come too late.
	dropRollbacks bool
	// firstRows are passed on before the rest of an answer.
	firstRows []string
	// refusePrepare is the number of statements that it refuses to prepare.
	refusePrepare int
	// refuseSet makes it refuse to set session values.
	refuseSet bool
	// refuseClose is the number of statements that it refuses to close, closes the number that it closed;
	// closedInTransaction is set once that was inside a transaction.
	refuseClose, closes int
	closedInTransaction bool
	// largestBatch is the largest number of statements that came in one write.
	largestBatch int
	// refuseToSend is the error with which its connections refuse statements of callers.
	refuseToSend error
	// interrupts makes statements of callers run and their answers be interrupted.
	interrupts bool
	// panics makes the connection panic while it reads an answer.
	panics bool
	dials  int
	conns  []*fakeConn
	// full makes it refuse connections.
	full bool
	ran  []run
	// keepsNoRuns makes it forget what it ran.
	keepsNoRuns bool
}

// run is a statement that a server ran, with the state of its session.
type run struct {
	team, text    string
	inTransaction bool
	values        map[string]string
	// prepared is the statement that an EXECUTE ran.
	prepared preparedStatement
}

func (s *fakeServer) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.ran...)
}

func (s *fakeServer) update(change func(*fakeServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// fakeConn is a connection to a fakeServer.
type fakeConn struct {
	server   *fakeServer
	team     string
	queued   []Statement
	tx       bool
	readOnly bool
	values   map[string]string
	prepared map[string]preparedStatement
	closed   bool
}

func (c *fakeConn) Send(_ time.Time, statements ...Statement) error {
	if c.closed || c.server.unreachable {
		return io.ErrClosedPipe
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.refuseToSend != nil && slices.ContainsFunc(statements, func(st Statement) bool { return st.ID != "" }) {
		return c.server.refuseToSend
	}
	c.queued = append(c.queued, statements...)
	c.server.largestBatch = max(c.server.largestBatch, len(statements))
	return nil
}

func (c *fakeConn) Receive(_ time.Time, sink RowSink) (Reply, error) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.closed || c.server.unreachable {
		return Reply{}, io.EOF
	}
	if c.server.panics {
		panic("malformed answer")
	}
	st := c.queued[0]
	c.queued = c.queued[1:]
	if sink != nil && len(c.server.firstRows) > 0 {
		if err := sink.WriteRows(c.server.firstRows); err != nil {
			return Reply{}, err
		}
	}
	lost := c.server.dropAnswers > 0 && st.ID != ""
	reply := c.server.answer(c, st)
	if c.server.interrupts && st.ID != "" {
		return Reply{}, ErrInterrupted
	}
	if c.server.dropRollbacks && st.Kind == Rollback {
		return Reply{}, os.ErrDeadlineExceeded
	}
	if lost {
		c.server.dropAnswers--
		return Reply{}, os.ErrDeadlineExceeded
	}
	if c.tx {
		reply.State = InTransaction
	}
	reply.Position = c.server.position
	return reply, nil
}

// answer runs a statement, or refuses it. The caller holds mu.
func (s *fakeServer) answer(c *fakeConn, st Statement) Reply {
	switch st.Kind {
	case Begin:
		if !s.isPrimary {
			return Reply{Outcome: ReadOnly}
		}
		c.tx, c.readOnly = true, false
		return Reply{}
	case BeginRead:
		if s.position.Before(st.MinPosition) {
			return Reply{Outcome: Behind}
		}
		c.tx, c.readOnly = true, true
		return Reply{}
	case Rollback:
		c.tx = false
		return Reply{}
	case SetValue:
		if s.refuseSet {
			return Reply{Outcome: Rejected}
		}
		c.values[st.Name] = st.Value
		return Reply{}
	case Reset:
		c.values, c.prepared = map[string]string{}, map[string]preparedStatement{}
		return Reply{}
	case Prepare:
		if s.refusePrepare > 0 {
			s.refusePrepare--
			return Reply{Outcome: Rejected}
		}
		c.prepared[st.Name] = preparedStatement{writes: st.Writes, shape: st.Shape}
		return Reply{}
	case Forget:
		_, known := c.prepared[st.Name]
		if s.refuseClose > 0 || !known {
			s.refuseClose--
			return Reply{Outcome: Busy}
		}
		s.closes++
		s.closedInTransaction = s.closedInTransaction || c.tx
		delete(c.prepared, st.Name)
		return Reply{}
	}
	return s.execute(c, st)
}

func (s *fakeServer) execute(c *fakeConn, st Statement) Reply {
	prepared, known := c.prepared[st.Name]
	writes := st.Kind == Write || (st.Kind == Execute && prepared.writes)
	switch {
	case st.Kind == Execute && !known:
		return Reply{Outcome: NoStatement}
	case s.refuseBusy > 0:
		s.refuseBusy--
		return Reply{Outcome: Busy}
	case s.position.Before(st.MinPosition):
		return Reply{Outcome: Behind}
	case !s.isPrimary && (writes || (c.tx && !c.readOnly && st.Kind != Commit)):
		return Reply{Outcome: ReadOnly}
	}
	if !s.keepsNoRuns {
		s.ran = append(s.ran, run{team: c.team, text: st.Text, inTransaction: c.tx, values: maps.Clone(c.values), prepared: prepared})
	}
	if s.fails {
		s.failed++
		return Reply{Outcome: Failed}
	}
	if st.Kind == Commit {
		c.tx = false
	}
	if writes || st.Kind == Commit {
		s.position.Number++
	}
	return Reply{Digest: "digest-" + st.ID}
}

func (c *fakeConn) Usable() bool { return !c.closed && !c.server.unreachable && len(c.queued) == 0 }
func (c *fakeConn) Close()       { c.closed = true }
func (c *fakeConn) Interrupt()   {}

// fakeDialer connects to servers by their identity.
type fakeDialer map[string]*fakeServer

func (d fakeDialer) Dial(_ context.Context, t Target, team string) (Conn, position.Position, error) {
	s := d[t.ID]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials++
	if s.unreachable {
		return nil, position.Position{}, io.ErrClosedPipe
	}
	if s.full {
		return nil, position.Position{}, &DialRefusedError{Outcome: TooManyConnections}
	}
	c := &fakeConn{server: s, team: team, values: map[string]string{}, prepared: map[string]preparedStatement{}}
	s.conns = append(s.conns, c)
	return c, s.position, nil
}

// fakeControl provides a fixed view in place of a control leader.
type fakeControl struct {
	view         controlclient.View
	leaseExpired bool
}

func (f *fakeControl) View() *controlclient.View   { return &f.view }
func (f *fakeControl) MayServe(time.Duration) bool { return !f.leaseExpired }

// fakeGate admits a fixed number of requests of all teams.
type fakeGate struct{ left int }

func (f *fakeGate) Admit(time.Duration, string, float64, float64) throttle.Verdict {
	if f.left <= 0 {
		return throttle.Limited
	}
	f.left--
	return throttle.Admitted
}

func (f *fakeGate) Refund(string) { f.left++ }

// testNode is a node with a primary p and the replicas r1 and r2.
type testNode struct {
	t       testing.TB
	servers fakeDialer
	control *fakeControl
	gate    *fakeGate
	engine  *Engine
}

const manyRequests = 1000

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func newTestNode(t testing.TB) *testNode {
	start := position.Position{Term: 1, Number: 100}
	s := &testNode{
		t: t, control: &fakeControl{}, gate: &fakeGate{left: manyRequests},
		servers: fakeDialer{"p": {isPrimary: true, position: start}, "r1": {position: start}, "r2": {position: start}},
	}
	s.engine = New(Options{
		Control: s.control, Dialer: s.servers, Gate: s.gate, Place: "here",
		Log: discardLog(),
	})
	s.configure(1, "key", "melt")
	return s
}

// configure applies a catalog in which key belongs to team.
func (s *testNode) configure(version uint64, key, team string) {
	s.t.Helper()
	c, err := catalog.New(&controlpb.Catalog{
		Version:  version,
		Services: []*controlpb.CatalogService{{Name: "wax", MaxConnections: 23}},
		Routes: []*controlpb.CatalogRoute{
			{Name: "a", Database: "intake", Service: "wax", StatementTimeoutMs: 400, LatencyObjectiveMs: 200},
			{Name: "b", Database: "lots", Service: "wax", StatementTimeoutMs: 400, LatencyObjectiveMs: 200, MaxStalenessMs: 2500,
				Consistency: controlpb.Consistency_CONSISTENCY_READ_YOUR_WRITES},
		},
		Teams: []*controlpb.CatalogTeam{{Name: team, Keys: []string{key}}, {Name: "other", Keys: []string{"other-key"}}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.control.view = controlclient.View{Catalog: c, Nodes: 3, Topology: &controlpb.Topology{
		Upstreams: []*controlpb.TopologyUpstream{
			{Id: "p", Service: "wax", Place: "here"}, {Id: "r1", Service: "wax", Place: "here"}, {Id: "r2", Service: "wax", Place: "there"},
		},
		Primaries: []*controlpb.TopologyPrimary{{Service: "wax", Upstream: "p", Term: 1}},
	}}
	s.engine.Update(&s.control.view)
}

func (s *testNode) open(database, key string) *Session {
	s.t.Helper()
	session, refusal := s.engine.OpenSession(context.Background(), database, key)
	if refusal != nil {
		s.t.Fatalf("session refused: %+v", refusal)
	}
	return session
}

func (s *testNode) handle(session *Session, st Statement) Answer {
	s.t.Helper()
	return session.Handle(context.Background(), st)
}

// mustSucceed runs a statement and fails the test if it is refused.
func (s *testNode) mustSucceed(session *Session, st Statement) Answer {
	s.t.Helper()
	a := s.handle(session, st)
	if a.Refusal != nil {
		s.t.Fatalf("%s %q refused: %+v", st.Kind, st.Text, a.Refusal)
	}
	return a
}

func read(id string) Statement  { return Statement{ID: id, Kind: Read, Text: "READ " + id} }
func write(id string) Statement { return Statement{ID: id, Kind: Write, Text: "WRITE " + id} }
