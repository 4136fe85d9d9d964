package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

// Target identifies an upstream to connect to.
type Target struct {
	ID, Service, Address string
}

// Dialer opens connections to upstreams.
type Dialer interface {
	// Dial connects on behalf of a team. It also returns the position of the upstream, if
	// known. An upstream that refuses the connection causes a *DialRefusedError.
	Dial(ctx context.Context, t Target, team string) (Conn, position.Position, error)
}

// DialRefusedError is an upstream's refusal of a connection.
type DialRefusedError struct {
	Outcome Outcome
}

// Error returns a message with the outcome.
func (r *DialRefusedError) Error() string {
	return "the upstream refused the connection: " + r.Outcome.String()
}

// ErrInterrupted is returned by a Conn after Interrupt.
var ErrInterrupted = errors.New("the statement was interrupted")

// Errors of Conn.Send for statements that cannot be sent to any upstream. Nothing was sent.
var (
	// ErrTooLarge means that the message would be larger than the protocol allows.
	ErrTooLarge = errors.New("the message is too large")
	// ErrUnencodable means that the upstream would read the message as another one.
	ErrUnencodable = errors.New("the message cannot be encoded")
)

// isUnsendable reports whether an error of Conn.Send concerns the statement alone.
func isUnsendable(err error) bool {
	return errors.Is(err, ErrTooLarge) || errors.Is(err, ErrUnencodable)
}

// Conn is a connection to an upstream. Only Interrupt is safe for concurrent use.
type Conn interface {
	// Send sends statements in one write.
	Send(deadline time.Time, statements ...Statement) error
	// Receive reads the reply to the oldest statement that has none yet. If the reply is large, the first of its
	// rows go to the sink and are not part of the reply that is returned.
	Receive(deadline time.Time, sink RowSink) (Reply, error)
	// Interrupt ends a running Send or Receive, and all later ones, with ErrInterrupted.
	Interrupt()
	// Usable reports whether the connection is open and has no unread input.
	Usable() bool
	Close()
}

// upstreamConn is a pooled connection with the known state of the upstream's session.
type upstreamConn struct {
	conn   Conn
	pool   *pool
	team   string
	idleAt time.Duration
	// acquiredAt is when the connection was last taken into use.
	acquiredAt time.Duration
	// priority is that of the request that uses the connection.
	priority uint32
	// values holds the digests of the values of the upstream's session by the digests of their names. Callers'
	// texts are not kept here.
	values     map[textDigest]connValue
	valueBytes int64
	prepared   preparedNames
	// state is the state of the upstream's session after its last reply.
	state State
	// broken connections got no answer, or must not be used for another reason of this node. They are closed when
	// they are released.
	broken bool
	// misaligned connections are closed too: the upstream answers, but its session is not in the state that this
	// node believes it to be in.
	misaligned bool
	// parked is set while the transaction on the connection pauses.
	parked bool
	// resets counts the times that the upstream's session was reset.
	resets int
	// forwarded connections carry one unit of work to the node that holds the connections to the upstream.
	forwarded bool
}

// connValue is a value that is set on a connection.
type connValue struct {
	digest textDigest
	bytes  int64
}

// close closes the connection, with which the upstream drops what is set and prepared on it.
func (c *upstreamConn) close() {
	c.conn.Close()
	c.prepared.clear()
	c.clearValues()
}

// roundTrip sends statements and reads all replies. It stops at the first error, after which
// the connection is broken, as it is after a panic.
func (c *upstreamConn) roundTrip(deadline time.Time, statements ...Statement) ([]Reply, error) {
	return c.roundTripTo(nil, deadline, statements...)
}

// roundTripTo is a roundTrip whose rows for the statement of the caller may go to a sink.
func (c *upstreamConn) roundTripTo(sink RowSink, deadline time.Time, statements ...Statement) ([]Reply, error) {
	if !c.forwarded {
		c.unpark()
	}
	wasBroken := c.broken
	c.broken = true
	if err := c.conn.Send(deadline, statements...); err != nil {
		c.broken = wasBroken || !isUnsendable(err)
		return nil, err
	}
	replies := make([]Reply, 0, len(statements))
	for _, st := range statements {
		r, err := c.conn.Receive(deadline, sinkFor(st, sink))
		if err != nil {
			return replies, err
		}
		if !r.Position.IsZero() {
			c.pool.setPosition(r.Position)
		}
		switch {
		case r.Outcome == Busy && c.forwarded:
			// The node that holds the connection has recorded it.
		case r.Outcome == Busy:
			c.pool.recordBusy(c.priority)
		case st.ID != "" && r.Outcome == Done:
			c.pool.recordAccepted()
			if !st.MinPosition.IsZero() {
				c.pool.recordCaughtUp()
			}
		}
		c.state = r.State
		replies = append(replies, r)
	}
	c.broken = wasBroken
	return replies, nil
}

// rollBack rolls back the transaction that the upstream's session is in. A connection that is still inside one
// afterwards, or got no answer, is not reusable.
func (c *upstreamConn) rollBack(ctx context.Context, deadline time.Time) {
	if c.broken || c.misaligned {
		return
	}
	if c.pool.isPlaceDrained(clock.Now()) {
		// Nothing more is sent there. Closing the connection rolls back.
		c.broken = true
		return
	}
	defer interruptWhenDone(ctx, c)()
	if _, err := c.roundTrip(deadline, Statement{Kind: Rollback}); err != nil {
		c.broken = true
	}
}

// reusable reports whether another caller may use the connection.
func (c *upstreamConn) reusable() bool {
	return !c.broken && !c.misaligned && c.state == Idle
}

// lostAnswer reports whether a result without a reply means that the upstream did not answer.
func (c *upstreamConn) lostAnswer(result attemptResult) bool {
	return c.broken && result.concernsUpstream()
}

// alignValues returns the statements that set the values of the upstream's session to those
// of a caller's session, in order. It assumes that they will succeed; otherwise the caller
// marks the connection as misaligned.
func (c *upstreamConn) alignValues(values map[textDigest]sessionValue) []Statement {
	var out []Statement
	for key := range c.values {
		if _, ok := values[key]; !ok {
			out = append(out, Statement{Kind: Reset})
			c.resets++
			c.clearValues()
			c.prepared.clear()
			break
		}
	}
	for key, v := range values {
		if current, ok := c.values[key]; ok && current.digest == v.digest {
			continue
		}
		out = append(out, Statement{Kind: SetValue, Name: v.name, Value: v.value})
		c.recordValue(key, connValue{digest: v.digest, bytes: v.bytes()})
	}
	return out
}

// recordValue records a value that is set on the connection.
func (c *upstreamConn) recordValue(key textDigest, v connValue) {
	if c.values == nil {
		c.values = map[textDigest]connValue{}
	}
	c.countValues(v.bytes - c.values[key].bytes)
	c.values[key] = v
}

// clearValues removes all values, as a reset of the upstream's session does.
func (c *upstreamConn) clearValues() {
	c.countValues(-c.valueBytes)
	c.values = nil
}

// countValues adds to what values hold on the connection, and on all connections.
func (c *upstreamConn) countValues(bytes int64) {
	c.valueBytes += bytes
	metricConnValueBytes.Add(float64(bytes))
}

// setUp returns what must change of what is prepared on the connection for st to run, and gives st the name that
// its prepared statement p has there. Statements are closed outside a transaction only, because a refused CLOSE
// would end the caller's transaction.
func (c *upstreamConn) setUp(st *Statement, p sessionStatement) preparedChange {
	var change preparedChange
	if st.Kind == Execute {
		name, ok := c.prepared.lookup(p.key)
		if !ok {
			change.added = c.prepared.next(p)
			name = change.added.name
		}
		st.Name = name
	}
	if c.state == Idle {
		change.evicted = c.prepared.overflow(change.added)
	}
	return change
}
