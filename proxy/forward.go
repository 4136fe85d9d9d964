package proxy

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/policy/session"
	"github.com/jayloom/jayloom/proxy/wire"
)

const (
	// forwardBytes is how much of an answer is buffered before it is written.
	forwardBytes = 16 << 10
	// maxHeldBytes bounds the buffered answer of a write that is not acknowledged yet.
	maxHeldBytes = 4 << 20
)

var (
	// errCallerGone marks errors after which the caller sends nothing more: it has
	// disconnected, broken the protocol, or its session was ended.
	errCallerGone         = errors.New("the caller has disconnected")
	errUnleased           = errors.New("the primary lease has ended")
	errHeldAnswerTooLarge = errors.New("the answer is too large to hold until it is acknowledged")
)

// forward forwards the answer message by message.
func (x *exchange) forward() result {
	x.answerStart = x.caller.out.Pending()
	err := x.forwardAll()
	if err == nil && x.readyReceived {
		err = x.acknowledge()
	}
	if err != nil {
		x.discardUnsent()
	}
	kind := resultDone
	var refused *rescode.Error
	switch {
	case err == nil:
	case errors.Is(err, errCallerGone):
		kind = resultCallerGone
	case errors.As(err, &refused):
		kind = resultRefused
	case errors.Is(err, errUnleased):
		kind = resultUnleased
	default:
		kind = resultLost
	}
	return result{kind: kind, forwarded: x.flushed, err: err, refused: refused}
}

// discardUnsent drops what was not sent to the caller yet: the acknowledgement, or the
// whole answer if nothing of it was written.
func (x *exchange) discardUnsent() {
	switch {
	case !x.flushed:
		x.caller.out.Truncate(x.answerStart)
	case x.holdFrom >= 0:
		x.caller.out.Truncate(x.holdFrom)
	}
}

func (x *exchange) forwardAll() error {
	if x.r.hasIdentity() {
		return x.runIdentifiedWrite()
	}
	if x.r.messages == nil {
		return x.forwardSimple()
	}
	return x.forwardBatch()
}

func (x *exchange) forwardSimple() error {
	for {
		frame, err := x.read()
		if err != nil {
			return err
		}
		switch frame.Type {
		case 'Z':
			return x.handleReady(frame)
		case 'G':
			if err := x.copyIn(frame); err != nil {
				return err
			}
		default:
			if err := x.forwardMessage(frame); err != nil {
				return err
			}
		}
	}
}

// read returns the next message of the upstream. Before it waits, it flushes what may
// be sent to the caller already.
func (x *exchange) read() (wire.Frame, error) {
	if x.caller.out.Pending() > 0 && x.holdFrom < 0 && !x.conn.rd.HasMessage() {
		if err := x.flush(); err != nil {
			return wire.Frame{}, err
		}
	}
	frame, err := x.conn.rd.Next()
	if err != nil {
		return frame, err
	}
	if x.awaitingFirst {
		x.awaitingFirst = false
		// The data read was current if the lease is still valid when the first byte of
		// the answer has arrived.
		if x.target.primary && x.r.plan.Read && !x.caller.server.leaseValid(x.target) {
			return frame, errUnleased
		}
	}
	return frame, nil
}

func (x *exchange) flush() error {
	x.flushed = true
	if _, err := x.caller.out.Flush(); err != nil {
		return errors.CombineErrors(errCallerGone, err)
	}
	return nil
}

// forwardMessage forwards one message and records its effects.
func (x *exchange) forwardMessage(frame wire.Frame) error {
	switch frame.Type {
	case 'C':
		x.recordTag(frame.Body())
		if x.holdsAcknowledgement() && x.holdFrom < 0 {
			x.holdFrom = x.caller.out.Pending()
		}
		if x.forwardsEarly() && !x.caller.server.leaseValid(x.target) {
			return errUnleased
		}
	case 'E':
		x.failed = true
		if x.keyInCopy {
			countResult(rescode.KeyInStatement)
			x.caller.out.Message(errorResponse(rescode.New(rescode.KeyInStatement, "in COPY data"), severityError))
			return nil
		}
	}
	x.caller.out.Raw(frame.Raw)
	pending := x.caller.out.Pending()
	if x.holdFrom >= 0 {
		if pending > maxHeldBytes {
			return errHeldAnswerTooLarge
		}
		return nil
	}
	if pending >= forwardBytes {
		return x.flush()
	}
	return nil
}

// holdsAcknowledgement reports whether CommandComplete acknowledges a write. It is then
// held until ReadyForQuery has arrived and the lease was checked.
func (x *exchange) holdsAcknowledgement() bool {
	return x.target.primary && !x.r.plan.Read && x.r.sync
}

// forwardsEarly reports whether CommandComplete is forwarded before the Sync. It may
// acknowledge a COMMIT, so the lease is checked first.
func (x *exchange) forwardsEarly() bool {
	return x.target.primary && !x.r.plan.Read && !x.r.sync
}

func (x *exchange) recordTag(body []byte) {
	x.completed++
	tag := string(bytes.TrimRight(body, "\x00"))
	word, _, _ := strings.Cut(tag, " ")
	switch {
	case tag == tagDiscardAll:
		x.recordDiscard()
		return
	case tag == tagDeallocateAll:
		x.caller.statements.clear()
		clear(x.conn.prepared)
	case pinsByTag(tag) && !x.setsLocally():
		x.effects.pins = true
	}
	if word == "LISTEN" {
		x.conn.listens = true
	}
	switch word {
	case "BEGIN", "START", "ROLLBACK", "SET", "RESET", "SHOW", "LISTEN", "UNLISTEN",
		"DEALLOCATE", "PREPARE", "SAVEPOINT", "RELEASE", "CLOSE", "FETCH", "EXPLAIN":
	default:
		x.effects.writes = true
	}
}

// recordDiscard records a DISCARD ALL when its answer arrives. What follows in the same batch may leave state again,
// so the session of the connection counts as unknown unless the end of the request shows that nothing did.
func (x *exchange) recordDiscard() {
	x.effects = tagEffects{discards: true}
	x.caller.statements.clear()
	x.conn.clearSessionState()
	x.conn.lastSession = unknownSession
}

// setsLocally reports whether the request is a single SET whose effect ends with its
// transaction. Its command tag does not differ from that of other SETs.
func (x *exchange) setsLocally() bool {
	if !x.r.hasSingleStatement() {
		return false
	}
	word, _ := firstWord(x.r.statements[0])
	return word == "SET" && !pinsByFirstWord(x.r.statements[0])
}

// handleReady handles ReadyForQuery, which is forwarded once the request is acknowledged.
func (x *exchange) handleReady(frame wire.Frame) error {
	if len(frame.Body()) != 1 {
		return wire.ErrMalformed
	}
	x.caller.tx = frame.Body()[0]
	x.readyReceived = true
	return nil
}

// acknowledge makes the checks that an answer of a primary needs before its end is sent
// to the caller, and reports the session's position.
func (x *exchange) acknowledge() error {
	if x.target.primary && !x.r.plan.Read {
		if err := x.acknowledgeWrite(); err != nil {
			return err
		}
		return x.acknowledgeUnderLease()
	}
	x.caller.out.Message(&pgproto3.ReadyForQuery{TxStatus: x.caller.tx})
	return nil
}

// acknowledgeUnderLease writes the held answer. The lease is checked last, immediately
// before the write: the position may arrive much later than the answer, and the process
// may have been stopped in between.
func (x *exchange) acknowledgeUnderLease() error {
	held := x.caller.out.Pending()
	x.caller.out.Message(&pgproto3.ReadyForQuery{TxStatus: x.caller.tx})
	if x.completed > 0 && !x.caller.server.leaseValid(x.target) {
		x.caller.out.Truncate(held)
		return errUnleased
	}
	return x.flush()
}

func (x *exchange) acknowledgeWrite() error {
	if x.completed > 0 && !x.caller.server.leaseValid(x.target) {
		return errUnleased
	}
	committed := x.caller.tx == txIdle && x.completed > 0 && x.effects.writes
	if x.positionQueried {
		answer, err := readInternalResult(x.conn)
		if err != nil {
			return err
		}
		if !committed || x.failed {
			return nil
		}
		return x.recordPosition(answer)
	}
	if !committed || x.failed && x.startTx == txIdle && x.completed == 0 {
		return nil
	}
	metricPositionRoundTrips.Inc()
	answer, err := runInternal(x.conn, sqlWritePosition)
	if err != nil {
		return err
	}
	return x.recordPosition(answer)
}

// recordPosition raises the session's minimum position, and waits for a replica if the
// route requires it.
func (x *exchange) recordPosition(answer internalResult) error {
	lsn, err := answer.writePosition()
	if err != nil {
		return err
	}
	position := session.Position{Group: x.target.group, Term: x.target.term, LSN: lsn}
	x.caller.server.recordCommit(x.r.statements, position)
	if x.r.plan.WaitForReplica {
		if err := x.caller.server.replayConfirmerOf(x.target.group).wait(x.r.ctx, position); err != nil {
			return rescode.New(rescode.ReplicaWaitTimeout, "group %q", x.target.group)
		}
	}
	if x.caller.raiseMinPosition(position) {
		x.caller.out.Message(&pgproto3.ParameterStatus{Name: settingSession, Value: x.caller.sessionToken()})
	}
	return nil
}
