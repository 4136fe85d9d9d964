package server

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/policy/throttle"
)

// byteCodec is a Codec with messages of one byte: r reads, b begins, c commits, q quits, p makes
// the codec panic, and anything else is malformed. Answers are one byte too.
type byteCodec struct{ conn net.Conn }

func (c byteCodec) ReadStartup() (string, string, error) { return "lots", "", nil }
func (c byteCodec) WriteReady() error                    { return c.writeByte('W') }
func (c byteCodec) Buffered() bool                       { return false }
func (c byteCodec) WriteRows([]string) error             { return nil }
func (c byteCodec) Close()                               {}

func (c byteCodec) ReadStatement() (engine.Statement, error) {
	var b [1]byte
	if _, err := io.ReadFull(c.conn, b[:]); err != nil {
		return engine.Statement{}, err
	}
	kinds := map[byte]engine.Kind{'r': engine.Read, 'b': engine.Begin, 'c': engine.Commit}
	if b[0] == 'q' {
		return engine.Statement{}, ErrQuit
	}
	if b[0] == 'p' {
		panic("a message that the codec does not expect")
	}
	kind, ok := kinds[b[0]]
	if !ok {
		return engine.Statement{}, ErrMalformed
	}
	return engine.Statement{ID: "x", Kind: kind, Text: "x"}, nil
}

func (c byteCodec) WriteAnswer(a engine.Answer) error {
	return c.writeByte(answerByte(a.Refusal))
}

// answerByte is D for a statement that succeeded, U for one whose outcome is unknown, A for one of a
// transaction that was aborted, B for one that a stopping node has not run, and E for other refusals.
func answerByte(r *engine.Refusal) byte {
	switch {
	case r == nil:
		return 'D'
	case r.Code == rescode.AnswerLost:
		return 'U'
	case r.Code == rescode.TransactionAborted:
		return 'A'
	case r.Code == rescode.ProxyDraining:
		return 'B'
	default:
		return 'E'
	}
}

func (c byteCodec) WriteRefusal(*engine.Refusal) error { return c.writeByte('R') }

func (c byteCodec) writeByte(b byte) error {
	_, err := c.conn.Write([]byte{b})
	return err
}

// testMaxConnections is the number of upstream connections of a test server.
const testMaxConnections = 9

// blockingDialer connects to a fake upstream that blocks the statements of callers: it
// signals the start of each on started, and answers when release allows it.
type blockingDialer struct{ started, release chan struct{} }

func (d blockingDialer) Dial(context.Context, engine.Target, string) (engine.Conn, position.Position, error) {
	return &blockingConn{blockingDialer: d, interrupted: make(chan struct{})}, position.Position{Term: 1, Number: 1}, nil
}

type blockingConn struct {
	blockingDialer
	queued      []engine.Statement
	tx          bool
	interrupt   sync.Once
	interrupted chan struct{}
}

func (c *blockingConn) Interrupt() { c.interrupt.Do(func() { close(c.interrupted) }) }

func (c *blockingConn) Send(_ time.Time, s ...engine.Statement) error {
	c.queued = append(c.queued, s...)
	return nil
}

func (c *blockingConn) Receive(time.Time, engine.RowSink) (engine.Reply, error) {
	st := c.queued[0]
	c.queued = c.queued[1:]
	c.tx = st.Kind == engine.Begin || (c.tx && st.Kind == engine.Read)
	if st.ID != "" {
		c.started <- struct{}{}
		select {
		case <-c.release:
		case <-c.interrupted:
			return engine.Reply{}, engine.ErrInterrupted
		}
	}
	r := engine.Reply{Digest: "d", Position: position.Position{Term: 1, Number: 1}}
	if c.tx {
		r.State = engine.InTransaction
	}
	return r, nil
}
func (c *blockingConn) Usable() bool { return true }
func (c *blockingConn) Close()       {}

type fakeControl struct{ view controlclient.View }

func (f *fakeControl) View() *controlclient.View   { return &f.view }
func (f *fakeControl) MayServe(time.Duration) bool { return true }

// newTestServer returns a server with one upstream, its listener, and the dialer of the
// upstream.
func newTestServer(t *testing.T, maxCallers int) (*Server, net.Listener, blockingDialer) {
	return newTestServerWithCodec(t, maxCallers, func(c net.Conn) Codec { return byteCodec{c} })
}

func newTestServerWithCodec(t *testing.T, maxCallers int, codec func(net.Conn) Codec) (*Server, net.Listener, blockingDialer) {
	c, refused := catalog.New(&controlpb.Catalog{
		Version: 1, Services: []*controlpb.CatalogService{{Name: "wax", MaxConnections: testMaxConnections}},
		Routes: []*controlpb.CatalogRoute{{Database: "lots", Service: "wax", StatementTimeoutMs: 60000, LatencyObjectiveMs: 60000, Public: true}},
	})
	if refused != nil {
		t.Fatal(refused)
	}
	f := &fakeControl{controlclient.View{Catalog: c, Nodes: 1, Topology: &controlpb.Topology{
		Upstreams: []*controlpb.TopologyUpstream{{Id: "p", Service: "wax"}},
		Primaries: []*controlpb.TopologyPrimary{{Service: "wax", Upstream: "p", Term: 1}},
	}}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("test", t.Name())
	g := blockingDialer{make(chan struct{}, 1), make(chan struct{})}
	e := engine.New(engine.Options{
		Control: f, Dialer: g, Gate: throttle.NewGate(func() {}), Log: log,
	})
	e.Update(&f.view)
	s := New(Options{
		Engine: e, Codec: codec, MaxCallers: maxCallers, Log: log,
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go s.Serve(context.Background(), l)
	return s, l, g
}

func connect(t *testing.T, l net.Listener) net.Conn {
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func expectByte(t *testing.T, c net.Conn, want byte) {
	t.Helper()
	var b [1]byte
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadFull(c, b[:]); err != nil || b[0] != want {
		t.Fatalf("read %q, %v, want %q", b[0], err, want)
	}
}

func sendByte(t *testing.T, c net.Conn, b byte) {
	t.Helper()
	if _, err := c.Write([]byte{b}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a shutdown that aborts a statement or a transaction, and against one that
// waits for idle callers.
func TestDrainLetsWorkEnd(t *testing.T) {
	s, l, g := newTestServer(t, 0)
	idle, busy, inside := connect(t, l), connect(t, l), connect(t, l)
	for _, c := range []net.Conn{idle, busy, inside} {
		expectByte(t, c, 'W')
	}
	sendByte(t, inside, 'b')
	expectByte(t, inside, 'D')
	sendByte(t, busy, 'r')
	<-g.started
	s.Drain()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read of the idle caller returned %v, want EOF", err)
	}
	close(g.release)
	expectByte(t, busy, 'D')
	s.Drain()
	sendByte(t, inside, 'r')
	<-g.started
	expectByte(t, inside, 'D')
	sendByte(t, inside, 'c')
	<-g.started
	expectByte(t, inside, 'D')
	s.Drain()
	s.Wait(context.Background())
	if n := s.CallerCount(); n != 0 {
		t.Errorf("%d callers are still connected", n)
	}
}

// Guards against an unbounded number of callers, each of which uses a file descriptor.
func TestCallerCountIsBounded(t *testing.T) {
	_, l, _ := newTestServer(t, 1)
	first := connect(t, l)
	expectByte(t, first, 'W')
	expectByte(t, connect(t, l), 'R')
}

// Guards against a malformed message that ends the session or the process.
func TestMalformedMessageIsAnswered(t *testing.T) {
	_, l, g := newTestServer(t, 0)
	close(g.release)
	c := connect(t, l)
	expectByte(t, c, 'W')
	sendByte(t, c, '?')
	expectByte(t, c, 'E')
	sendByte(t, c, 'r')
	<-g.started
	expectByte(t, c, 'D')
}

// Guards against a malformed message of one caller that ends the process, and with it the
// connections of all others.
func TestPanicEndsOnlyItsConnection(t *testing.T) {
	s, l, g := newTestServer(t, 0)
	close(g.release)
	other, failing := connect(t, l), connect(t, l)
	expectByte(t, other, 'W')
	expectByte(t, failing, 'W')
	sendByte(t, failing, 'p')
	if _, err := failing.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read of the failing caller returned %v, want EOF", err)
	}
	sendByte(t, other, 'r')
	<-g.started
	expectByte(t, other, 'D')
	s.Drain()
	s.Wait(context.Background())
	if got := s.CallerCount(); got != 0 {
		t.Errorf("%d callers are left", got)
	}
}
