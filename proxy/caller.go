package proxy

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/policy/route"
	"github.com/jayloom/jayloom/policy/session"
	"github.com/jayloom/jayloom/proxy/view"
	"github.com/jayloom/jayloom/proxy/wire"
)

// Transaction states as ReadyForQuery reports them.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

const (
	// drainGracePeriod is how long a draining proxy still waits for a request that an
	// idle caller has already sent.
	drainGracePeriod = 20 * time.Millisecond
	// partialRequestTimeout bounds the wait for the rest of such a request.
	partialRequestTimeout = 5 * time.Second
	// lingerTimeout bounds the wait for a caller to read why its connection ends.
	lingerTimeout = time.Second
)

// caller is the session of one authenticated caller. All fields belong to its
// goroutine, except the atomic ones and those that mu guards.
type caller struct {
	server *Server
	net    net.Conn
	rd     *wire.Reader
	out    *wire.Writer

	id           uint64
	cancelSecret uint32
	team         string
	keyID        string
	service      string
	// defaultTag holds the values of jayloom.route and jayloom.slot.
	defaultTag route.Tag
	// parameters are the caller's startup settings; parameterSQL sets them on an upstream.
	parameters   []parameter
	parameterSQL string
	// parametersAccepted is set once an upstream has accepted them.
	parametersAccepted bool

	consistencyState

	statements statementSet
	portals    map[string]*statement
	nextName   int
	batch      batch
	tx         byte
	// txConn is the connection of the open transaction or batch. sessionConn is the one
	// that holds session state between transactions.
	txConn      *heldConn
	sessionConn *heldConn
	// pinPermit is the pool that allowed the request to pin its connection.
	pinPermit *pool
	// txPlan and txTag are the plan and the tag of the request that began the
	// transaction.
	txPlan route.Plan
	txTag  route.Tag
	// runningConn is the connection that a cancel request is sent to, if any.
	runningConn atomic.Pointer[upstreamConn]

	// ctx is cancelled when the session ends.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	endCause *rescode.Error
	draining bool
	// idle is set while the goroutine waits for a request outside a transaction.
	idle bool
}

// heldConn is an upstream connection that a session holds, with its target.
type heldConn struct {
	conn   *upstreamConn
	target target
}

// consistencyState is the session's state for read-your-writes.
type consistencyState struct {
	identity session.Identity
	// startupToken is the token of the startup message, not yet verified.
	startupToken string
	// hasTokenPositions is set if the caller presented a token with positions, which is then
	// taken to be its newest.
	hasTokenPositions bool
	// minPositions are the positions that a replica must have reached to serve a read.
	minPositions session.Positions
	// knownSince is when this session learned the minimum position of each group.
	knownSince map[string]time.Duration
}

// end makes the session finish as soon as it is idle, queued or between two
// messages. Only the first reason is kept.
func (s *caller) end(reason *rescode.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endCause != nil {
		return
	}
	s.endCause = reason
	s.cancel()
	_ = s.net.SetReadDeadline(time.Unix(1, 0))
}

// drain makes the session finish at its next transaction boundary.
func (s *caller) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.idle && s.endCause == nil {
		_ = s.net.SetReadDeadline(time.Now().Add(drainGracePeriod))
	}
}

func (s *caller) endReason() *rescode.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endCause
}

// hasActiveKey reports whether the snapshot still holds the caller's key.
func (s *caller) hasActiveKey(snapshot *view.Snapshot) bool {
	team, ok := snapshot.Teams[s.team]
	if !ok {
		return false
	}
	return s.team == route.PublicTeam || team.HasKey(s.keyID)
}

// run serves requests until the caller disconnects or the session is ended.
func (s *caller) run() {
	defer s.close()
	err := s.lastOutcome(s.serve())
	s.releaseConns()
	s.sendFatal(err)
}

// close ends the session. After a panic it still holds upstream connections, which are closed because their
// state is not known; the caller is told nothing, since its request may have run.
func (s *caller) close() {
	for _, held := range []*heldConn{s.sessionConn, s.txConn} {
		if held != nil {
			held.conn.pool.discard(held.conn)
		}
	}
	s.server.registry.remove(s)
	s.cancel()
	_ = s.net.Close()
}

// lastOutcome returns what the caller is told when err ends its session. The end of an
// open transaction by a drain is reported as such: its caller must begin it again.
func (s *caller) lastOutcome(err error) error {
	var reason *rescode.Error
	if s.txConn == nil || !errors.As(err, &reason) || reason.Code != rescode.ProxyDraining {
		return err
	}
	if s.batch.mayCommit {
		return rescode.New(rescode.AnswerLost, "upstream %s", s.txConn.target.pool.address)
	}
	return s.transactionLostError(s.txConn.target)
}

func (s *caller) serve() error {
	for {
		frame, err := s.nextMessage()
		if err != nil {
			return err
		}
		if frame.Type == 'X' {
			// Requests that were sent together with Terminate may have answers pending.
			_, err := s.out.Flush()
			return err
		}
		if err := s.dispatch(frame); err != nil {
			return err
		}
	}
}

// nextMessage returns the caller's next message. Before it waits, it flushes the
// pending answers.
func (s *caller) nextMessage() (wire.Frame, error) {
	if s.rd.HasMessage() && s.out.Pending() < forwardBytes {
		// The caller has pipelined more requests; their answers are written together.
		frame, err := s.rd.Next()
		return frame, s.sessionError(err)
	}
	if _, err := s.out.Flush(); err != nil {
		return wire.Frame{}, err
	}
	s.rd.Release()
	forwarder := s.startNotificationForwarder()
	defer forwarder.stop()
	s.enterIdle()
	frame, err := s.rd.Next()
	for err != nil && s.awaitPartialRequest(err) {
		frame, err = s.rd.Next()
	}
	s.leaveIdle()
	return frame, s.sessionError(err)
}

func (s *caller) enterIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = s.txConn == nil && s.tx == txIdle && !s.batch.isOpen()
	if s.draining && s.idle && s.endCause == nil {
		_ = s.net.SetReadDeadline(time.Now().Add(drainGracePeriod))
	}
}

func (s *caller) leaveIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	if s.draining && s.endCause == nil {
		_ = s.net.SetReadDeadline(time.Time{})
	}
}

// awaitPartialRequest reports whether the grace period of a draining proxy ended in the
// middle of a request. If so, it extends the deadline for the rest of the request.
func (s *caller) awaitPartialRequest(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || s.endCause != nil || s.rd.Buffered() == 0 || !s.idle {
		return false
	}
	s.idle = false
	_ = s.net.SetReadDeadline(time.Now().Add(partialRequestTimeout))
	return true
}

// sessionError converts a read error to the error that ends the session.
func (s *caller) sessionError(err error) error {
	if err == nil {
		return nil
	}
	if reason := s.endReason(); reason != nil {
		return reason
	}
	var tooLarge *wire.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return rescode.New(rescode.PacketTooLarge, "%s", tooLarge.Error())
	case errors.Is(err, wire.ErrMalformed):
		return malformed(err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rescode.New(rescode.ProxyDraining, "")
	default:
		return err
	}
}

// sendFatal sends the reason why the connection ends, and waits until the caller has
// read it.
func (s *caller) sendFatal(err error) {
	var refused *rescode.Error
	if !errors.As(err, &refused) {
		return
	}
	countResult(refused.Code)
	_ = s.net.SetDeadline(time.Now().Add(lingerTimeout))
	s.out.Message(errorResponse(refused, severityFatal))
	if _, err := s.out.Flush(); err != nil {
		return
	}
	// Closing with unread bytes would reset the connection and lose the message.
	if half, ok := s.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		discardInput(s.net)
	}
}

func discardInput(conn net.Conn) {
	var b [1 << 10]byte
	for {
		if _, err := conn.Read(b[:]); err != nil {
			return
		}
	}
}

// releaseConns closes the connection of an open transaction and releases the pinned one.
func (s *caller) releaseConns() {
	s.runningConn.Store(nil)
	if s.sessionConn != nil && s.sessionConn != s.txConn {
		s.sessionConn.conn.pool.release(s.sessionConn.conn)
	}
	if s.txConn != nil {
		// Closing the connection rolls the transaction back.
		s.txConn.conn.pool.discard(s.txConn.conn)
	}
	s.sessionConn, s.txConn = nil, nil
}

func (s *caller) dispatch(frame wire.Frame) error {
	if reason := s.endReason(); reason != nil {
		return reason
	}
	switch frame.Type {
	case 'Q':
		return s.simpleQuery(frame)
	case 'P', 'B', 'D', 'E', 'C', 'H', 'S':
		return s.handleExtended(frame)
	case 'd', 'c', 'f':
		// The rest of a failed COPY; PostgreSQL discards it too.
		return nil
	case 'F':
		return s.refuse(rescode.New(rescode.UnsupportedProtocol, "function call"), true)
	default:
		return malformed("unknown message type")
	}
}

// refuse answers a request with a result code. An open transaction fails, as it
// would after an error of the upstream; otherwise the caller could commit it without
// the refused statement.
func (s *caller) refuse(refused *rescode.Error, ready bool) error {
	if reason := s.endReason(); reason != nil {
		return finalOutcome(refused, reason)
	}
	if closesConnection(refused.Code) {
		return refused
	}
	if s.txConn != nil {
		if err := s.failTransaction(); err != nil {
			return err
		}
	}
	countResult(refused.Code)
	s.out.Message(errorResponse(refused, severityError))
	if ready {
		s.out.Message(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	}
	return nil
}

// finalOutcome returns what a caller whose session was ended is told about its last
// request. The reason of the end says that the request has not run, so it never replaces
// an outcome that leaves this open.
func finalOutcome(refused, reason *rescode.Error) *rescode.Error {
	if isNotRun(refused) {
		return reason
	}
	return refused
}

// isNotRun reports whether a refusal says that the request has not run.
func isNotRun(refused *rescode.Error) bool {
	info, ok := rescode.Lookup(refused.Code)
	return ok && info.Execution == rescode.NotRun
}

// failTransaction puts the transaction on txConn into the failed state.
func (s *caller) failTransaction() error {
	conn := s.txConn.conn
	var err error
	if s.batch.started {
		err = s.failBatchUpstream(conn)
	} else {
		var answer internalResult
		answer, err = runInternal(conn, sqlAbort)
		s.tx = answer.txStatus
	}
	if err != nil {
		return s.transactionLostError(s.txConn.target)
	}
	return nil
}

// failBatchUpstream makes the upstream skip the rest of the batch, by sending a
// statement that fails.
func (s *caller) failBatchUpstream(conn *upstreamConn) error {
	conn.out.Message(&pgproto3.Parse{Query: sqlAbort})
	conn.out.Message(&pgproto3.Flush{})
	if _, err := conn.out.Flush(); err != nil {
		return err
	}
	for {
		frame, err := conn.rd.Next()
		if err != nil {
			return err
		}
		if frame.Type == 'E' {
			return nil
		}
	}
}

// transactionLostError returns the error for a transaction whose connection was
// lost before its COMMIT was sent.
func (s *caller) transactionLostError(t target) *rescode.Error {
	return rescode.New(rescode.TransactionAborted, "upstream %s", t.pool.address)
}

// applyStartup applies a caller's startup parameters.
func (s *caller) applyStartup(parameters []parameter) *rescode.Error {
	for _, p := range parameters {
		if wire.ContainsKey([]byte(p.name)) || wire.ContainsKey([]byte(p.value)) {
			return rescode.New(rescode.KeyInStatement, "in a startup parameter")
		}
		if err := s.applyStartupParameter(p); err != nil {
			return err
		}
	}
	if s.team == "" {
		return malformed("the startup message has no user")
	}
	if s.service == "" {
		s.service = s.team
	}
	s.parameterSQL = parameterStatements(s.parameters)
	return nil
}

func (s *caller) applyStartupParameter(p parameter) *rescode.Error {
	switch {
	case p.name == "user":
		s.team = p.value
	case p.name == "database":
		s.service = p.value
	case p.name == "replication":
		if p.value != "" && p.value != "false" && p.value != "off" {
			return rescode.New(rescode.UnsupportedProtocol, "replication connections")
		}
	case p.name == "options":
		return s.applyStartupOptions(p.value)
	case strings.HasPrefix(p.name, "_pq_."):
	case isJayloomSetting(p.name):
		return s.setStartupSetting(strings.ToLower(p.name), p.value)
	case !isSettingName(p.name):
		return malformed("a startup parameter has an invalid name")
	default:
		s.parameters = append(s.parameters, p)
	}
	return nil
}

func (s *caller) applyStartupOptions(options string) *rescode.Error {
	parameters, err := splitOptions(options)
	if err != nil {
		return err
	}
	for _, p := range parameters {
		if p.name == "user" || p.name == "database" || p.name == "options" || p.name == "replication" {
			return malformed("a startup option sets a startup parameter")
		}
		if err := s.applyStartupParameter(p); err != nil {
			return err
		}
	}
	return nil
}

func isSettingName(name string) bool {
	for i := range len(name) {
		if !isWordByte(name[i]) && name[i] != '.' {
			return false
		}
	}
	return name != ""
}

// parameterStatements returns one simple query that sets all startup parameters.
func parameterStatements(parameters []parameter) string {
	var sql strings.Builder
	for _, p := range parameters {
		sql.WriteString("SET ")
		sql.WriteString(p.name)
		sql.WriteString(" TO ")
		sql.WriteString(quoteLiteral(p.value))
		sql.WriteString("; ")
	}
	return sql.String()
}
