package forward

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/policy/throttle"
)

// fakeDatabase is an upstream that all nodes of a test connect to.
type fakeDatabase struct {
	mu   sync.Mutex
	ran  []ranStatement
	open int
	// started is sent each statement that waits for release, a text that begins with "wait".
	started chan string
	release chan struct{}
	// rows is sent to the sink, in parts, before the answer to a read of "rows"; sent counts the parts.
	rows []string
	sent int
}

type ranStatement struct {
	text, value, shape string
	conn               *fakeConn
	inTransaction      bool
}

func newFakeDatabase() *fakeDatabase {
	return &fakeDatabase{started: make(chan string, 16), release: make(chan struct{})}
}

func (d *fakeDatabase) texts() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, r := range d.ran {
		out = append(out, r.text)
	}
	return out
}

func (d *fakeDatabase) last() ranStatement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ran[len(d.ran)-1]
}

func (d *fakeDatabase) openConns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// fakeDialer connects one node to the database and counts its connections.
type fakeDialer struct {
	database *fakeDatabase
	mu       sync.Mutex
	dials    int
}

func (d *fakeDialer) Dial(context.Context, engine.Target, string) (engine.Conn, position.Position, error) {
	d.mu.Lock()
	d.dials++
	d.mu.Unlock()
	d.database.mu.Lock()
	defer d.database.mu.Unlock()
	d.database.open++
	return &fakeConn{
		database: d.database, values: map[string]string{}, shapes: map[string]string{}, ended: make(chan struct{}),
	}, position.Position{}, nil
}

func (d *fakeDialer) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials
}

// fakeConn is a connection to a fakeDatabase.
type fakeConn struct {
	database       *fakeDatabase
	queued         []engine.Statement
	tx             bool
	values, shapes map[string]string
	ended          chan struct{}
	endOnce        sync.Once
	closeOnce      sync.Once
}

func (c *fakeConn) Send(_ time.Time, statements ...engine.Statement) error {
	c.queued = append(c.queued, statements...)
	return nil
}

func (c *fakeConn) Receive(_ time.Time, sink engine.RowSink) (engine.Reply, error) {
	st := c.queued[0]
	c.queued = c.queued[1:]
	switch st.Kind {
	case engine.Begin, engine.BeginRead:
		c.tx = true
	case engine.SetValue:
		c.values[st.Name] = st.Value
	case engine.Prepare:
		c.shapes[st.Name] = st.Shape
	case engine.Reset:
		c.values, c.shapes = map[string]string{}, map[string]string{}
	case engine.Rollback:
		c.tx = false
	default:
		if err := c.run(st, sink); err != nil {
			return engine.Reply{}, err
		}
	}
	reply := engine.Reply{Position: position.Position{Term: 1, Number: 1}}
	if st.ID != "" {
		reply.Digest = "digest-" + st.ID
	}
	if c.tx {
		reply.State = engine.InTransaction
	}
	return reply, nil
}

func (c *fakeConn) run(st engine.Statement, sink engine.RowSink) error {
	d := c.database
	d.mu.Lock()
	d.ran = append(d.ran, ranStatement{text: st.Text, value: c.values["v"], shape: c.shapes[st.Name], conn: c, inTransaction: c.tx})
	d.mu.Unlock()
	if st.Kind == engine.Commit {
		c.tx = false
	}
	if st.Text == "rows" {
		for range 1000 {
			if err := sink.WriteRows(d.rows); err != nil {
				return err
			}
			d.mu.Lock()
			d.sent++
			d.mu.Unlock()
		}
	}
	if len(st.Text) < 4 || st.Text[:4] != "wait" {
		return nil
	}
	d.started <- st.Text
	select {
	case <-d.release:
		return nil
	case <-c.ended:
		return engine.ErrInterrupted
	}
}

func (c *fakeConn) Interrupt()   { c.endOnce.Do(func() { close(c.ended) }) }
func (c *fakeConn) Usable() bool { return true }
func (c *fakeConn) Close() {
	c.Interrupt()
	c.closeOnce.Do(func() {
		c.database.mu.Lock()
		defer c.database.mu.Unlock()
		c.database.open--
	})
}

// fakeControl provides a fixed view in place of a control leader.
type fakeControl struct {
	mu           sync.Mutex
	view         *controlclient.View
	leaseExpired bool
}

func (f *fakeControl) View() *controlclient.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeControl) MayServe(time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.leaseExpired
}

func (f *fakeControl) expireLease() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaseExpired = true
}

// openGate admits all requests.
type openGate struct{}

func (openGate) Admit(time.Duration, string, float64, float64) throttle.Verdict {
	return throttle.Admitted
}
func (openGate) Refund(string) {}

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// testNode is a gateway node in this process.
type testNode struct {
	t       *testing.T
	address string
	dialer  *fakeDialer
	control *fakeControl
	engine  *engine.Engine
	client  *Client
	server  *Server
	grpc    *grpc.Server
	relay   *relay
}

// newTestNode starts a node that other nodes reach through a relay.
func newTestNode(t *testing.T, d *fakeDatabase) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{t: t, dialer: &fakeDialer{database: d}, control: &fakeControl{view: &controlclient.View{}}}
	n.relay = newRelay(t, listener.Addr().String())
	n.address = n.relay.address()
	n.client = NewClient(Options{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		},
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithInitialWindowSize(64 << 10)},
		Log:         discardLog(),
	})
	n.engine = engine.New(engine.Options{
		Control: n.control, Dialer: n.dialer, Gate: openGate{}, Forwarder: n.client, Address: n.address, Place: "here", Log: discardLog(),
	})
	n.server = NewServer(n.engine, discardLog())
	n.grpc = grpc.NewServer()
	n.server.Register(n.grpc)
	go func() { _ = n.grpc.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		n.client.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		n.grpc.Stop()
	})
	return n
}

// configure tells the node the holders of the only upstream.
func (n *testNode) configure(holders ...string) {
	n.t.Helper()
	n.apply(0, holders)
}

// configureIdleTimeout sets how long a transaction may stay idle.
func (n *testNode) configureIdleTimeout(d time.Duration) {
	n.t.Helper()
	n.apply(d, n.control.View().Topology.Upstreams[0].Holders)
}

func (n *testNode) apply(idleTimeout time.Duration, holders []string) {
	n.t.Helper()
	c, refusal := catalog.New(&controlpb.Catalog{
		Version: 1, TransactionIdleMs: uint32(idleTimeout.Milliseconds()), Services: []*controlpb.CatalogService{{Name: "wax", MaxConnections: 23}},
		Routes: []*controlpb.CatalogRoute{{
			Name: "a", Database: "lots", Service: "wax", StatementTimeoutMs: 5000, LatencyObjectiveMs: 1000, Public: true,
		}},
	})
	if refusal != nil {
		n.t.Fatal(refusal)
	}
	view := &controlclient.View{Catalog: c, Nodes: 30, Topology: &controlpb.Topology{
		Upstreams: []*controlpb.TopologyUpstream{{Id: "p", Service: "wax", Place: "here", Holders: holders}},
		Primaries: []*controlpb.TopologyPrimary{{Service: "wax", Upstream: "p", Term: 1}},
	}}
	n.control.mu.Lock()
	n.control.view = view
	n.control.mu.Unlock()
	n.engine.Update(view)
}

func (n *testNode) open() *engine.Session {
	n.t.Helper()
	s, refusal := n.engine.OpenSession(context.Background(), "lots", "")
	if refusal != nil {
		n.t.Fatalf("session refused: %+v", refusal)
	}
	n.t.Cleanup(s.Close)
	return s
}

// mustRun runs a statement and fails the test if it is refused.
func (n *testNode) mustRun(s *engine.Session, st engine.Statement) engine.Answer {
	n.t.Helper()
	a := s.Handle(context.Background(), st)
	if a.Refusal != nil {
		n.t.Fatalf("%s %q refused: %+v", st.Kind, st.Text, a.Refusal)
	}
	return a
}

// relay passes bytes between a node and those that connect to it, until it is frozen.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	frozen   chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp4", r.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		go r.pass(c, target)
		go r.pass(target, c)
	}
}

// freeze holds all bytes back, as a VM that does not run does, until thaw.
func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = make(chan struct{})
}

func (r *relay) thaw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.frozen)
	r.frozen = nil
}

func (r *relay) pass(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		frozen := r.frozen
		r.mu.Unlock()
		if frozen != nil {
			<-frozen
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
