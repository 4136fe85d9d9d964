package engine

import (
	"context"
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

// Target is an upstream to connect to.
type Target struct {
	ID, Service, Address string
}

// Dialer opens connections to upstreams.
type Dialer interface {
	// Dial connects for a team. An upstream that refuses answers with a *DialRefused.
	Dial(ctx context.Context, t Target, team string) (Conn, position.Position, error)
}

// DialRefusedError is an upstream's refusal of a connection.
type DialRefusedError struct {
	Outcome Outcome
}

// Error returns the outcome.
func (r *DialRefusedError) Error() string {
	return "the upstream refused the connection: " + r.Outcome.String()
}

// Conn is a connection to an upstream. It has one user at a time.
type Conn interface {
	// Send sends statements in one write.
	Send(deadline time.Time, statements ...Statement) error
	// Receive reads the answer to the oldest unanswered statement.
	Receive(deadline time.Time) (Reply, error)
	// Usable reports whether the connection is open and has nothing unread.
	Usable() bool
	Close()
}

// link is a connection with what is known of the upstream's session on it.
type link struct {
	conn   Conn
	pool   *pool
	team   string
	idleAt time.Duration
	values map[string]string
	// prepared holds the upstream names of prepared statements.
	prepared map[string]bool
	// broken links are not lent again.
	broken bool
}

// ask sends statements and reads all answers. It stops at the first error of the
// connection; then the link is broken.
func (l *link) ask(deadline time.Time, statements ...Statement) ([]Reply, error) {
	if err := l.conn.Send(deadline, statements...); err != nil {
		l.broken = true
		return nil, err
	}
	replies := make([]Reply, 0, len(statements))
	for range statements {
		r, err := l.conn.Receive(deadline)
		if err != nil {
			l.broken = true
			return replies, err
		}
		if !r.Position.IsZero() {
			l.pool.sawPosition(r.Position)
		}
		if r.Outcome == Busy {
			l.pool.sawBusy()
		}
		replies = append(replies, r)
	}
	return replies, nil
}

// align makes the values of the upstream's session those of a caller's. It returns the
// statements for that, in order.
func (l *link) align(values map[string]string) []Statement {
	var out []Statement
	for name := range l.values {
		if _, ok := values[name]; !ok {
			out = append(out, Statement{Kind: Reset})
			l.values = nil
			l.prepared = nil
			break
		}
	}
	for name, value := range values {
		if current, ok := l.values[name]; ok && current == value {
			continue
		}
		out = append(out, Statement{Kind: SetValue, Name: name, Value: value})
		if l.values == nil {
			l.values = map[string]string{}
		}
		l.values[name] = value
	}
	return out
}

// prepareFor returns the statement that prepares p on the link, or false when it is
// prepared already, and the name that it has there.
func (l *link) prepareFor(p prepared) (name string, s Statement, missing bool) {
	name = p.upstreamName()
	if l.prepared[name] {
		return name, Statement{}, false
	}
	if l.prepared == nil {
		l.prepared = map[string]bool{}
	}
	l.prepared[name] = true
	return name, Statement{Kind: Prepare, Name: name, Writes: p.writes, Shape: p.shape}, true
}

// prepared is a prepared statement of a caller.
type prepared struct {
	writes bool
	shape  string
}

// upstreamName is the same for all callers, so that they share what is prepared.
func (p prepared) upstreamName() string {
	if p.writes {
		return "w_" + p.shape
	}
	return "r_" + p.shape
}
