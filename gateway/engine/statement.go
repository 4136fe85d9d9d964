// Package engine serves callers: it keeps their sessions, decides where each statement
// runs, and lends them connections to upstreams. It works on typed statements and
// answers; wire formats stand behind the interfaces Dialer and Conn.
package engine

import (
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/gateway/position"
)

// Kind says what a statement does.
type Kind uint8

// Kinds of statements.
const (
	Begin Kind = iota + 1
	// BeginRead begins a transaction that cannot write.
	BeginRead
	Commit
	Rollback
	Read
	Write
	SetValue
	Prepare
	Execute
	Forget
	// Reset drops values and prepared statements. Only the system sends it.
	Reset
)

// Statement is one statement of a caller or of the system.
type Statement struct {
	// ID identifies the statement; it is empty for the system's own.
	ID   string
	Kind Kind
	// Text is what the caller sent. It is passed on unchanged unless a prepared
	// statement is renamed.
	Text string
	// Name is that of a value or a prepared statement, Value what follows it.
	Name, Value string
	// Writes and Shape describe a statement to prepare.
	Writes bool
	Shape  string
	// MinPosition makes the upstream refuse unless its log has reached the position.
	MinPosition position.Position
}

// State is that of a session between statements.
type State uint8

// States of a session.
const (
	Idle State = iota
	InTransaction
	FailedTransaction
)

// Answer is what a caller gets for one statement.
type Answer struct {
	Rows []string
	// Digest is the upstream's proof of what it did; empty for the system's answers.
	Digest string
	// Refusal is set when the statement did not succeed.
	Refusal *Refusal
	State   State
	// Close ends the session behind the answer.
	Close bool
}

// Refusal says why a statement did not succeed.
type Refusal struct {
	Code   rescode.Code
	Reason Reason
	// RetryAfter is when another attempt may succeed; 0 when nothing is known.
	RetryAfter time.Duration
	// Upstream is where the newest attempt was made, if there was one.
	Upstream string
	// Elapsed is how long the caller has waited for the refusal.
	Elapsed time.Duration
}

// Reason tells refusals with the same code apart.
type Reason string

// Outcome is the result code that an upstream answered with.
type Outcome uint8

// Outcomes of a statement at an upstream.
const (
	Done Outcome = iota
	Busy
	Behind
	ReadOnly
	Misdirected
	TooManyConnections
	NoStatement
	Failed
	TimedOut
	Rejected
)

// notRun reports whether the upstream promises that the statement had no effect.
func (o Outcome) notRun() bool {
	switch o {
	case Busy, Behind, ReadOnly, Misdirected, TooManyConnections, NoStatement, Rejected:
		return true
	default:
		return false
	}
}

// String returns the label of the outcome in logs and counters.
func (o Outcome) String() string {
	names := [...]string{
		"done", "busy", "behind", "read_only", "misdirected", "too_many", "no_statement", "failed", "timed_out", "rejected",
	}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Reply is an upstream's complete answer to one statement.
type Reply struct {
	Rows    []string
	Digest  string
	Outcome Outcome
	State   State
	// Position is that of the upstream's log behind the statement.
	Position position.Position
}
