package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/cmd/internal/flagfile"
	"github.com/jayloom/jayloom/cmd/internal/load"
)

// costCommand measures the overhead of a proxy against a direct connection.
type costCommand struct {
	flagfile.Common

	Proxy     string        `long:"proxy" value-name:"URL" required:"true" description:"Connection string of the proxy, as of libpq."`
	Direct    string        `long:"direct" value-name:"URL" required:"true" description:"Connection string of the upstream."`
	Statement string        `long:"statement" default:"SELECT 1" description:"Statement to run."`
	Tag       string        `long:"tag" description:"Tag added to the statement on the proxy, as in /*route='x'*/."`
	Rounds    int           `long:"rounds" default:"10" description:"Rounds, which alternate between the two."`
	Block     int           `long:"block" default:"1000" description:"Statements of a round for the latency."`
	Clients   int           `long:"clients" default:"16" description:"Connections for the throughput."`
	Span      time.Duration `long:"span" default:"1s" description:"Time of a round for the throughput."`
	JSON      string        `long:"json" default:"-" value-name:"FILE" description:"Where to write the report."`

	config load.CostConfig
}

func (c *costCommand) common() *flagfile.Common { return &c.Common }

func (c *costCommand) check(args []string) error {
	if len(args) > 0 || c.Rounds < 1 || c.Block < 1 || c.Clients < 1 || c.Span <= 0 {
		return errors.New("--rounds, --block, --clients and --span must be above 0, and no arguments are allowed")
	}
	proxy, err := pgconn.ParseConfig(c.Proxy)
	if err != nil {
		return errors.Wrap(err, "--proxy")
	}
	direct, err := pgconn.ParseConfig(c.Direct)
	if err != nil {
		return errors.Wrap(err, "--direct")
	}
	c.config = load.CostConfig{
		Proxy: proxy, Direct: direct,
		DirectStatement: c.Statement, ProxyStatement: c.Statement,
		Rounds: c.Rounds, StatementsPerRound: c.Block, Clients: c.Clients, ThroughputDuration: c.Span,
	}
	if c.Tag != "" {
		c.config.ProxyStatement += " " + c.Tag
	}
	return nil
}

func (c *costCommand) run(ctx context.Context) error {
	report, err := load.MeasureCost(ctx, c.config)
	if err != nil {
		return err
	}
	return writeJSON(c.JSON, report)
}

// idleCommand measures the memory that idle connections use in a proxy.
type idleCommand struct {
	flagfile.Common

	Proxy       string `long:"proxy" value-name:"URL" required:"true" description:"Connection string of the proxy, as of libpq."`
	PID         int    `long:"pid" required:"true" description:"Process id of the proxy."`
	Connections int    `long:"connections" default:"2000" description:"Connections to open."`
	Prepared    int    `long:"prepared" default:"0" description:"Statements to prepare on each connection; the profile litbrot has their table."`
	JSON        string `long:"json" default:"-" value-name:"FILE" description:"Where to write the report."`

	config *pgconn.Config
}

func (c *idleCommand) common() *flagfile.Common { return &c.Common }

func (c *idleCommand) check(args []string) (err error) {
	if len(args) > 0 || c.Connections < 1 || c.Prepared < 0 {
		return errors.New("--connections must be above 0, --prepared must not be negative, and no arguments are allowed")
	}
	c.config, err = pgconn.ParseConfig(c.Proxy)
	return errors.Wrap(err, "--proxy")
}

func (c *idleCommand) run(ctx context.Context) error {
	report, err := load.MeasureIdle(ctx, c.config, c.Connections, c.Prepared, c.PID)
	if err != nil {
		return err
	}
	return writeJSON(c.JSON, report)
}

// profileCommand prints a profile or the schema of its tables.
type profileCommand struct {
	flagfile.Common

	Profile string `long:"profile" default:"litbrot" choice:"litbrot" choice:"paplate" choice:"small" description:"Profile to print."`
	Schema  bool   `long:"schema" description:"Print the statements that create a group's tables, for jayloom-standin --init."`
}

func (c *profileCommand) common() *flagfile.Common { return &c.Common }

func (c *profileCommand) check(args []string) error {
	if len(args) > 0 {
		return errors.Newf("unexpected argument %q", args[0])
	}
	return nil
}

func (c *profileCommand) run(context.Context) error {
	p := load.Profiles()[c.Profile]
	if c.Schema {
		_, err := fmt.Print(p.Schema())
		return err
	}
	return writeJSON("-", p)
}
