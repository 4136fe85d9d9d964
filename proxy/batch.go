package proxy

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/policy/route"
	"github.com/jayloom/jayloom/proxy/wire"
)

// maxPartBytes is the size beyond which the buffered part of a batch is sent.
const maxPartBytes = 1 << 20

// batch is the state of the extended protocol between two Sync messages.
type batch struct {
	messages []batchMessage
	size     int
	// defined holds the statements that the batch prepares; nil marks a closed one.
	defined map[string]*statement
	// definedBytes is the cost of the statements whose Parse is not answered yet,
	// including those that the batch closes again.
	definedBytes int
	// started is set once a part was sent; the batch then stays on its connection.
	started bool
	// failed is set once an error was reported; everything up to Sync is ignored.
	failed bool
	// mayCommit is set if a part that was sent could have committed.
	mayCommit bool
	// completed and writes record what the parts before the Sync have executed; the
	// Sync commits it.
	completed int
	writes    bool
}

func (b *batch) isOpen() bool {
	return len(b.messages) > 0 || b.started || b.failed
}

func (b *batch) define(name string, stmt *statement) {
	if b.defined == nil {
		b.defined = map[string]*statement{}
	}
	b.defined[name] = stmt
	if stmt != nil {
		b.definedBytes += stmt.preparedBytes()
	}
}

// markConnLost records that the batch's connection was lost.
func (b *batch) markConnLost() {
	b.started = false
}

// handleExtended handles a message of the extended protocol.
func (s *caller) handleExtended(frame wire.Frame) error {
	if s.batch.failed {
		if frame.Type == 'S' {
			return s.endFailedBatch()
		}
		return nil
	}
	if frame.Type == 'S' || frame.Type == 'H' {
		return s.submitPart(frame.Type == 'S')
	}
	if wire.ContainsKey(frame.Body()) {
		return s.refuseBatch(rescode.New(rescode.KeyInStatement, ""), false)
	}
	m, refused := s.newBatchMessage(frame)
	if refused != nil && refused.Code == rescode.MalformedPacket {
		return refused
	}
	if refused != nil {
		return s.refuseBatch(refused, false)
	}
	s.batch.messages = append(s.batch.messages, m)
	s.batch.size += len(m.raw)
	if s.batch.size > maxPartBytes {
		return s.submitPart(false)
	}
	return nil
}

// submitPart submits the buffered messages. With sync set it ends the batch.
func (s *caller) submitPart(sync bool) error {
	messages := s.batch.messages
	s.batch.messages, s.batch.size = nil, 0
	if len(messages) == 0 && !s.batch.started {
		if sync {
			s.sendReady()
			s.batch = batch{}
		}
		return nil
	}
	local, mixed := classifyLocal(messages)
	if mixed {
		return s.refuseBatch(rescode.New(rescode.UnsupportedProtocol, "a jayloom setting in one batch with other statements"), sync)
	}
	if local {
		return s.answerLocalBatch(messages, sync)
	}
	r, refused := s.batchRequest(messages, sync)
	if refused != nil {
		return s.refuseBatch(refused, sync)
	}
	refused, err := s.submit(r)
	if err != nil {
		return err
	}
	if refused != nil {
		return s.refuseBatch(refused, sync)
	}
	if r.sync {
		s.batch = batch{}
	}
	return nil
}

// batchRequest builds the request for a part from the statements that it executes.
func (s *caller) batchRequest(messages []batchMessage, sync bool) (*request, *rescode.Error) {
	r := &request{messages: messages, sync: sync}
	if r.messages == nil {
		r.messages = []batchMessage{}
	}
	tagged := false
	for i := range messages {
		m := &messages[i]
		if m.kind == 'E' {
			if m.stmt == nil {
				r.hasUnknown = true
			} else {
				r.statements = append(r.statements, m.stmt.sql)
			}
		}
		if m.stmt == nil || m.stmt.tag == (route.Tag{}) {
			continue
		}
		if tagged && r.tag != m.stmt.tag {
			return nil, rescode.New(rescode.BadTag, "the statements of a batch have different route tags")
		}
		r.tag, tagged = m.stmt.tag, true
	}
	return r, nil
}

// refuseBatch reports an error in the batch; messages up to Sync are then ignored.
func (s *caller) refuseBatch(refused *rescode.Error, sync bool) error {
	if err := s.refuse(refused, false); err != nil {
		return err
	}
	s.batch.failed = true
	s.batch.messages, s.batch.size = nil, 0
	if sync {
		return s.endFailedBatch()
	}
	return nil
}

// endFailedBatch answers the Sync that follows an error.
func (s *caller) endFailedBatch() error {
	if s.txConn != nil && s.batch.started {
		if err := s.syncUpstream(); err != nil {
			return err
		}
	}
	s.batch = batch{}
	s.sendReady()
	return nil
}

// syncUpstream sends the Sync of a failed batch to the upstream.
func (s *caller) syncUpstream() error {
	held := s.txConn
	held.conn.out.Raw(syncMessage)
	if _, err := held.conn.send(); err != nil {
		return s.transactionLostError(held.target)
	}
	answer, err := readInternalResult(held.conn)
	if err != nil {
		return s.transactionLostError(held.target)
	}
	s.tx = answer.txStatus
	s.batch = batch{}
	s.keepOrRelease(held, &request{sync: true}, tagEffects{})
	return nil
}

// forwardBatch forwards the answers to a part of a batch, in the order in which its
// messages were sent.
func (x *exchange) forwardBatch() error {
	for i := 0; i < len(x.expected); {
		frame, err := x.read()
		if err != nil {
			return err
		}
		if isAsynchronous(frame.Type) {
			if err := x.forwardMessage(frame); err != nil {
				return err
			}
			continue
		}
		if frame.Type == 'E' {
			if err := x.forwardMessage(frame); err != nil {
				return err
			}
			return x.skipToSync()
		}
		done, err := x.handleAnswer(x.expected[i], frame)
		if err != nil {
			return err
		}
		if done {
			i++
		}
	}
	if !x.r.sync {
		return x.flush()
	}
	return nil
}

func isAsynchronous(kind byte) bool {
	return kind == 'N' || kind == 'A' || kind == 'S'
}

// skipToSync reads up to the ReadyForQuery that follows an error. If this part has no
// Sync, the batch waits for the caller to send one.
func (x *exchange) skipToSync() error {
	if !x.r.sync {
		x.caller.batch.failed = true
		return x.flush()
	}
	for {
		frame, err := x.read()
		if err != nil {
			return err
		}
		if frame.Type == 'Z' {
			return x.handleReady(frame)
		}
		if isAsynchronous(frame.Type) {
			if err := x.forwardMessage(frame); err != nil {
				return err
			}
		}
	}
}

// handleAnswer handles one message of the answer to e. It reports whether that was the
// last one.
func (x *exchange) handleAnswer(e expectedAnswer, frame wire.Frame) (bool, error) {
	switch e.kind {
	case 'S':
		if frame.Type != 'Z' {
			return false, wire.ErrMalformed
		}
		return true, x.handleReady(frame)
	case 'P':
		if frame.Type != '1' {
			return false, wire.ErrMalformed
		}
		x.recordParsed(e)
		if e.internal {
			return true, nil
		}
		return true, x.forwardMessage(frame)
	case 'B', 'C':
		if e.kind == 'C' {
			x.recordClosed(e)
		}
		return true, x.forwardMessage(frame)
	case 'd', 'D':
		return frame.Type == 'T' || frame.Type == 'n', x.forwardMessage(frame)
	default:
		return x.handleExecuteAnswer(frame)
	}
}

// handleExecuteAnswer handles an answer to Execute.
func (x *exchange) handleExecuteAnswer(frame wire.Frame) (bool, error) {
	switch frame.Type {
	case 'C', 'I', 's':
		return true, x.forwardMessage(frame)
	case 'G':
		// The server ignores a Sync that was sent before the COPY data; the caller sends
		// another.
		x.r.sync = false
		x.expected = x.expected[:0:0]
		if err := x.copyIn(frame); err != nil {
			return false, err
		}
		if x.copyFailed {
			x.caller.batch.failed = true
			return false, nil
		}
		return false, x.finishCopy()
	default:
		return false, x.forwardMessage(frame)
	}
}

// finishCopy reads the end of a COPY that Execute started.
func (x *exchange) finishCopy() error {
	// Without Sync the upstream sends the end of the COPY only after a Flush.
	x.conn.out.Raw(flushMessage)
	if err := x.flushCopy(); err != nil {
		return err
	}
	for {
		frame, err := x.read()
		if err != nil {
			return err
		}
		if err := x.forwardMessage(frame); err != nil {
			return err
		}
		switch frame.Type {
		case 'E':
			x.caller.batch.failed = true
			return x.flush()
		case 'C':
			return x.flush()
		}
	}
}

// recordParsed records a prepared statement.
func (x *exchange) recordParsed(e expectedAnswer) {
	x.conn.recordPrepared(e.stmt)
	if e.internal {
		return
	}
	x.caller.storeStatement(e.stmt)
}

// recordClosed records that a statement was closed.
func (x *exchange) recordClosed(e expectedAnswer) {
	if e.stmt == nil || e.message.target != 'S' {
		return
	}
	x.caller.statements.remove(e.stmt.name)
	if e.stmt.name == "" {
		x.conn.unnamed = nil
		return
	}
	delete(x.conn.prepared, e.stmt.upstreamName)
}

// classifyLocal reports whether all, or only some, messages of a part belong to local
// commands.
func classifyLocal(messages []batchMessage) (all, mixed bool) {
	local, other := 0, 0
	for i := range messages {
		if messages[i].stmt != nil && messages[i].stmt.isLocal {
			local++
		} else {
			other++
		}
	}
	return local > 0 && other == 0, local > 0 && other > 0
}

// answerLocalBatch answers a part whose statements are all local commands.
func (s *caller) answerLocalBatch(messages []batchMessage, sync bool) error {
	for i := range messages {
		if refused := s.answerLocalMessage(&messages[i]); refused != nil {
			return s.refuseBatch(refused, sync)
		}
	}
	if sync {
		return s.endFailedBatch()
	}
	return nil
}

func (s *caller) answerLocalMessage(m *batchMessage) *rescode.Error {
	switch m.kind {
	case 'P':
		s.storeStatement(m.stmt)
		s.out.Message(&pgproto3.ParseComplete{})
	case 'B':
		s.out.Message(&pgproto3.BindComplete{})
	case 'D':
		if m.target == 'S' {
			s.out.Message(&pgproto3.ParameterDescription{})
		}
		s.out.Message(describeLocalCommand(m.stmt.local))
	case 'C':
		if m.target == 'S' {
			s.statements.remove(m.name)
		}
		s.out.Message(&pgproto3.CloseComplete{})
	case 'E':
		shown, tag, refused := s.runLocalCommand(m.stmt.local)
		if refused != nil {
			return refused
		}
		s.sendLocalResult(shown, tag)
	}
	return nil
}
