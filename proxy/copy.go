package proxy

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/proxy/wire"
)

// copyIn forwards the data of a COPY FROM STDIN to the upstream until the caller ends
// it or the upstream reports an error.
func (x *exchange) copyIn(start wire.Frame) error {
	x.caller.out.Raw(start.Raw)
	if err := x.flush(); err != nil {
		return err
	}
	for {
		done, err := x.copyMessage()
		if err != nil || done {
			return err
		}
	}
}

// copyMessage handles one message of the caller. It reports whether the COPY has ended.
func (x *exchange) copyMessage() (bool, error) {
	if x.caller.rd.Buffered() == 0 || x.conn.out.Pending() >= forwardBytes {
		if err := x.flushCopy(); err != nil {
			return false, err
		}
		if !x.conn.isClean() {
			return x.copyInterrupted()
		}
	}
	frame, err := x.caller.rd.Next()
	if err != nil {
		return false, errors.Mark(x.caller.sessionError(err), errCallerGone)
	}
	switch frame.Type {
	case 'd':
		if x.copyScanner.ContainsKey(frame.Body()) {
			x.keyInCopy = true
			x.conn.out.Message(&pgproto3.CopyFail{Message: "refused by the proxy"})
			return true, x.flushCopy()
		}
		x.conn.out.Raw(frame.Raw)
		return false, nil
	case 'c', 'f':
		if wire.ContainsKey(frame.Body()) {
			x.keyInCopy = true
			x.conn.out.Message(&pgproto3.CopyFail{Message: "refused by the proxy"})
			return true, x.flushCopy()
		}
		x.conn.out.Raw(frame.Raw)
		return true, x.flushCopy()
	case 'H', 'S':
		// PostgreSQL ignores Flush and Sync during COPY.
		return false, nil
	default:
		return false, errors.Mark(malformed("unexpected message during COPY"), errCallerGone)
	}
}

// copyInterrupted handles a message that the upstream sends during COPY. After an error
// the rest of the caller's data is discarded, as PostgreSQL does.
func (x *exchange) copyInterrupted() (bool, error) {
	frame, err := x.read()
	if err != nil {
		return false, err
	}
	if err := x.forwardMessage(frame); err != nil {
		return false, err
	}
	x.copyFailed = frame.Type == 'E'
	return x.copyFailed, x.flush()
}

func (x *exchange) flushCopy() error {
	_, err := x.conn.out.Flush()
	return err
}
