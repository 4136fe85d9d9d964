// Package server accepts callers and runs their sessions until the node shuts down.
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
	"github.com/jayloom/jayloom/gateway/engine"
)

const (
	// openTimeout bounds the time until a caller has introduced itself.
	openTimeout = 5 * time.Second
	// writeTimeout ends a caller that does not read its answers.
	writeTimeout = 5 * time.Second
	// acceptPause is the time before accepting again after an error.
	acceptPause = 50 * time.Millisecond
	// callerShare is the share of the descriptors that callers may take.
	callerShare = 0.7
)

// Errors of a Codec.
var (
	// ErrQuit means that the caller ended the session.
	ErrQuit = errors.New("the caller ended the session")
	// ErrMalformed means that a message cannot be read. The session may go on.
	ErrMalformed = errors.New("the message cannot be read")
	// ErrTooLarge means that a message is above the limit.
	ErrTooLarge = errors.New("the message is too large")
)

// Codec reads and writes the messages of one caller.
type Codec interface {
	// ReadStartup reads who calls.
	ReadStartup() (database, key string, err error)
	// WriteReady tells the caller that the session has begun.
	WriteReady() error
	// ReadStatement reads a statement. Buffered reports whether one has arrived at least in part.
	ReadStatement() (engine.Statement, error)
	Buffered() bool
	WriteAnswer(a engine.Answer) error
	// WriteRefusal ends a session that has not begun.
	WriteRefusal(r *engine.Refusal) error
}

// Options configure a Server.
type Options struct {
	Engine *engine.Engine
	Codec  func(net.Conn) Codec
	// MaxCallers bounds the connections of callers.
	MaxCallers int
	Log        *logrus.Entry
}

// Server runs the sessions of callers.
type Server struct {
	opts     Options
	draining atomic.Bool
	running  sync.WaitGroup

	mu      sync.Mutex
	callers map[*caller]bool
}

// caller is one connection.
type caller struct {
	server  *Server
	conn    net.Conn
	codec   Codec
	session *engine.Session
	// waiting is true while the caller has no statement under way.
	waiting atomic.Bool
}

// New returns a Server.
func New(opts Options) *Server {
	return &Server{opts: opts, callers: map[*caller]bool{}}
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.opts.Log.WithError(err).Warn("accept failed")
			time.Sleep(acceptPause)
			continue
		}
		s.accept(ctx, conn)
	}
}

func (s *Server) accept(ctx context.Context, conn net.Conn) {
	c := &caller{server: s, conn: conn, codec: s.opts.Codec(conn)}
	s.mu.Lock()
	full := s.opts.MaxCallers > 0 && len(s.callers) >= s.opts.MaxCallers
	if !full {
		s.callers[c] = true
	}
	s.mu.Unlock()
	if full {
		c.refuse(&engine.Refusal{Code: rescode.TooManyConnections, Reason: reasonTooManyCallers})
		_ = conn.Close()
		return
	}
	s.running.Go(func() {
		c.run(ctx)
		s.mu.Lock()
		delete(s.callers, c)
		s.mu.Unlock()
	})
}

// MaxCallers returns how many callers fit a limit of descriptors.
func MaxCallers(descriptors int) int {
	return int(callerShare * float64(descriptors))
}

const reasonTooManyCallers engine.Reason = "too_many_callers"

func (c *caller) refuse(r *engine.Refusal) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.codec.WriteRefusal(r); err != nil {
		c.server.opts.Log.WithError(err).Debug("refusal was not delivered")
	}
}

func (c *caller) run(ctx context.Context) {
	defer func() { _ = c.conn.Close() }()
	if !c.open() {
		return
	}
	defer c.session.Close()
	for c.serveOne(ctx) {
	}
}

// open begins the session.
func (c *caller) open() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(openTimeout))
	database, key, err := c.codec.ReadStartup()
	if err != nil {
		return false
	}
	session, refusal := c.server.opts.Engine.OpenSession(database, key)
	if refusal != nil {
		c.refuse(refusal)
		return false
	}
	c.session = session
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.codec.WriteReady() == nil
}

// serveOne serves one statement. It returns false when the session is over.
func (c *caller) serveOne(ctx context.Context) bool {
	st, err := c.next()
	answer := engine.Answer{}
	switch {
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrTooLarge):
		answer = c.session.Reject(st.ID, errors.Is(err, ErrTooLarge))
	case err != nil:
		return false
	default:
		answer = c.session.Handle(ctx, st)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.codec.WriteAnswer(answer); err != nil {
		return false
	}
	return !answer.Close
}

// next waits for a statement. A drain ends the wait of a session that is idle.
func (c *caller) next() (engine.Statement, error) {
	for {
		c.waiting.Store(true)
		if err := c.setReadDeadline(); err != nil {
			return engine.Statement{}, err
		}
		if c.mayEnd() {
			return engine.Statement{}, ErrQuit
		}
		st, err := c.codec.ReadStatement()
		c.waiting.Store(false)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		if c.codec.Buffered() {
			return st, err
		}
		if !c.server.draining.Load() {
			c.session.AbortIdleTransaction()
		}
	}
}

// mayEnd reports whether a drain ends the session now.
func (c *caller) mayEnd() bool {
	return c.server.draining.Load() && c.session.State() == engine.Idle && !c.codec.Buffered()
}

func (c *caller) setReadDeadline() error {
	if limit := c.session.IdleTimeout(); limit > 0 {
		return c.conn.SetReadDeadline(time.Now().Add(limit))
	}
	return c.conn.SetReadDeadline(time.Time{})
}

// Drain ends idle sessions, and others once they become idle.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.callers {
		if c.waiting.Load() {
			// The wait ends and finds that the server drains.
			_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// CallerCount returns the number of connected callers.
func (s *Server) CallerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

// CloseAll ends all sessions.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.callers {
		_ = c.conn.Close()
	}
}

// Wait returns when all sessions have ended or ctx has.
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
