package front

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/policy/rate"
	"github.com/jayloom/jayloom/proxy/admission"
)

// byteCodec speaks one byte a message: r reads, b begins, c commits, q quits, anything
// else is malformed. Answers are one byte too.
type byteCodec struct{ conn net.Conn }

func (c byteCodec) Open() (string, string, error) { return "lots", "", nil }
func (c byteCodec) Welcome() error                { return c.say('W') }
func (c byteCodec) Buffered() bool                { return false }

func (c byteCodec) Next() (engine.Statement, error) {
	var b [1]byte
	if _, err := io.ReadFull(c.conn, b[:]); err != nil {
		return engine.Statement{}, err
	}
	kinds := map[byte]engine.Kind{'r': engine.Read, 'b': engine.Begin, 'c': engine.Commit}
	if b[0] == 'q' {
		return engine.Statement{}, ErrQuit
	}
	kind, ok := kinds[b[0]]
	if !ok {
		return engine.Statement{}, ErrMalformed
	}
	return engine.Statement{ID: "x", Kind: kind, Text: "x"}, nil
}

func (c byteCodec) Answer(a engine.Answer) error {
	if a.Refusal != nil {
		return c.say('E')
	}
	return c.say('D')
}

func (c byteCodec) Refuse(*engine.Refusal) error { return c.say('R') }

func (c byteCodec) say(b byte) error {
	_, err := c.conn.Write([]byte{b})
	return err
}

// gate is a database whose answers wait for a test.
type gate struct{ started, open chan struct{} }

func (g gate) Dial(context.Context, engine.Target, string) (engine.Conn, position.Position, error) {
	return &gateConn{gate: g}, position.Position{Term: 1, Number: 1}, nil
}

type gateConn struct {
	gate
	queued []engine.Statement
	tx     bool
}

func (c *gateConn) Send(_ time.Time, s ...engine.Statement) error {
	c.queued = append(c.queued, s...)
	return nil
}

func (c *gateConn) Receive(time.Time) (engine.Reply, error) {
	st := c.queued[0]
	c.queued = c.queued[1:]
	c.tx = st.Kind == engine.Begin || (c.tx && st.Kind == engine.Read)
	if st.ID != "" {
		c.started <- struct{}{}
		<-c.open
	}
	r := engine.Reply{Digest: "d", Position: position.Position{Term: 1, Number: 1}}
	if c.tx {
		r.State = engine.InTransaction
	}
	return r, nil
}
func (c *gateConn) Quiet() bool { return true }
func (c *gateConn) Close()      {}

type fleet struct{ view controlclient.View }

func (f *fleet) View() *controlclient.View   { return &f.view }
func (f *fleet) MayServe(time.Duration) bool { return true }

// newServer returns a server in front of a database, and its listener.
func newServer(t *testing.T, maxCallers int) (*Server, net.Listener, gate) {
	c, refused := catalog.New(&controlpb.Catalog{
		Version: 1, Services: []*controlpb.CatalogService{{Name: "wax", MaxConnections: 9}},
		Routes: []*controlpb.CatalogRoute{{Database: "lots", Service: "wax", StatementTimeoutMs: 60000, LatencyObjectiveMs: 60000, Public: true}},
	})
	if refused != nil {
		t.Fatal(refused)
	}
	f := &fleet{controlclient.View{Catalog: c, Nodes: 1, Topology: &controlpb.Topology{
		Upstreams: []*controlpb.TopologyUpstream{{Id: "p", Service: "wax"}},
		Primaries: []*controlpb.TopologyPrimary{{Service: "wax", Upstream: "p", Term: 1}},
	}}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("test", t.Name())
	g := gate{make(chan struct{}, 1), make(chan struct{})}
	e := engine.New(engine.Options{
		Fleet: f, Dialer: g, Tokens: admission.New(rate.NewHolder(rate.GatewayConfig()), func() {}), Log: log,
	})
	e.Update(&f.view)
	s := New(Options{
		Engine: e, Codec: func(c net.Conn) Codec { return byteCodec{c} }, MaxCallers: maxCallers, Log: log,
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go s.Serve(context.Background(), l)
	return s, l, g
}

func call(t *testing.T, l net.Listener) net.Conn {
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func expect(t *testing.T, c net.Conn, want byte) {
	t.Helper()
	var b [1]byte
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadFull(c, b[:]); err != nil || b[0] != want {
		t.Fatalf("read %q, %v, want %q", b[0], err, want)
	}
}

func send(t *testing.T, c net.Conn, b byte) {
	t.Helper()
	if _, err := c.Write([]byte{b}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a shutdown that cuts a statement or a transaction, and against one that
// waits for idle callers.
func TestDrainLetsWorkEnd(t *testing.T) {
	s, l, g := newServer(t, 0)
	idle, busy, inside := call(t, l), call(t, l), call(t, l)
	for _, c := range []net.Conn{idle, busy, inside} {
		expect(t, c, 'W')
	}
	send(t, inside, 'b')
	expect(t, inside, 'D')
	send(t, busy, 'r')
	<-g.started
	s.Drain()
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle caller read %v", err)
	}
	close(g.open)
	expect(t, busy, 'D')
	s.Drain()
	send(t, inside, 'r')
	<-g.started
	expect(t, inside, 'D')
	send(t, inside, 'c')
	<-g.started
	expect(t, inside, 'D')
	s.Drain()
	s.Wait(context.Background())
	if n := s.Callers(); n != 0 {
		t.Errorf("%d callers are left", n)
	}
}

// Guards against callers without bound, each of which holds a descriptor.
func TestCallersAreBounded(t *testing.T) {
	_, l, _ := newServer(t, 1)
	first := call(t, l)
	expect(t, first, 'W')
	expect(t, call(t, l), 'R')
}

// Guards against a session that ends, or a process that does, at a message that cannot
// be read.
func TestMalformedMessageIsAnswered(t *testing.T) {
	_, l, g := newServer(t, 0)
	close(g.open)
	c := call(t, l)
	expect(t, c, 'W')
	send(t, c, '?')
	expect(t, c, 'E')
	send(t, c, 'r')
	<-g.started
	expect(t, c, 'D')
}
