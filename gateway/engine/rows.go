package engine

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCallerGone is returned by a RowSink whose caller cannot be sent any more rows.
var ErrCallerGone = errors.New("the caller reads no more rows")

// RowWriter sends rows to a caller before the rest of their answer. It blocks while the caller does not read, but not
// much longer than until the deadline: an upstream waits meanwhile.
type RowWriter interface {
	WriteRows(rows []string, deadline time.Time) error
}

// RowSink takes the first rows of a large reply while the reply is still being received, so that a node holds only
// a part of it.
type RowSink interface {
	// WriteRows passes rows on. Its errors are ErrCallerGone.
	WriteRows(rows []string) error
	// Deadline is when the reply must be complete once rows have been passed on.
	Deadline() time.Time
}

// rowRelay passes the rows of a session's current statement on to its caller. Once it has started, the statement
// cannot be run again: the caller would be sent rows twice.
type rowRelay struct {
	writer RowWriter
	// started is set once rows of the statement have been passed on.
	started bool
	// deadline is that of the operation. A reply whose rows have been passed on may take until then, because no time
	// need be left for another attempt.
	deadline time.Time
}

// sink returns the relay as a sink, or nil if the session has no writer.
func (r *rowRelay) sink() RowSink {
	if r.writer == nil {
		return nil
	}
	return r
}

// WriteRows implements RowSink.
func (r *rowRelay) WriteRows(rows []string) error {
	if !r.started {
		r.started = true
		metricRelayedAnswers.Inc()
	}
	if err := r.writer.WriteRows(rows, r.deadline); err != nil {
		return errors.WithSecondaryError(ErrCallerGone, err)
	}
	return nil
}

// Deadline implements RowSink.
func (r *rowRelay) Deadline() time.Time {
	return r.deadline
}

// sinkFor returns the sink for the reply to a statement. Replies to statements of the engine itself have none.
func sinkFor(st Statement, sink RowSink) RowSink {
	if st.ID == "" {
		return nil
	}
	return sink
}

// SendRowsTo makes the session send the rows of large answers to w while it receives them. Without it, rows are
// held until their answer is complete.
func (s *Session) SendRowsTo(w RowWriter) {
	s.relay.writer = w
}
