package proxy

import (
	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/policy/session"
	"github.com/jayloom/jayloom/proxy/wire"
)

// resultKind says how an execution ended.
type resultKind int

const (
	// resultDone: the whole answer to the request or part of a batch was forwarded.
	resultDone resultKind = iota
	// resultUnsent: nothing was sent.
	resultUnsent
	// resultBehind: the replica has not reached the minimum position; its answer was
	// discarded.
	resultBehind
	// resultLost: the connection ended before the answer was complete.
	resultLost
	// resultUnleased: the answer arrived after the primary lease had ended.
	resultUnleased
	// resultCallerGone: the caller's connection or session ended.
	resultCallerGone
	// resultRefused: the answer was replaced by a result code.
	resultRefused
)

// result is the outcome of an execution.
type result struct {
	kind resultKind
	// forwarded is set if a part of the answer was sent to the caller.
	forwarded bool
	err       error
	refused   *rescode.Error
	effects   tagEffects
	// startTx is the transaction state before the request.
	startTx byte
	// uncommitted is set if the COMMIT of a write with a request identity was not sent.
	uncommitted bool
}

// mayHaveRun reports whether the request was sent and its outcome is not known.
func (r result) mayHaveRun() bool {
	return r.kind == resultLost || r.kind == resultUnleased
}

// exchange is the execution of one request on one connection. It sends the proxy's own
// statements, the request and the position query that follows it in one flush.
type exchange struct {
	caller *caller
	conn   *upstreamConn
	target target
	r      *request

	// These record which internal statements were sent with the request.
	resetSent       bool
	parametersSent  bool
	accessModeSent  bool
	positionQueried bool
	// expected lists the answers to the messages of a batch.
	expected []expectedAnswer

	// startTx is the transaction state before the request.
	startTx byte
	// completed counts CommandComplete messages; failed is set by an ErrorResponse.
	completed int
	failed    bool
	effects   tagEffects
	// holdFrom is where the acknowledgement of a write starts in the caller's buffer,
	// or -1.
	holdFrom int
	// answerStart is the length of the caller's buffer before the answer.
	answerStart   int
	flushed       bool
	awaitingFirst bool
	copyScanner   wire.CopyScanner
	keyInCopy     bool
	// copyFailed is set once an upstream error during COPY was forwarded.
	copyFailed bool
	// readyReceived is set once ReadyForQuery has arrived.
	readyReceived bool
	// commitSent is set once the COMMIT of a write with a request identity was sent.
	commitSent bool
}

// tagEffects is what command tags tell about session state.
type tagEffects struct {
	pins     bool
	discards bool
	writes   bool
}

// execute runs a request on a connection and forwards the answer. The session may have
// been ended while the request waited for the connection; it is then not sent.
func (s *caller) execute(conn *upstreamConn, t target, r *request) result {
	if err := s.ctx.Err(); err != nil {
		return result{kind: resultUnsent, err: err, startTx: s.tx}
	}
	x := &exchange{caller: s, conn: conn, target: t, r: r, holdFrom: -1, startTx: s.tx, awaitingFirst: true}
	x.completed, x.effects.writes = s.batch.completed, s.batch.writes
	if r.messages != nil {
		s.batch.mayCommit = s.batch.mayCommit || r.mayCommit()
	}
	s.runningConn.Store(conn)
	defer s.runningConn.Store(nil)
	finished := false
	defer func() {
		if !finished {
			// A panic; the rest of the answer would reach the next request.
			conn.pool.discard(conn)
		}
	}()
	res := x.run()
	finished = true
	if !r.sync {
		s.batch.completed, s.batch.writes = x.completed, x.effects.writes
	}
	res.effects, res.startTx = x.effects, x.startTx
	res.uncommitted = r.hasIdentity() && !x.commitSent
	return res
}

func (x *exchange) run() result {
	s := x.caller
	if failed := x.verifyParameters(); failed != nil {
		return *failed
	}
	x.prepare()
	if sent, err := x.send(); err != nil {
		if sent == 0 && s.txConn == nil {
			return result{kind: resultUnsent, err: err}
		}
		return result{kind: resultLost, err: err}
	}
	return x.readAnswers()
}

// send writes the request. It also waits for the answer, unless there is none, as for a
// repeated Flush, or the caller's earlier answers must be written before the wait.
func (x *exchange) send() (int, error) {
	answered := x.r.messages == nil || len(x.expected) > 0
	if !answered || x.caller.out.Pending() > 0 {
		return x.conn.sendNoWait()
	}
	return x.conn.send()
}

// verifyParameters sets the caller's startup settings in a round trip of their own the
// first time. If the upstream refuses one, the request must not run without it.
func (x *exchange) verifyParameters() *result {
	s := x.caller
	if s.parameterSQL == "" || s.parametersAccepted || x.conn.lastSession == s.id {
		return nil
	}
	if x.conn.lastSession != noSession {
		if answer, err := runInternal(x.conn, sqlReset); err != nil || answer.failed {
			return &result{kind: resultUnsent, err: err}
		}
		x.conn.clearSessionState()
	}
	answer, err := runInternal(x.conn, s.parameterSQL)
	if err != nil {
		return &result{kind: resultUnsent, err: err}
	}
	if answer.failed {
		return &result{kind: resultRefused, refused: rescode.New(rescode.BadTag, "the upstream refuses a startup parameter")}
	}
	s.parametersAccepted = true
	x.conn.tainted = true
	x.conn.lastSession = s.id
	return nil
}

// prepare buffers everything that is to be sent.
func (x *exchange) prepare() {
	conn, s := x.conn, x.caller
	if s.txConn == nil {
		x.prepareSession()
		x.prepareAccessMode()
	}
	if x.r.hasIdentity() {
		return
	}
	if x.target.checkPosition {
		conn.query(sqlReadPosition)
	}
	if x.r.messages == nil {
		conn.out.Raw(x.r.raw)
		conn.unnamed = nil
	} else {
		x.expected = s.encodeBatch(conn, x.r)
	}
	if x.needsPositionQuery() {
		x.positionQueried = true
		conn.query(sqlWritePosition)
	}
}

// prepareSession resets the session state of the previous session and sets the
// caller's startup settings.
func (x *exchange) prepareSession() {
	conn, s := x.conn, x.caller
	if conn.lastSession == s.id {
		return
	}
	if conn.lastSession != noSession {
		metricResets.Inc()
		x.resetSent = true
		conn.query(sqlReset)
		conn.clearSessionState()
	}
	if s.parameterSQL != "" {
		x.parametersSent = true
		conn.tainted = true
		conn.query(s.parameterSQL)
	}
	conn.lastSession = s.id
}

// prepareAccessMode makes the session read-only for a read route on a primary.
func (x *exchange) prepareAccessMode() {
	wanted := x.r.plan.Read && x.target.primary
	if x.conn.readOnly == wanted {
		return
	}
	x.accessModeSent = true
	x.conn.readOnly = wanted
	if wanted {
		x.conn.query(sqlReadOnly)
	} else {
		x.conn.query(sqlReadWrite)
	}
}

// needsPositionQuery reports whether a position query is sent after the request in the
// same flush.
func (x *exchange) needsPositionQuery() bool {
	if !x.target.primary || x.r.plan.Read || !x.r.sync || x.r.hasUnknown || len(x.r.statements) == 0 {
		return false
	}
	if x.caller.batch.started {
		return false
	}
	for _, sql := range x.r.statements {
		if !canAppendPositionQuery(sql) {
			return false
		}
	}
	return true
}

// readAnswers reads the answers in the order in which the statements were sent.
func (x *exchange) readAnswers() result {
	for _, sent := range []bool{x.resetSent, x.parametersSent, x.accessModeSent} {
		if !sent {
			continue
		}
		answer, err := readInternalResult(x.conn)
		if err == nil && answer.failed {
			err = errors.New("the upstream refused a statement of the proxy")
		}
		if err != nil {
			return result{kind: resultLost, err: err}
		}
	}
	if x.target.checkPosition {
		reached, err := x.checkMinPosition()
		if err != nil {
			return result{kind: resultLost, err: err}
		}
		if !reached {
			return x.discardAnswer()
		}
	}
	return x.forward()
}

// checkMinPosition reads the replica's position, which precedes its answer, and reports
// whether it has reached the minimum position.
func (x *exchange) checkMinPosition() (bool, error) {
	answer, err := readInternalResult(x.conn)
	if err != nil {
		return false, err
	}
	at, err := answer.replicaPosition()
	if err != nil {
		// The server is no longer a replica, or its answer is invalid: nothing shows that
		// it has reached the position.
		return false, nil
	}
	group, ok := x.caller.server.view.Current().Groups[x.target.group]
	if !ok {
		return false, nil
	}
	x.caller.server.recordReplicaLag(x.target, group, at)
	return session.HasReached(group.History, x.target.minPosition, at.lsn, at.timeline), nil
}

// maxDiscardBytes bounds how much of an answer is read only to be discarded; beyond it
// closing the connection is cheaper.
const maxDiscardBytes = 256 << 10

// discardAnswer reads and discards the answer of a replica that has not reached the
// minimum position.
func (x *exchange) discardAnswer() result {
	discarded := result{kind: resultBehind}
	for size := 0; size < maxDiscardBytes; {
		frame, err := x.conn.rd.Next()
		if err != nil {
			break
		}
		size += len(frame.Raw)
		if frame.Type == 'Z' {
			if len(frame.Body()) != 1 || frame.Body()[0] != txIdle {
				x.conn.unsafe = true
			}
			// What the request left in the session is not known, so the next use resets it.
			x.conn.lastSession = unknownSession
			return discarded
		}
		if frame.Type == 'G' {
			break
		}
	}
	x.conn.unsafe = true
	return discarded
}
