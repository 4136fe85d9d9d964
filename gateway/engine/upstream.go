package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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

// Conn is a connection to an upstream. Only Interrupt is safe for concurrent use.
type Conn interface {
	// Send sends statements in one write.
	Send(deadline time.Time, statements ...Statement) error
	// Receive reads the reply to the oldest statement that has none yet.
	Receive(deadline time.Time) (Reply, error)
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
	values map[string]string
	// prepared holds the upstream names of the statements that are prepared on the
	// connection.
	prepared map[string]bool
	// broken connections are closed when they are released.
	broken bool
	// resets counts the times that the upstream's session was reset.
	resets int
}

// roundTrip sends statements and reads all replies. It stops at the first error, after which
// the connection is broken, as it is after a panic.
func (c *upstreamConn) roundTrip(deadline time.Time, statements ...Statement) ([]Reply, error) {
	wasBroken := c.broken
	c.broken = true
	if err := c.conn.Send(deadline, statements...); err != nil {
		return nil, err
	}
	replies := make([]Reply, 0, len(statements))
	for range statements {
		r, err := c.conn.Receive(deadline)
		if err != nil {
			return replies, err
		}
		if !r.Position.IsZero() {
			c.pool.setPosition(r.Position)
		}
		if r.Outcome == Busy {
			c.pool.recordBusy()
		}
		replies = append(replies, r)
	}
	c.broken = wasBroken
	return replies, nil
}

// alignValues returns the statements that set the values of the upstream's session to those
// of a caller's session, in order. It assumes that they will succeed; otherwise the caller
// marks the connection as broken.
func (c *upstreamConn) alignValues(values map[string]string) []Statement {
	var out []Statement
	for name := range c.values {
		if _, ok := values[name]; !ok {
			out = append(out, Statement{Kind: Reset})
			c.resets++
			c.values = nil
			c.prepared = nil
			break
		}
	}
	for name, value := range values {
		if current, ok := c.values[name]; ok && current == value {
			continue
		}
		out = append(out, Statement{Kind: SetValue, Name: name, Value: value})
		if c.values == nil {
			c.values = map[string]string{}
		}
		c.values[name] = value
	}
	return out
}

// ensurePrepared returns the name that p has on the connection, and the statement that
// prepares it if it is missing there.
func (c *upstreamConn) ensurePrepared(p preparedStatement) (name string, s Statement, missing bool) {
	name = p.upstreamName()
	if c.prepared[name] {
		return name, Statement{}, false
	}
	if c.prepared == nil {
		c.prepared = map[string]bool{}
	}
	c.prepared[name] = true
	return name, Statement{Kind: Prepare, Name: name, Writes: p.writes, Shape: p.shape}, true
}

// preparedStatement is a prepared statement of a caller.
type preparedStatement struct {
	writes bool
	shape  string
}

// upstreamName returns the name of the statement at upstreams. It depends only on the
// statement, so that callers share prepared statements.
func (p preparedStatement) upstreamName() string {
	if p.writes {
		return "w_" + p.shape
	}
	return "r_" + p.shape
}
