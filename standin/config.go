// Package standin is a stand-in for a PostgreSQL server: protocol version 3, a
// subset of SQL on tables in memory, asynchronous replication, promotion, and an
// audit of every statement. It is for local runs and tests.
package standin

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/standin/wire"
)

// Defaults of Config.
const (
	DefaultListen          = "127.0.0.1:0"
	DefaultConnectionLimit = 25
	DefaultConnectDelay    = 10 * time.Millisecond
	DefaultAuditKeep       = 100_000
)

// Config describes a server. The zero value is a primary on a free port that
// trusts every client and delays nothing.
type Config struct {
	// Listen is the address to listen on.
	Listen string
	// User and Password are the one account; Auth says how it is checked.
	User, Password string
	Auth           wire.AuthMethod
	// TLS is offered to clients if it is set; all but replicas must then use it.
	TLS *tls.Config
	// ConnectionLimit is the number of sessions, 0 for DefaultConnectionLimit.
	// Replication connections do not count.
	ConnectionLimit int
	// ConnectDelay is waited before a new connection is answered.
	ConnectDelay time.Duration
	// StatementDelay is waited before each statement.
	StatementDelay time.Duration
	// Follow makes the server a replica of the primary at this address.
	Follow string
	// Lag is how long after their commit a replica applies changes.
	Lag time.Duration
	// Capture gets every byte received from clients, before decryption.
	Capture io.Writer
	// AuditFile gets one JSON line for each statement whose outcome is known.
	AuditFile io.Writer
	// AuditKeep is the number of statements kept in memory, 0 for DefaultAuditKeep.
	AuditKeep int
	// Logger may be nil.
	Logger *logrus.Entry
}

func (c Config) withDefaults() Config {
	if c.Listen == "" {
		c.Listen = DefaultListen
	}
	if c.Auth == "" {
		c.Auth = wire.Trust
	}
	if c.ConnectionLimit == 0 {
		c.ConnectionLimit = DefaultConnectionLimit
	}
	if c.AuditKeep == 0 {
		c.AuditKeep = DefaultAuditKeep
	}
	if c.Logger == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		c.Logger = logrus.NewEntry(silent)
	}
	return c
}

// Check refuses a configuration that contradicts itself.
func (c Config) Check() error {
	switch c.Auth {
	case "", wire.Trust:
	case wire.Cleartext, wire.Scram:
		if c.User == "" || c.Password == "" {
			return errors.Newf("authentication by %q needs a user and a password", c.Auth)
		}
	default:
		return errors.Newf("authentication %q is none of %q, %q and %q", c.Auth, wire.Cleartext, wire.Scram, wire.Trust)
	}
	if c.ConnectionLimit < 0 || c.AuditKeep < 0 {
		return errors.New("the connection limit and the audit size must not be negative")
	}
	if c.ConnectDelay < 0 || c.StatementDelay < 0 || c.Lag < 0 {
		return errors.New("delays must not be negative")
	}
	return nil
}
