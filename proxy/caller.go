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
	// drainGrace is how long a draining proxy still waits for a request that an idle
	// caller has already sent.
	drainGrace = 20 * time.Millisecond
	// partialGrace bounds the wait for the rest of such a request.
	partialGrace = 5 * time.Second
	// lingerLimit bounds the wait for a caller to read why it was ended.
	lingerLimit = time.Second
)

// caller is one authenticated caller. Its goroutine owns everything but the fields
// under mu and the atomic ones.
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
	// defaults are the values of jayloom.route and jayloom.slot.
	defaults route.Tag
	// parameters are the caller's startup settings, as statements for upstreams.
	parameters   []parameter
	parameterSQL string
	// parametersTaken says that an upstream has accepted them.
	parametersTaken bool

	continuity

	statements statementSet
	portals    map[string]*statement
	nextName   int
	batch      batch
	tx         byte
	// txConn is the connection of the open transaction or batch, sessionConn the one that
	// holds session state between transactions.
	txConn      *heldConn
	sessionConn *heldConn
	// pinPermit is the pool that allowed the request to keep its connection.
	pinPermit *pool
	// txPlan and txTag are those of the request that began the transaction.
	txPlan route.Plan
	txTag  route.Tag
	// running is the connection that a cancel request goes to.
	running atomic.Pointer[upstreamConn]

	// ctx ends with the session.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	ended    *rescode.Error
	draining bool
	// idle says that the goroutine waits for a request outside a transaction.
	idle bool
}

// heldConn is a connection that a session holds, and the target that it leads to.
type heldConn struct {
	conn   *upstreamConn
	target target
}

// continuity is the session's state for reading its own writes.
type continuity struct {
	identity session.Identity
	// startupToken is a token from the startup message, not yet verified.
	startupToken string
	// hasTokenPositions says that the newest token that the caller sent had positions.
	hasTokenPositions bool
	// minPositions are the positions that reads of the session must have reached, by
	// group.
	minPositions session.Positions
	// knownSince is when this proxy learned of each group's minimum position.
	knownSince map[string]time.Duration
}

// end makes the session finish as soon as it is idle, queued or between two
// messages. The first reason counts.
func (s *caller) end(reason *rescode.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		return
	}
	s.ended = reason
	s.cancel()
	_ = s.net.SetReadDeadline(time.Unix(1, 0))
}

// drain makes the session finish at its next transaction boundary.
func (s *caller) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.idle && s.ended == nil {
		_ = s.net.SetReadDeadline(time.Now().Add(drainGrace))
	}
}

func (s *caller) endReason() *rescode.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// keyActive reports whether the snapshot still holds the caller's key.
func (s *caller) keyActive(snapshot *view.Snapshot) bool {
	team, ok := snapshot.Teams[s.team]
	if !ok {
		return false
	}
	return s.team == route.PublicTeam || team.HasKey(s.keyID)
}

// run serves requests until the caller leaves or is ended.
func (s *caller) run() {
	err := s.serve()
	s.giveBack()
	s.say(err)
	s.server.registry.remove(s)
	s.cancel()
	_ = s.net.Close()
}

func (s *caller) serve() error {
	for {
		frame, err := s.next()
		if err != nil {
			return err
		}
		if frame.Type == 'X' {
			return nil
		}
		if err := s.dispatch(frame); err != nil {
			return err
		}
	}
}

// next waits for a message of the caller.
func (s *caller) next() (wire.Frame, error) {
	if s.rd.NextComplete() && s.out.Pending() < forwardBytes {
		// The caller has sent more; its answers are written together.
		frame, err := s.rd.Next()
		return frame, s.readError(err)
	}
	if _, err := s.out.Flush(); err != nil {
		return wire.Frame{}, err
	}
	s.rd.Release()
	watching := s.startNotificationForwarder()
	defer watching.stop()
	s.enterIdle()
	frame, err := s.rd.Next()
	for err != nil && s.mayContinue(err) {
		frame, err = s.rd.Next()
	}
	s.leaveIdle()
	return frame, s.readError(err)
}

func (s *caller) enterIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = s.txConn == nil && s.tx == txIdle && !s.batch.open()
	if s.draining && s.idle && s.ended == nil {
		_ = s.net.SetReadDeadline(time.Now().Add(drainGrace))
	}
}

func (s *caller) leaveIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	if s.draining && s.ended == nil {
		_ = s.net.SetReadDeadline(time.Time{})
	}
}

// mayContinue reports whether the grace of a draining proxy ended in the middle of
// a request, the rest of which is then awaited.
func (s *caller) mayContinue(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || s.ended != nil || s.rd.Buffered() == 0 || !s.idle {
		return false
	}
	s.idle = false
	_ = s.net.SetReadDeadline(time.Now().Add(partialGrace))
	return true
}

func (s *caller) readError(err error) error {
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

// say tells the caller why its connection ends, and waits until it has read that.
func (s *caller) say(err error) {
	var refused *rescode.Error
	if !errors.As(err, &refused) {
		return
	}
	countResult(refused.Code)
	_ = s.net.SetDeadline(time.Now().Add(lingerLimit))
	s.out.Message(errorResponse(refused, severityFatal))
	if _, err := s.out.Flush(); err != nil {
		return
	}
	// Closing with unread bytes would reset the connection and lose the message.
	if half, ok := s.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		drainReads(s.net)
	}
}

func drainReads(conn net.Conn) {
	var b [1 << 10]byte
	for {
		if _, err := conn.Read(b[:]); err != nil {
			return
		}
	}
}

// giveBack closes the connections of an open transaction and gives back the others.
func (s *caller) giveBack() {
	s.running.Store(nil)
	if s.sessionConn != nil && s.sessionConn != s.txConn {
		s.sessionConn.conn.pool.release(s.sessionConn.conn)
	}
	if s.txConn != nil {
		// An open transaction ends with its connection.
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
		return s.extended(frame)
	case 'd', 'c', 'f':
		// The rest of a COPY that has failed; a server drops it too.
		return nil
	case 'F':
		return s.refuse(rescode.New(rescode.UnsupportedProtocol, "function call"), true)
	default:
		return malformed("unknown message type")
	}
}

// refuse answers a request with a result code. An open transaction fails, as it
// would after an error of the upstream: otherwise the caller could commit a part.
func (s *caller) refuse(refused *rescode.Error, ready bool) error {
	if reason := s.endReason(); reason != nil {
		return reason
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

// failBatchUpstream makes the upstream reject the batch up to its Sync.
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

// transactionLostError is the error for a transaction whose connection was lost before
// its COMMIT was sent.
func (s *caller) transactionLostError(t target) *rescode.Error {
	return rescode.New(rescode.TransactionAborted, "upstream %s", t.pool.address)
}

// readStartup takes over a caller's startup parameters.
func (s *caller) readStartup(parameters []parameter) *rescode.Error {
	for _, p := range parameters {
		if wire.ContainsKey([]byte(p.name)) || wire.ContainsKey([]byte(p.value)) {
			return rescode.New(rescode.KeyInStatement, "in a startup parameter")
		}
		if err := s.startupParameter(p); err != nil {
			return err
		}
	}
	if s.team == "" {
		return malformed("the startup message names no user")
	}
	if s.service == "" {
		s.service = s.team
	}
	s.parameterSQL = parameterStatements(s.parameters)
	return nil
}

func (s *caller) startupParameter(p parameter) *rescode.Error {
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
		return s.startupOptions(p.value)
	case strings.HasPrefix(p.name, "_pq_."):
	case isJayloomSetting(p.name):
		return s.setStartupSetting(strings.ToLower(p.name), p.value)
	case !isSettingName(p.name):
		return malformed("a startup parameter has an impossible name")
	default:
		s.parameters = append(s.parameters, p)
	}
	return nil
}

func (s *caller) startupOptions(options string) *rescode.Error {
	parameters, err := splitOptions(options)
	if err != nil {
		return err
	}
	for _, p := range parameters {
		if p.name == "user" || p.name == "database" || p.name == "options" || p.name == "replication" {
			return malformed("a startup option names a startup parameter")
		}
		if err := s.startupParameter(p); err != nil {
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

// parameterStatements sets all startup parameters with one simple query.
func parameterStatements(parameters []parameter) string {
	var sql strings.Builder
	for _, p := range parameters {
		sql.WriteString("SET ")
		sql.WriteString(p.name)
		sql.WriteString(" TO '")
		sql.WriteString(strings.ReplaceAll(p.value, "'", "''"))
		sql.WriteString("'; ")
	}
	return sql.String()
}
