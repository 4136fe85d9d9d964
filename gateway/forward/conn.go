package forward

import (
	"context"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/engine"
)

// maxOpeningBytes bounds the first message of a unit. Larger ones would keep a thin link busy, and the caller's node
// sends them to the upstream itself.
const maxOpeningBytes = 64 << 10

// Causes for the end of a unit's context.
var (
	errLinkSilent = errors.New("the other node does not answer")
	errUnitClosed = errors.New("the unit has ended")
)

// unitConn is an engine.Conn that carries one unit of work to another node.
type unitConn struct {
	link   *link
	unit   engine.ForwardedUnit
	ctx    context.Context
	cancel context.CancelCauseFunc
	// stream is nil before the first Send.
	stream grpc.BidiStreamingClient[controlpb.UnitRequest, controlpb.UnitReply]
	// replies holds those that have arrived; rows, the first of the next reply, and failure follow them.
	replies []*controlpb.StatementReply
	rows    [][]byte
	failure error
	// writes is set while a statement without a reply may write.
	writes      atomic.Bool
	interrupted atomic.Bool
}

func newUnitConn(l *link, u engine.ForwardedUnit) *unitConn {
	c := &unitConn{link: l, unit: u}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	l.addUnit()
	return c
}

// Send implements engine.Conn. The first one opens the unit.
func (c *unitConn) Send(deadline time.Time, statements ...engine.Statement) error {
	if c.interrupted.Load() {
		return engine.ErrInterrupted
	}
	request := &controlpb.UnitRequest{Statements: toStatements(statements), TimeoutMs: milliseconds(time.Until(deadline))}
	if c.stream == nil {
		if statementBytes(statements) > maxOpeningBytes {
			return notServed(fallbackTooLarge)
		}
		request.Header = toHeader(c.unit)
		stream, err := c.link.client().Carry(c.ctx)
		if err != nil {
			return c.orInterrupted(notServed(fallbackNoLink))
		}
		c.stream = stream
	}
	c.writes.Store(mayWrite(statements))
	c.link.startWait(c)
	// An error means that the stream has ended; Receive returns why.
	if err := c.stream.Send(request); err != nil && !errors.Is(err, io.EOF) {
		c.link.endWait(c)
		return c.orInterrupted(c.lost(err))
	}
	return nil
}

func mayWrite(statements []engine.Statement) bool {
	for _, st := range statements {
		if st.MayWrite() {
			return true
		}
	}
	return false
}

// Receive implements engine.Conn.
func (c *unitConn) Receive(deadline time.Time, sink engine.RowSink) (engine.Reply, error) {
	for len(c.replies) == 0 {
		if c.failure != nil {
			return engine.Reply{}, c.failure
		}
		var err error
		if len(c.rows) > 0 {
			deadline, err = c.passRows(sink)
		} else {
			err = c.receiveMessage(deadline)
		}
		if err != nil {
			c.link.endWait(c)
			return engine.Reply{}, err
		}
	}
	next := c.replies[0]
	c.replies = c.replies[1:]
	return fromReply(next), nil
}

// receiveMessage takes one message that arrives before a deadline.
func (c *unitConn) receiveMessage(deadline time.Time) error {
	timer := time.AfterFunc(time.Until(deadline), func() { c.cancel(os.ErrDeadlineExceeded) })
	defer timer.Stop()
	reply, err := c.stream.Recv()
	switch {
	case err == nil:
		c.take(reply)
		return nil
	case status.Code(err) == codes.Unimplemented:
		// A node of an earlier version.
		c.link.refuse(c.unit.Target.ID)
		return notServed(fallbackRefused)
	default:
		return c.orInterrupted(c.lost(err))
	}
}

// passRows passes the held rows on and returns the deadline of the rest of the reply.
func (c *unitConn) passRows(sink engine.RowSink) (time.Time, error) {
	if sink == nil {
		return time.Time{}, errors.New("more rows than a statement of the system is answered with")
	}
	rows := fromRows(c.rows)
	c.rows = nil
	if err := sink.WriteRows(rows); err != nil {
		return time.Time{}, err
	}
	return sink.Deadline(), nil
}

// take keeps what a message holds. One without rows is the end of the answer to a request.
func (c *unitConn) take(reply *controlpb.UnitReply) {
	c.replies, c.rows = reply.Replies, reply.Rows
	if len(c.rows) > 0 {
		return
	}
	c.link.endWait(c)
	if reply.Load != nil && c.unit.Load != nil {
		c.unit.Load.RecordLoad(c.link.address, fromLoad(reply.Load))
	}
	if reply.Failure == nil {
		metricForwarded.Inc()
		return
	}
	kind := engine.UnitFailureKind(reply.Failure.Kind)
	countForwardedFailure(kind)
	if kind == engine.UnitNotServed {
		c.link.refuse(c.unit.Target.ID)
	}
	c.failure = failureError(kind, reply.Failure)
}

// failureError returns the error for a statement that the other node could not get a reply to.
func failureError(kind engine.UnitFailureKind, f *controlpb.UnitFailure) error {
	switch kind {
	case engine.UnitTimedOut:
		return os.ErrDeadlineExceeded
	case engine.UnitTooLarge:
		return engine.ErrTooLarge
	case engine.UnitUnencodable:
		return engine.ErrUnencodable
	case engine.UnitNotServed:
		return notServed(fallbackRefused)
	case engine.UnitNoRoom:
		return &engine.ForwardError{Failure: engine.ForwardNoRoom, Refusal: fromRefusal(f)}
	case engine.UnitInterrupted:
		return &engine.ForwardError{Failure: engine.ForwardLost, Cause: errors.New("the other node has given up the statement")}
	default:
		return errors.New("the upstream's answer was lost")
	}
}

// notServed counts a fallback and returns the error for it.
func notServed(reason fallbackReason) error {
	countFallback(reason)
	return &engine.ForwardError{Failure: engine.ForwardNotServed}
}

// lost returns the error for a stream that ended without an answer. A node that has gone silent says nothing about the
// upstream.
func (c *unitConn) lost(err error) error {
	if errors.Is(context.Cause(c.ctx), os.ErrDeadlineExceeded) && !c.link.isSilent() {
		return os.ErrDeadlineExceeded
	}
	metricForwardedLost.Inc()
	return &engine.ForwardError{Failure: engine.ForwardLost, Cause: err}
}

// orInterrupted returns ErrInterrupted in place of the error that Interrupt causes.
func (c *unitConn) orInterrupted(err error) error {
	if c.interrupted.Load() {
		return engine.ErrInterrupted
	}
	return err
}

// Interrupt implements engine.Conn.
func (c *unitConn) Interrupt() {
	c.interrupted.Store(true)
	c.cancel(engine.ErrInterrupted)
}

// abandon ends a wait for a node that has gone silent, unless the statement may write: its answer may still come.
func (c *unitConn) abandon() {
	if !c.writes.Load() {
		c.cancel(errLinkSilent)
	}
}

// Usable implements engine.Conn.
func (c *unitConn) Usable() bool { return c.ctx.Err() == nil }

// Close implements engine.Conn. It ends the unit at the other node too, and is called once.
func (c *unitConn) Close() {
	c.link.removeUnit(c)
	c.cancel(errUnitClosed)
}
