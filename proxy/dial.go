package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/base/pgaccount"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/proxy/wire"
)

// Dialer opens connections to upstreams.
type Dialer interface {
	Dial(ctx context.Context, address, service string) (*upstreamConn, error)
}

// dialTimeout bounds the opening of one connection, including the login.
const dialTimeout = 2 * time.Second

// accountDialer logs in with the account that the settings give for upstreams.
type accountDialer struct {
	account settings.UpstreamAccount
	// dial opens the network connection; nil means TCP.
	dial pgconn.DialFunc
}

// Dial implements Dialer.
func (d accountDialer) Dial(ctx context.Context, address, service string) (*upstreamConn, error) {
	config, err := pgaccount.Config(d.account, address, service)
	if err != nil {
		return nil, err
	}
	config.RuntimeParams["application_name"] = "jayloom-proxy"
	if d.dial != nil {
		config.DialFunc = d.dial
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to upstream %s", address)
	}
	// After a slow write the driver may still be reading in the background and would
	// consume the first answer.
	if err := conn.SyncConn(ctx); err != nil {
		_ = conn.Close(ctx)
		return nil, errors.Wrapf(err, "finish the login on upstream %s", address)
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, errors.Wrapf(err, "hijack the connection to upstream %s", address)
	}
	if hijacked.Frontend.ReadBufferLen() != 0 {
		_ = hijacked.Conn.Close()
		return nil, errors.Newf("upstream %s sent unexpected data after the login", address)
	}
	return &upstreamConn{
		net:        hijacked.Conn,
		tls:        config.TLSConfig,
		rd:         wire.NewReader(hijacked.Conn, maxUpstreamMessageBytes),
		out:        wire.NewWriter(hijacked.Conn),
		processID:  hijacked.PID,
		secret:     hijacked.SecretKey,
		parameters: hijacked.ParameterStatuses,
		prepared:   map[string]bool{},
	}, nil
}
