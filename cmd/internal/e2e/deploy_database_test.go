package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/jackc/pgx/v5"

	"github.com/jayloom/jayloom/standin/audit"
)

// Connect connects to a proxy as Team; options are added to the connection string.
func (d *Deployment) Connect(ctx context.Context, p *Proxy, options ...string) (*pgx.Conn, error) {
	return d.ConnectAs(ctx, p, Team, d.Key, options...)
}

// ConnectAs connects to a proxy as the given team.
func (d *Deployment) ConnectAs(ctx context.Context, p *Proxy, team, key string, options ...string) (*pgx.Conn, error) {
	return dial(ctx, p.Address, team, key, options...)
}

// ConnectDirectly connects to a stand-in, bypassing the proxies.
func (d *Deployment) ConnectDirectly(ctx context.Context, s *StandIn) (*pgx.Conn, error) {
	return dial(ctx, s.Direct, upstreamUser, upstreamPassword)
}

func dial(ctx context.Context, address, user, password string, options ...string) (*pgx.Conn, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=%s sslmode=disable %s",
		host, port, user, password, Service, strings.Join(options, " "))
	config, err := pgx.ParseConfig(text)
	if err != nil {
		return nil, err
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	return pgx.ConnectConfig(ctx, config)
}

// Audit returns the statements of a stand-in whose outcome is known. It reads the audit
// file, which remains after the process has exited.
func (d *Deployment) Audit(s *StandIn) []audit.Entry {
	d.t.Helper()
	file, err := os.Open(s.audit)
	if err != nil {
		d.t.Fatal(err)
	}
	defer file.Close()
	var entries []audit.Entry
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e audit.Entry
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			break // the line is being written
		}
		entries = append(entries, e)
	}
	return entries
}
