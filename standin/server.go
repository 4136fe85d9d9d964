package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/standin/audit"
	"github.com/jayloom/jayloom/standin/engine"
	"github.com/jayloom/jayloom/standin/node"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
	"github.com/jayloom/jayloom/standin/wire"
)

// Server is a running stand-in.
type Server struct {
	config   Config
	node     *node.Node
	audit    *audit.Log
	listener net.Listener
	gate     *gate
	options  wire.Options

	connectDelay   atomic.Int64
	statementDelay atomic.Int64
	sessions       atomic.Int64

	cancel  context.CancelCauseFunc
	running sync.WaitGroup
	mu      sync.Mutex
	conns   map[net.Conn]bool
	closed  bool
}

// Start listens and serves until ctx ends or the server is closed.
func Start(ctx context.Context, c Config) (*Server, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	c = c.withDefaults()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", c.Listen)
	}
	s := &Server{
		config:   c,
		audit:    audit.New(c.AuditKeep, c.AuditFile),
		listener: listener,
		gate:     newGate(),
		conns:    map[net.Conn]bool{},
	}
	if c.Capture != nil {
		s.config.Capture = &lockedWriter{w: c.Capture}
	}
	s.connectDelay.Store(int64(c.ConnectDelay))
	s.statementDelay.Store(int64(c.StatementDelay))
	s.node = node.New(node.Config{
		PrimaryAddress:   c.Follow,
		Account:          node.Account{User: c.User, Password: c.Password},
		Lag:              c.Lag,
		Logger:           c.Logger.WithField("address", s.Addr()),
		BlockWhileFrozen: s.gate.wait,
	})
	s.options = s.wireOptions()
	context.AfterFunc(ctx, func() { s.shut(false) })
	ctx, s.cancel = context.WithCancelCause(ctx)
	s.running.Go(func() { s.accept(ctx) })
	return s, nil
}

func (s *Server) wireOptions() wire.Options {
	return wire.Options{
		Account:      wire.Account{User: s.config.User, Password: s.config.Password, Auth: s.config.Auth},
		Registry:     wire.NewRegistry(),
		TLS:          s.config.TLS,
		Admit:        s.admit,
		ConnectDelay: func() time.Duration { return time.Duration(s.connectDelay.Load()) },
		NewSession:   s.newSession,
		Replicate:    s.node.ServeReplication,
	}
}

func (s *Server) accept(ctx context.Context) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		connectionsAccepted.Inc()
		gated := &gatedConn{Conn: c, gate: s.gate, capture: s.config.Capture}
		if !s.keep(c) {
			c.Close()
			return
		}
		s.running.Go(func() {
			defer s.forget(c)
			wire.Serve(ctx, gated, s.options)
		})
	}
}

func (s *Server) keep(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[c] = true
	}
	return !s.closed
}

func (s *Server) forget(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) admit() (func(), error) {
	if s.sessions.Add(1) > int64(s.config.ConnectionLimit) {
		s.sessions.Add(-1)
		connectionsRefused.Inc()
		return nil, sqlerr.New(sqlerr.TooManyConnections, "sorry, too many clients already")
	}
	sessionsOpened.Inc()
	sessionsOpen.Inc()
	return func() {
		s.sessions.Add(-1)
		sessionsOpen.Dec()
	}, nil
}

func (s *Server) newSession(process uint32, user, database string, startup map[string]string) (*engine.Session, error) {
	return engine.NewSession(engine.Options{
		Server:   s.node,
		Store:    s.node.Store,
		Audit:    s.audit,
		Process:  process,
		User:     user,
		Database: database,
		Startup:  startup,
		Delay:    func() time.Duration { return time.Duration(s.statementDelay.Load()) },
	})
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// closeGrace is how long clients have to take the message that ends their session.
const closeGrace = time.Second

// Close tells the clients that the server ends, as PostgreSQL's fast shutdown does,
// ends all connections and waits for them.
func (s *Server) Close() {
	s.listener.Close()
	s.gate.unfreeze()
	s.cancel(sqlerr.New(sqlerr.AdminShutdown, "terminating connection due to administrator command"))
	s.interruptReads()
	ended := make(chan struct{})
	go func() {
		s.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closeGrace):
	}
	s.shut(false)
	<-ended
}

// interruptReads makes sessions that wait for a message notice the end.
func (s *Server) interruptReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		// It fails only on a connection that is closed already.
		_ = c.SetReadDeadline(time.Now())
	}
}

// Crash drops all connections at once, as a killed process does. Nothing that is
// not acknowledged by then is.
func (s *Server) Crash() {
	s.shut(true)
	s.Close()
}

func (s *Server) shut(reset bool) {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			// A linger time of 0 sends a reset and drops unsent data. It fails
			// only on a connection that is closed already.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	s.mu.Unlock()
	s.gate.unfreeze()
	s.node.Close()
}

// Promote makes a replica a primary.
func (s *Server) Promote() error {
	promotions.Inc()
	return s.node.Promote(context.Background())
}

// Follow makes a replica follow the primary at address, as primary_conninfo does.
func (s *Server) Follow(address string) {
	s.node.Follow(address)
}

// SetLag changes how long after their commit a replica applies changes.
func (s *Server) SetLag(d time.Duration) { s.node.SetLag(d) }

// SetConnectDelay changes the delay of new connections.
func (s *Server) SetConnectDelay(d time.Duration) { s.connectDelay.Store(int64(d)) }

// SetStatementDelay changes the delay of statements.
func (s *Server) SetStatementDelay(d time.Duration) { s.statementDelay.Store(int64(d)) }

// Freeze stops all traffic without closing a connection, as SIGSTOP does.
func (s *Server) Freeze() { s.gate.freeze() }

// Unfreeze lets traffic pass again.
func (s *Server) Unfreeze() { s.gate.unfreeze() }

// Audit returns the statements executed, oldest first.
func (s *Server) Audit() []audit.Entry { return s.audit.Entries() }

// Position returns the end of the log: of its commits on a primary, of what is
// applied on a replica.
func (s *Server) Position() value.LSN { return s.node.Position() }

// WaitFor waits until everything before position can be read.
func (s *Server) WaitFor(ctx context.Context, position value.LSN) error {
	return s.node.WaitFor(ctx, position)
}

// Timeline returns the current timeline.
func (s *Server) Timeline() uint32 { return s.node.Timeline() }

// InRecovery reports whether the server is a replica.
func (s *Server) InRecovery() bool { return s.node.InRecovery() }

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int { return int(s.sessions.Load()) }
