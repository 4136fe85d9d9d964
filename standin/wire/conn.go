// Package wire speaks the PostgreSQL protocol with the clients of the stand-in.
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

// authenticationTimeout bounds the time until a client has authenticated.
const authenticationTimeout = 10 * time.Second

// Options are what connections need from their server.
type Options struct {
	Account  Account
	Registry *Registry
	// TLS is offered if it is set; sessions without it are then refused, but not
	// replication, as with hostssl lines of pg_hba.conf for all databases.
	TLS *tls.Config
	// Admit takes a place under the connection limit and returns how to free it.
	Admit func() (func(), error)
	// ConnectDelay is waited before a new connection is answered.
	ConnectDelay func() time.Duration
	// NewSession opens a session for the parameters of a startup message.
	NewSession func(process uint32, user, database string, startup map[string]string) (*engine.Session, error)
	// Replicate answers a command of a replication connection.
	Replicate func(ctx context.Context, backend *pgproto3.Backend, command string) error
}

// conn is one client connection.
type conn struct {
	Options
	net     net.Conn
	backend *pgproto3.Backend
	secured bool
	session *engine.Session
	cancel  *cancelable
	portals map[string]*portal
	// skipping is set after an error in the extended protocol until Sync.
	skipping bool
}

// Serve speaks with one client until the connection ends.
func Serve(ctx context.Context, c net.Conn, o Options) {
	defer c.Close()
	k := &conn{Options: o, net: c, backend: pgproto3.NewBackend(c, c), portals: map[string]*portal{}}
	// Deadlines on a closed connection fail, and the next read reports it.
	_ = c.SetDeadline(time.Now().Add(authenticationTimeout))
	startup, err := k.startup()
	if err != nil || startup == nil {
		return
	}
	if err := k.serveStartup(ctx, startup); err != nil {
		k.sendError("FATAL", err)
		_ = k.backend.Flush()
	}
}

// startup returns the startup message, or nil after a cancel request.
func (k *conn) startup() (*pgproto3.StartupMessage, error) {
	for {
		m, err := k.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch typed := m.(type) {
		case *pgproto3.SSLRequest:
			if err := k.answerSSLRequest(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := k.net.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			k.Registry.Cancel(typed.ProcessID, typed.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return typed, nil
		}
	}
}

func (k *conn) answerSSLRequest() error {
	if k.TLS == nil || k.secured {
		_, err := k.net.Write([]byte{'N'})
		return err
	}
	if _, err := k.net.Write([]byte{'S'}); err != nil {
		return err
	}
	k.net = tls.Server(k.net, k.TLS)
	k.backend = pgproto3.NewBackend(k.net, k.net)
	k.secured = true
	return nil
}

func (k *conn) serveStartup(ctx context.Context, startup *pgproto3.StartupMessage) error {
	user := startup.Parameters["user"]
	replication := startup.Parameters["replication"] == "true"
	wait(ctx, k.ConnectDelay())
	if k.TLS != nil && !k.secured && !replication {
		return sqlerr.New(sqlerr.InvalidAuthorization, "no pg_hba.conf entry for user %q, no encryption", user)
	}
	if !replication {
		leave, err := k.Admit()
		if err != nil {
			return err
		}
		defer leave()
	}
	if err := k.Account.check(k.backend, user); err != nil {
		return err
	}
	k.backend.Send(&pgproto3.AuthenticationOk{})
	k.cancel = k.Registry.add()
	defer k.Registry.remove(k.cancel)
	if replication {
		return k.serveReplication(ctx)
	}
	return k.serveSession(ctx, user, startup.Parameters)
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (k *conn) serveReplication(ctx context.Context) error {
	k.welcome(nil)
	_ = k.net.SetDeadline(time.Time{})
	if err := k.backend.Flush(); err != nil {
		return nil
	}
	m, err := k.backend.Receive()
	if err != nil {
		return nil
	}
	query, ok := m.(*pgproto3.Query)
	if !ok {
		return unexpected(m)
	}
	return k.Replicate(ctx, k.backend, query.String)
}

func (k *conn) serveSession(ctx context.Context, user string, parameters map[string]string) error {
	settings, err := startupSettings(parameters)
	if err != nil {
		return err
	}
	database := parameters["database"]
	if database == "" {
		database = user
	}
	session, err := k.NewSession(k.cancel.process, user, database, settings)
	if err != nil {
		return err
	}
	k.session = session
	defer session.Close()
	k.welcome(session.Report())
	_ = k.net.SetDeadline(time.Time{})
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return k.loop(ctx)
}

// welcome ends the startup with the settings, the cancel key and ReadyForQuery.
func (k *conn) welcome(settings map[string]string) {
	k.sendParameters(settings)
	k.backend.Send(&pgproto3.BackendKeyData{ProcessID: k.cancel.process, SecretKey: k.cancel.secret})
	status := byte('I')
	if k.session != nil {
		status = k.session.Status()
	}
	k.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (k *conn) sendParameters(settings map[string]string) {
	for name, text := range settings {
		k.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: text})
	}
}

// startupSettings returns the settings of a startup message, those of its
// "options" included.
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
	words := strings.Fields(parameters["options"])
	for i := 0; i < len(words); i++ {
		word := words[i]
		if word == "-c" && i+1 < len(words) {
			i++
			word = words[i]
		}
		word = strings.TrimPrefix(strings.TrimPrefix(word, "--"), "-c")
		name, text, ok := strings.Cut(word, "=")
		if !ok {
			return nil, sqlerr.New(sqlerr.SyntaxError, "invalid command-line argument for server process: %s", word)
		}
		settings[name] = text
	}
	return settings, nil
}

func (k *conn) loop(ctx context.Context) error {
	if err := k.backend.Flush(); err != nil {
		return nil
	}
	for {
		m, err := k.backend.Receive()
		if err != nil {
			return context.Cause(ctx) // nil unless the server ends
		}
		if _, ends := m.(*pgproto3.Terminate); ends {
			return nil
		}
		if err := k.handle(ctx, m); err != nil {
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// handle answers one message; an error means that the connection is lost.
func (k *conn) handle(ctx context.Context, m pgproto3.FrontendMessage) error {
	if query, ok := m.(*pgproto3.Query); ok {
		k.simple(ctx, query.String)
		return k.ready()
	}
	switch m.(type) {
	case *pgproto3.Sync:
		k.skipping = false
		k.session.EndImplicit()
		return k.ready()
	case *pgproto3.Flush:
		return k.backend.Flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // left over from a COPY that failed
	}
	if k.skipping {
		return nil
	}
	if err := k.extended(ctx, m); err != nil {
		k.skipping = true
		k.sendError("ERROR", k.session.Fail(err))
	}
	return nil
}

// ready ends an answer. Portals end with their transaction.
func (k *conn) ready() error {
	if k.session.Status() == 'I' {
		clear(k.portals)
	}
	k.sendParameters(k.session.Report())
	k.backend.Send(&pgproto3.ReadyForQuery{TxStatus: k.session.Status()})
	return k.backend.Flush()
}

func (k *conn) sendError(severity string, err error) {
	e := sqlerr.From(err)
	k.backend.Send(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Code,
		Message:             e.Message,
	})
}
