// Package engine runs the sessions of callers: it decides on which upstream each statement
// runs, and pools the connections to the upstreams. It works on typed statements and answers;
// the wire protocols are implemented behind the interfaces Dialer and Conn.
package engine

import (
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/gateway/position"
)

// Kind is the kind of a statement.
type Kind uint8

// Kinds of statements.
const (
	Begin Kind = iota + 1
	// BeginRead begins a read-only transaction.
	BeginRead
	Commit
	Rollback
	Read
	Write
	SetValue
	Prepare
	Execute
	// Forget drops a prepared statement.
	Forget
	// Reset drops session values and prepared statements. Callers cannot send it.
	Reset
)

// Statement is one statement of a caller, or one that the engine sends itself.
type Statement struct {
	// ID identifies the statement. It is empty for statements of the engine itself.
	ID   string
	Kind Kind
	// Text is the statement as the caller sent it. It is passed on unchanged, except that
	// prepared statements are renamed.
	Text string
	// Name is the name of a session value or of a prepared statement; Value is the text that
	// follows it.
	Name, Value string
	// Writes and Shape describe the statement to prepare. Writes is also set for an Execute whose
	// prepared statement writes.
	Writes bool
	Shape  string
	// MinPosition is the position that the log of the upstream must have reached. An upstream
	// that is behind it refuses the statement.
	MinPosition position.Position
}

// MayWrite reports whether the statement may have an effect that outlives it.
func (st Statement) MayWrite() bool {
	switch st.Kind {
	case Write, Commit:
		return true
	case Execute:
		return st.Writes
	default:
		return false
	}
}

// State is the state of a session between statements.
type State uint8

// States of a session.
const (
	Idle State = iota
	InTransaction
	FailedTransaction
)

// Answer is the answer to one statement of a caller.
type Answer struct {
	Rows []string
	// Digest is the upstream's proof of what it did. It is empty for statements that the
	// engine answers itself.
	Digest string
	// Refusal is set when the statement did not succeed.
	Refusal *Refusal
	State   State
	// Close reports whether the session ends after this answer.
	Close bool
}

// Refusal states why a statement did not succeed.
type Refusal struct {
	Code   rescode.Code
	Reason Reason
	// RetryAfter is the time after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
	// Upstream is the upstream of the last attempt, if there was one.
	Upstream string
	// Elapsed is how long the caller has waited for the refusal.
	Elapsed time.Duration
}

// Reason distinguishes refusals with the same code.
type Reason string

// Outcome is the result code of an upstream.
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

// notRun reports whether the outcome guarantees that the statement had no effect.
func (o Outcome) notRun() bool {
	switch o {
	case Busy, Behind, ReadOnly, Misdirected, TooManyConnections, NoStatement, Rejected:
		return true
	default:
		return false
	}
}

// String returns the name of the outcome in logs and counters.
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
	// Position is the position of the upstream's log after the statement.
	Position position.Position
}
