// Package wire implements the server side of the PostgreSQL frontend/backend
// protocol for the stand-in.
package wire

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/standin/engine"
	"github.com/jayloom/jayloom/standin/sqlerr"
)

// authenticationTimeout limits the time from accepting a connection to the end of
// its authentication.
const authenticationTimeout = 10 * time.Second

// Options holds the settings and callbacks that all connections of a server share.
type Options struct {
	Account  Account
	Registry *Registry
	// TLS enables encryption if it is set. Unencrypted sessions are then rejected,
	// but replication connections are not: in pg_hba.conf, a hostssl line for
	// database "all" does not apply to replication either.
	TLS *tls.Config
	// Admit takes a slot under the connection limit and returns a function that
	// releases it.
	Admit func() (func(), error)
	// ConnectDelay returns the delay before the server answers a startup message.
	ConnectDelay func() time.Duration
	// NewSession opens a session with the settings from a startup message.
	NewSession func(processID uint32, user, database string, settings map[string]string) (*engine.Session, error)
	// Replicate serves a command from a replication connection.
	Replicate func(ctx context.Context, backend *pgproto3.Backend, command string) error
}

// conn is the state of one client connection.
type conn struct {
	Options
	netConn      net.Conn
	backend      *pgproto3.Backend
	encrypted    bool
	session      *engine.Session
	cancelTarget *cancelTarget
	portals      map[string]*portal
	// skipUntilSync is set by an error in the extended query protocol: messages
	// are then discarded until the next Sync.
	skipUntilSync bool
}

// Serve serves one client and closes the connection at the end.
func Serve(ctx context.Context, netConn net.Conn, o Options) {
	defer netConn.Close()
	c := &conn{Options: o, netConn: netConn, backend: pgproto3.NewBackend(netConn, netConn), portals: map[string]*portal{}}
	// SetDeadline fails only on a closed connection, which the next read reports.
	_ = netConn.SetDeadline(time.Now().Add(authenticationTimeout))
	startup, err := c.receiveStartup()
	if err != nil || startup == nil {
		return
	}
	if err := c.serveStartup(ctx, startup); err != nil {
		c.sendError("FATAL", err)
		_ = c.backend.Flush()
	}
}

// receiveStartup negotiates encryption and returns the startup message. It returns
// nil after a cancel request.
func (c *conn) receiveStartup() (*pgproto3.StartupMessage, error) {
	for {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch typed := m.(type) {
		case *pgproto3.SSLRequest:
			if err := c.answerSSLRequest(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.netConn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			c.Registry.Cancel(typed.ProcessID, typed.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return typed, nil
		}
	}
}

func (c *conn) answerSSLRequest() error {
	if c.TLS == nil || c.encrypted {
		_, err := c.netConn.Write([]byte{'N'})
		return err
	}
	if _, err := c.netConn.Write([]byte{'S'}); err != nil {
		return err
	}
	c.netConn = tls.Server(c.netConn, c.TLS)
	c.backend = pgproto3.NewBackend(c.netConn, c.netConn)
	c.encrypted = true
	return nil
}

func (c *conn) serveStartup(ctx context.Context, startup *pgproto3.StartupMessage) error {
	user := startup.Parameters["user"]
	replication := startup.Parameters["replication"] == "true"
	sleep(ctx, c.ConnectDelay())
	if c.TLS != nil && !c.encrypted && !replication {
		return sqlerr.New(sqlerr.InvalidAuthorization, "no pg_hba.conf entry for user %q, no encryption", user)
	}
	if !replication {
		release, err := c.Admit()
		if err != nil {
			return err
		}
		defer release()
	}
	if err := c.Account.authenticate(c.backend, user); err != nil {
		return err
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.cancelTarget = c.Registry.add()
	defer c.Registry.remove(c.cancelTarget)
	if replication {
		return c.serveReplication(ctx)
	}
	return c.serveSession(ctx, user, startup.Parameters)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *conn) serveReplication(ctx context.Context) error {
	c.finishStartup(nil)
	_ = c.netConn.SetDeadline(time.Time{})
	if err := c.backend.Flush(); err != nil {
		return nil
	}
	m, err := c.backend.Receive()
	if err != nil {
		return nil
	}
	query, ok := m.(*pgproto3.Query)
	if !ok {
		return unexpectedMessageError(m)
	}
	return c.Replicate(ctx, c.backend, query.String)
}

func (c *conn) serveSession(ctx context.Context, user string, parameters map[string]string) error {
	settings, err := startupSettings(parameters)
	if err != nil {
		return err
	}
	database := parameters["database"]
	if database == "" {
		database = user
	}
	session, err := c.NewSession(c.cancelTarget.processID, user, database, settings)
	if err != nil {
		return err
	}
	c.session = session
	defer session.Close()
	c.finishStartup(session.Report())
	_ = c.netConn.SetDeadline(time.Time{})
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return c.serveMessages(ctx)
}

// finishStartup completes the startup: it reports the settings and the cancel key,
// and then sends ReadyForQuery.
func (c *conn) finishStartup(settings map[string]string) {
	c.sendParameters(settings)
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.cancelTarget.processID, SecretKey: c.cancelTarget.secretKey})
	status := byte('I')
	if c.session != nil {
		status = c.session.Status()
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (c *conn) sendParameters(settings map[string]string) {
	for name, text := range settings {
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: text})
	}
}

// startupSettings returns the settings in a startup message, including those in its
// "options" parameter.
func startupSettings(parameters map[string]string) (map[string]string, error) {
	settings := map[string]string{}
	for name, text := range parameters {
		switch name {
		case "user", "database", "replication", "options":
		default:
			if !strings.HasPrefix(name, "_pq_.") {
				settings[name] = text
			}
		}
	}
	args := strings.Fields(parameters["options"])
	for i := 0; i < len(args); i++ {
		arg := args[i]
		if arg == "-c" && i+1 < len(args) {
			i++
			arg = args[i]
		}
		arg = strings.TrimPrefix(strings.TrimPrefix(arg, "--"), "-c")
		name, text, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, sqlerr.New(sqlerr.SyntaxError, "invalid command-line argument for server process: %s", arg)
		}
		settings[name] = text
	}
	return settings, nil
}

func (c *conn) serveMessages(ctx context.Context) error {
	if err := c.backend.Flush(); err != nil {
		return nil
	}
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return context.Cause(ctx) // nil unless the server is shutting down
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := c.handleMessage(ctx, m); err != nil {
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// handleMessage processes one message. An error means that the connection is lost;
// failed statements are reported to the client instead.
func (c *conn) handleMessage(ctx context.Context, m pgproto3.FrontendMessage) error {
	if query, ok := m.(*pgproto3.Query); ok {
		c.handleSimpleQuery(ctx, query.String)
		return c.sendReady()
	}
	switch m.(type) {
	case *pgproto3.Sync:
		c.skipUntilSync = false
		c.session.EndImplicit()
		return c.sendReady()
	case *pgproto3.Flush:
		return c.backend.Flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // sent before the client saw that its COPY failed
	}
	if c.skipUntilSync {
		return nil
	}
	if err := c.handleExtended(ctx, m); err != nil {
		c.skipUntilSync = true
		c.sendError("ERROR", c.session.Fail(err))
	}
	return nil
}

// sendReady reports changed settings and sends ReadyForQuery. It drops the portals
// outside a transaction, because a portal ends with its transaction.
func (c *conn) sendReady() error {
	if c.session.Status() == 'I' {
		clear(c.portals)
	}
	c.sendParameters(c.session.Report())
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.Status()})
	return c.backend.Flush()
}

func (c *conn) sendError(severity string, err error) {
	e := sqlerr.From(err)
	c.backend.Send(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Code,
		Message:             e.Message,
	})
}
