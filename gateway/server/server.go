// Package server accepts caller connections and runs their sessions until the node shuts
// down.
package server

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clientlog"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/guard"
	"github.com/jayloom/jayloom/gateway/engine"
)

const (
	// startupTimeout bounds the wait for a caller's startup message.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds the writing of an answer. A caller that does not read its answers
	// is disconnected.
	writeTimeout = 5 * time.Second
	// lateRowsTime is how long behind the deadline of a statement rows of its answer may be written. A caller that
	// reads slowly can then be told of the timeout, instead of meeting a cut row.
	lateRowsTime = 200 * time.Millisecond
	// acceptBackoff is the pause after a failure to accept a connection.
	acceptBackoff = 50 * time.Millisecond
	// callerDescriptorFraction is the fraction of the file descriptors that callers may use. The rest is for other
	// listeners, links to other nodes and to upstreams, and files.
	callerDescriptorFraction = 0.6
	// busyCallerDelay is how long a session of a draining server stays open behind an answer. A
	// busy caller's next statement is then refused instead of meeting a closed connection.
	busyCallerDelay = 100 * time.Millisecond
)

// Errors of a Codec.
var (
	// ErrQuit means that the caller ended the session.
	ErrQuit = errors.New("the caller ended the session")
	// ErrMalformed means that a message cannot be parsed. The session may continue.
	ErrMalformed = errors.New("the message cannot be read")
	// ErrNoMemory means that the node has no memory for a message now. The rest of the message is not read.
	ErrNoMemory = errors.New("no memory for the message")
	// ErrTooLarge means that a message exceeds the size limit.
	ErrTooLarge = errors.New("the message is too large")
)

// Codec reads and writes the messages of one caller connection. A read that fails at a deadline
// keeps what it has read of a message for the next one.
type Codec interface {
	// ReadStartup reads the caller's startup message.
	ReadStartup() (database, key string, err error)
	// WriteReady tells the caller that its session has begun.
	WriteReady() error
	// ReadStatement reads a statement.
	ReadStatement() (engine.Statement, error)
	// Buffered reports whether at least a part of a statement has arrived, read or not.
	Buffered() bool
	// WriteRows writes the first rows of an answer whose rest follows.
	WriteRows(rows []string) error
	// WriteAnswer writes the answer to a statement, or its rest.
	WriteAnswer(a engine.Answer) error
	// Close gives back what the codec holds; the codec is not used afterwards.
	Close()
	// WriteRefusal tells the caller that its session was refused.
	WriteRefusal(r *engine.Refusal) error
}

// Options configure a Server.
type Options struct {
	Engine *engine.Engine
	Codec  func(net.Conn) Codec
	// MaxCallers bounds the number of caller connections; 0 means without limit.
	MaxCallers int
	Log        *logrus.Entry
}

// Server accepts caller connections and runs their sessions.
type Server struct {
	opts Options
	// draining is set when idle sessions end, and ending when all sessions do whose callers
	// wait for no answer.
	draining, ending atomic.Bool
	running          sync.WaitGroup

	clients *clientlog.Logger

	mu      sync.Mutex
	callers map[*callerConn]bool
	// opening is the number of callers that have not begun a session yet.
	opening int
}

// callerConn is one caller connection.
type callerConn struct {
	server  *Server
	conn    net.Conn
	codec   Codec
	session *engine.Session
	// giveUp ends the running statement of the session, and all later ones, without the answer
	// of an upstream.
	giveUp context.CancelFunc
	// waitingSince is the time since which no statement of the caller runs, 0 while one does.
	waitingSince atomic.Int64
	// owner identifies who opened the session; mu of the server guards it. It is empty before the session begins.
	owner string
	// inTransaction is true while the session has an open transaction and waits for its next
	// statement.
	inTransaction atomic.Bool
	current       currentRequest
	// rowsErr is why rows of an answer could not be written. A part of a message may have been, so nothing may follow.
	rowsErr error
}

// New returns a Server.
func New(opts Options) *Server {
	s := &Server{opts: opts, clients: clientlog.New(opts.Log), callers: map[*callerConn]bool{}}
	s.registerMetrics()
	return s
}

// Serve accepts caller connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.opts.Log.WithError(err).Warn("accept failed")
			time.Sleep(acceptBackoff)
			continue
		}
		s.accept(ctx, conn)
	}
}

func (s *Server) accept(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	c := &callerConn{server: s, conn: conn, codec: s.opts.Codec(conn), giveUp: cancel}
	if !s.admit(c) {
		cancel()
		s.reportClosed(c, reasonTooManyCallers)
		c.refuse(&engine.Refusal{Code: rescode.TooManyConnections, Reason: reasonTooManyCallers})
		_ = conn.Close()
		return
	}
	s.running.Go(func() {
		defer cancel()
		defer s.remove(c)
		defer guard.Recover(s.opts.Log, "caller connection")
		c.run(ctx)
	})
}

// MaxCallers returns the number of callers that fit within a limit of file descriptors.
func MaxCallers(descriptors int) int {
	return int(callerDescriptorFraction * float64(descriptors))
}

func (c *callerConn) refuse(r *engine.Refusal) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.codec.WriteRefusal(r); err != nil {
		c.server.opts.Log.WithError(err).Debug("failed to send a refusal")
	}
}

func (c *callerConn) run(ctx context.Context) {
	defer c.endSession()
	if !c.openSession(ctx) {
		return
	}
	for c.serveStatement(ctx) {
	}
}

// endSession closes the caller's connection and then rolls back its open transaction, which may
// take a while: what the caller sends meanwhile would not be read.
func (c *callerConn) endSession() {
	_ = c.conn.Close()
	c.codec.Close()
	if c.session != nil {
		c.session.Close()
	}
}

// openSession reads the startup message and opens the session. It reports whether that
// succeeded.
func (c *callerConn) openSession(ctx context.Context) bool {
	database, key, err := c.readStartup()
	if err != nil {
		return false
	}
	session, refusal := c.server.opts.Engine.OpenSession(ctx, database, key)
	if refusal != nil {
		c.refuse(refusal)
		return false
	}
	if !c.server.beginSession(c, ownerOf(key, c.conn)) {
		session.Close()
		return false
	}
	c.session = session
	session.SendRowsTo(c)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.codec.WriteReady(); err != nil {
		c.server.opts.Log.WithError(err).Debug("failed to tell a caller that its session has begun")
		return false
	}
	return true
}

// readStartup reads the startup message. If the server is draining, it waits only for one that has
// begun to arrive, which is then refused.
func (c *callerConn) readStartup() (database, key string, err error) {
	end := time.Now().Add(startupTimeout)
	c.beginWait()
	defer c.endWait()
	for {
		if err := c.conn.SetReadDeadline(end); err != nil {
			return "", "", err
		}
		if c.server.draining.Load() && !c.codec.Buffered() {
			return "", "", ErrQuit
		}
		database, key, err = c.codec.ReadStartup()
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(end) {
			return database, key, err
		}
	}
}

// serveStatement reads and runs one statement. It returns false when the session has ended.
func (c *callerConn) serveStatement(ctx context.Context) bool {
	st, err := c.nextStatement()
	if err != nil && !isAnswerable(err) {
		return false
	}
	c.current.begin(st, c.session.State() != engine.Idle)
	defer c.current.end()
	answer := c.answer(ctx, st, err)
	if c.rowsErr != nil {
		c.recordUnsentAnswer(st, c.rowsErr)
		return false
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.codec.WriteAnswer(answer); err != nil {
		c.recordUnsentAnswer(st, err)
		return false
	}
	return !answer.Close
}

// WriteRows implements engine.RowWriter.
func (c *callerConn) WriteRows(rows []string, deadline time.Time) error {
	if c.rowsErr == nil {
		c.rowsErr = c.conn.SetWriteDeadline(rowsDeadline(time.Now(), deadline))
	}
	if c.rowsErr == nil {
		c.rowsErr = c.codec.WriteRows(rows)
	}
	return c.rowsErr
}

// rowsDeadline returns the time until which rows of an unfinished answer may be written.
func rowsDeadline(now, statementDeadline time.Time) time.Time {
	limit, late := now.Add(writeTimeout), statementDeadline.Add(lateRowsTime)
	if late.Before(limit) {
		return late
	}
	return limit
}

// isAnswerable reports whether a message that could not be read gets an answer.
func isAnswerable(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNoMemory)
}

// answer runs a statement, or rejects one that could not be read because of err.
func (c *callerConn) answer(ctx context.Context, st engine.Statement, err error) engine.Answer {
	switch {
	case errors.Is(err, ErrNoMemory):
		return c.session.RejectForMemory()
	case err != nil:
		return c.session.Reject(st.ID, errors.Is(err, ErrTooLarge))
	default:
		return c.session.Handle(ctx, st)
	}
}

// recordUnsentAnswer counts and logs an answer that did not reach the caller.
func (c *callerConn) recordUnsentAnswer(st engine.Statement, err error) {
	metricUnsentAnswers.Inc()
	c.server.opts.Log.WithError(err).WithFields(logrus.Fields{
		"event": "answer_unsent", "id": engine.LoggedID(st.ID), "statement": st.Kind.String(),
	}).Info("answer could not be sent to the caller")
}

// nextStatement reads the next statement. If the server is draining, it ends an idle session
// instead of waiting.
func (c *callerConn) nextStatement() (engine.Statement, error) {
	idleSince := clock.Now()
	for {
		c.inTransaction.Store(c.session.State() != engine.Idle)
		c.beginWait()
		if err := c.setReadDeadline(idleSince); err != nil {
			return engine.Statement{}, err
		}
		if c.shouldClose(clock.Now() - idleSince) {
			return engine.Statement{}, ErrQuit
		}
		st, err := c.codec.ReadStatement()
		c.endWait()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		if !c.server.draining.Load() {
			c.session.AbortIdleTransaction()
		}
	}
}

// shouldClose reports whether the session, which has waited for its next statement for the time
// idle, is to end now because the server is draining.
func (c *callerConn) shouldClose(idle time.Duration) bool {
	switch {
	case c.server.ending.Load():
		return !c.codec.Buffered()
	case !c.server.draining.Load() || c.session.State() != engine.Idle || idle < busyCallerDelay:
		return false
	default:
		return !c.codec.Buffered()
	}
}

// setReadDeadline limits the wait for the next statement of a session that is idle since the given
// time.
func (c *callerConn) setReadDeadline(idleSince time.Duration) error {
	if c.server.draining.Load() && c.session.State() == engine.Idle {
		// What has arrived is read even if the session is due to end.
		wait := max(idleSince+busyCallerDelay-clock.Now(), drainPollInterval)
		return c.conn.SetReadDeadline(time.Now().Add(wait))
	}
	if limit := c.session.IdleTimeout(); limit > 0 {
		return c.conn.SetReadDeadline(time.Now().Add(limit))
	}
	return c.conn.SetReadDeadline(time.Time{})
}

// Drain ends idle sessions now, and others once they become idle.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.callers {
		if c.isWaiting() {
			// Interrupts the read, after which the session sees that the server is draining.
			_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// endSessions gives up the running statements, whose callers get an answer that says so, and ends
// each session after its current answer.
func (s *Server) endSessions() {
	s.ending.Store(true)
	s.mu.Lock()
	for c := range s.callers {
		c.giveUp()
	}
	s.mu.Unlock()
	s.Drain()
}

// CallerCount returns the number of caller connections.
func (s *Server) CallerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

// CloseAll closes all caller connections.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.callers {
		_ = c.conn.Close()
	}
}

// recordCuts counts and logs what a stop that began at stoppedAt is about to cut: statements
// without an answer, and open transactions. It returns the number of statements.
func (s *Server) recordCuts(stoppedAt time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	cut := 0
	for c := range s.callers {
		r, running := c.current.get()
		switch {
		case running:
			cut++
			phase := c.session.Phase()
			countCutRequest(phase)
			s.opts.Log.WithField("event", "request_cut").WithFields(r.fields(now, stoppedAt, phase)).
				Warn("connection closed before the request was answered")
		case c.inTransaction.Load():
			metricCutTransactions.Inc()
		}
	}
	return cut
}

// Wait returns when all sessions have ended or ctx is done.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
