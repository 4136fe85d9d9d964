package server

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/socket"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/stop"
)

// testGrace is the grace period of the stops in these tests.
const testGrace = 3 * time.Second

// testUsableConnections is the number of upstream connections of a test server that callers can
// use; one is reserved for probes.
const testUsableConnections = testMaxConnections - 1

// startStop begins a stop of the server and returns a channel that is closed when it is over,
// and the time of its beginning.
func startStop(s *Server, l net.Listener) (stopped chan struct{}, begun time.Time) {
	stopped = make(chan struct{})
	begun = time.Now()
	go func() {
		defer close(stopped)
		s.Shutdown(context.Background(), l, stop.NewPlan(clock.Now(), testGrace))
	}()
	return stopped, begun
}

// sleepUntil sleeps until a fraction of the grace period has passed since begun.
func sleepUntil(begun time.Time, fraction float64) {
	time.Sleep(time.Until(begun.Add(time.Duration(fraction * float64(testGrace)))))
}

// expectStarted waits until the upstream has received a statement.
func expectStarted(t *testing.T, g blockingDialer) {
	t.Helper()
	select {
	case <-g.started:
	case <-time.After(20 * time.Second):
		t.Fatal("the upstream received no statement")
	}
}

// openTransaction connects a caller that has begun a transaction and run one statement in it.
func openTransaction(t *testing.T, l net.Listener, g blockingDialer) net.Conn {
	t.Helper()
	c := connect(t, l)
	expectByte(t, c, 'W')
	sendByte(t, c, 'b')
	expectByte(t, c, 'D')
	sendByte(t, c, 'r')
	expectStarted(t, g)
	g.release <- struct{}{}
	expectByte(t, c, 'D')
	return c
}

// Guards against a stop that closes connections while more than a sixth of the grace period is
// left, and so cuts answers that are due before.
func TestStopDeliversAnswersUntilTheLastSixth(t *testing.T) {
	s, l, g := newTestServer(t, 0)
	c := connect(t, l)
	expectByte(t, c, 'W')
	stopped, begun := startStop(s, l)
	sendByte(t, c, 'r')
	expectStarted(t, g)
	sleepUntil(begun, 0.8)
	g.release <- struct{}{}
	expectByte(t, c, 'D')
	<-stopped
}

// Guards against a stop that passes on a statement of an open transaction although its answer
// may come after the connections are closed.
func TestStopRefusesStatementsThatMayOutliveIt(t *testing.T) {
	s, l, g := newTestServer(t, 0)
	statement, commit := openTransaction(t, l, g), openTransaction(t, l, g)
	stopped, begun := startStop(s, l)
	sleepUntil(begun, 0.55)
	sendByte(t, statement, 'r')
	expectByte(t, statement, 'A')
	sendByte(t, commit, 'c')
	expectByte(t, commit, 'A')
	select {
	case <-g.started:
		t.Error("a statement was passed on")
	default:
	}
	<-stopped
}

// Guards against a stop that closes the connection of a statement without an answer: a statement
// that its upstream does not answer in time is answered as unsure.
func TestStopAnswersUnfinishedStatements(t *testing.T) {
	s, l, g := newTestServer(t, 0)
	single, transaction := connect(t, l), openTransaction(t, l, g)
	expectByte(t, single, 'W')
	stopped, _ := startStop(s, l)
	for _, c := range []net.Conn{single, transaction} {
		sendByte(t, c, 'r')
		expectStarted(t, g)
	}
	expectByte(t, single, 'U')
	expectByte(t, transaction, 'A')
	<-stopped
}

// Guards against a statement that waits for a connection when the stop ends, and that is sent to
// the upstream after its caller was disconnected.
func TestStopEndsWaitsForConnections(t *testing.T) {
	s, l, g := newTestServer(t, 0)
	var callers []net.Conn
	for range testUsableConnections + 1 {
		c := connect(t, l)
		expectByte(t, c, 'W')
		callers = append(callers, c)
	}
	stopped, _ := startStop(s, l)
	for _, c := range callers[:testUsableConnections] {
		sendByte(t, c, 'r')
		expectStarted(t, g)
	}
	waiting := callers[testUsableConnections]
	sendByte(t, waiting, 'r')
	expectByte(t, waiting, 'B')
	<-stopped
	select {
	case <-g.started:
		t.Error("the waiting statement was passed on")
	default:
	}
}

// Guards against a stop that takes longer than the grace period although an upstream never
// answers.
func TestStopEndsWithinTheGracePeriod(t *testing.T) {
	s, l, g := newTestServer(t, 0)
	c := connect(t, l)
	expectByte(t, c, 'W')
	stopped, begun := startStop(s, l)
	sendByte(t, c, 'r')
	expectStarted(t, g)
	<-stopped
	if took := time.Since(begun); took >= testGrace {
		t.Errorf("the stop took %s", took)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection ended with %v", err)
	}
}

// pairCodec is a byteCodec whose messages have two bytes, of which the second counts.
type pairCodec struct {
	byteCodec
	first *bool
}

func (c pairCodec) Buffered() bool { return *c.first }

func (c pairCodec) ReadStatement() (engine.Statement, error) {
	if !*c.first {
		if _, err := io.ReadFull(c.conn, make([]byte, 1)); err != nil {
			return engine.Statement{}, err
		}
		*c.first = true
	}
	st, err := c.byteCodec.ReadStatement()
	*c.first = err != nil
	return st, err
}

// Guards against a stop that ends a session while a message of its caller is arriving.
func TestDrainWaitsForUnfinishedMessage(t *testing.T) {
	s, l, g := newTestServerWithCodec(t, 0, func(c net.Conn) Codec { return pairCodec{byteCodec{c}, new(bool)} })
	c := connect(t, l)
	expectByte(t, c, 'W')
	sendByte(t, c, '-')
	time.Sleep(50 * time.Millisecond)
	for range 3 {
		s.Drain()
		time.Sleep(50 * time.Millisecond)
	}
	sendByte(t, c, 'r')
	expectStarted(t, g)
	g.release <- struct{}{}
	expectByte(t, c, 'D')
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read after the answer returned %v, want EOF", err)
	}
}

// Guards against a stop that closes the connection of a busy caller right behind an answer: the
// caller's next statement, perhaps a write that it can't repeat, would meet a closed connection.
func TestStopRefusesNextStatementOfBusyCaller(t *testing.T) {
	s, l, g := newTestServer(t, 0)
	c := connect(t, l)
	expectByte(t, c, 'W')
	stopped, begun := startStop(s, l)
	sleepUntil(begun, 0.45)
	sendByte(t, c, 'r')
	expectStarted(t, g)
	sleepUntil(begun, 0.6)
	g.release <- struct{}{}
	expectByte(t, c, 'D')
	time.Sleep(20 * time.Millisecond)
	sendByte(t, c, 'r')
	expectByte(t, c, 'B')
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read after the refusal returned %v, want EOF", err)
	}
	<-stopped
}

// Guards against a stop that closes the connection of an idle caller whose statement has arrived.
func TestSessionWithInputIsNotIdle(t *testing.T) {
	s, _, _ := newTestServer(t, 0)
	s.draining.Store(true)
	near, other := tcpPair(t)
	session, refusal := s.opts.Engine.OpenSession(context.Background(), "lots", "")
	if refusal != nil {
		t.Fatal(refusal)
	}
	c := &callerConn{server: s, conn: near, codec: inputCodec{byteCodec{near}}, session: session}
	if !c.shouldClose(busyCallerDelay) {
		t.Error("an idle session stays open")
	}
	sendByte(t, other, 'r')
	if c.shouldClose(busyCallerDelay) {
		t.Error("a session with a statement that was not read yet is closed")
	}
}

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	far = connect(t, l)
	near, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	return near, far
}

// inputCodec is a byteCodec that sees unread input.
type inputCodec struct{ byteCodec }

func (c inputCodec) Buffered() bool { return socket.HasInput(c.conn) }

// Guards against a stop of a full node that needs more than its share of a short grace period to
// tell all callers, and so is killed before it has answered them.
func TestStopOfFullNodeAnswersAllCallers(t *testing.T) {
	const callerCount = 700
	const shortGrace = 2 * time.Second
	s, l, g := newTestServer(t, 0)
	callers := make([]net.Conn, callerCount)
	for i := range callers {
		callers[i] = connect(t, l)
		expectByte(t, callers[i], 'W')
		sendByte(t, callers[i], 'r')
		if i < testUsableConnections {
			// The statement has reached the upstream and stays unanswered. The later ones get no connection.
			<-g.started
		}
	}
	go func() {
		for range g.started {
			// No statement that reaches the upstream is answered.
		}
	}()
	begun := time.Now()
	s.Shutdown(context.Background(), l, stop.NewPlan(clock.Now(), shortGrace))
	took := time.Since(begun)
	t.Logf("the stop took %s", took)
	if took >= shortGrace {
		t.Errorf("the stop took %s of a grace period of %s", took, shortGrace)
	}
	for i, c := range callers {
		if i < testUsableConnections {
			expectByte(t, c, 'U')
			continue
		}
		expectByte(t, c, 'B')
	}
}
