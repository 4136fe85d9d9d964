// Package pgaccount builds the connection configuration of the system's own account
// on upstreams.
package pgaccount

import (
	"net"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/base/settings"
)

// Config returns the configuration for the upstream at address (host:port). The
// database is that of the account, or by default the one named after the service.
// Certificate files are read on each call, so that connections opened after a renewal
// use the new certificates.
func Config(account settings.UpstreamAccount, address, service string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "upstream address %q", address)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, errors.Wrapf(err, "upstream address %q", address)
	}
	config, err := pgconn.ParseConfig(connString(host, account.TLS))
	if err != nil {
		return nil, errors.Wrapf(err, "connection configuration for upstream %s", address)
	}
	config.Port = uint16(port)
	config.User, config.Password = account.User, account.Password
	config.Database = account.Database
	if config.Database == "" {
		config.Database = service
	}
	config.RuntimeParams = map[string]string{}
	config.Fallbacks = nil
	return config, nil
}

// connString sets every field that environment variables such as PGHOST and
// PGSSLROOTCERT could otherwise override.
func connString(host string, t settings.UpstreamTLS) string {
	mode := t.SSLMode
	if mode == "" {
		mode = settings.SSLDisable
	}
	var b strings.Builder
	for _, field := range [][2]string{
		{"host", host},
		{"user", "jayloom"},
		{"sslmode", string(mode)},
		{"sslrootcert", t.CA},
		{"sslcert", t.Cert},
		{"sslkey", t.Key},
	} {
		b.WriteString(field[0] + "='" + valueEscaper.Replace(field[1]) + "' ")
	}
	return b.String()
}

// valueEscaper escapes a single-quoted value of a connection string.
var valueEscaper = strings.NewReplacer(`\`, `\\`, `'`, `\'`)
