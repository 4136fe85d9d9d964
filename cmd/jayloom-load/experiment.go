package main

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/cmd/internal/experiment"
	"github.com/jayloom/jayloom/cmd/internal/flagfile"
	"github.com/jayloom/jayloom/cmd/internal/load"
)

// experimentCommand writes the configuration files of a deployment for
// scripts/experiment.sh.
type experimentCommand struct {
	flagfile.Common

	Profile        string  `long:"profile" default:"litbrot" choice:"litbrot" choice:"paplate" choice:"small" description:"Deployment to write."`
	Folder         string  `long:"folder" required:"true" description:"Folder for all files of the deployment."`
	BasePort       int     `long:"base-port" default:"20000" description:"First of 560 ports on 127.0.0.1."`
	Limit          float64 `long:"limit" default:"1000" description:"Sum of the teams' rates in requests per second."`
	BurstSeconds   float64 `long:"burst-seconds" default:"1" description:"Burst of each team as a time at its rate."`
	LagMs          int     `long:"lag-ms" default:"100" description:"Age at which replicas apply commits."`
	RelayControl   bool    `long:"relay-control" description:"Put a relay with the delay between data centres before each control process."`
	RelayUpstreams bool    `long:"relay-upstreams" description:"Put a relay with the delay between data centres before each upstream."`
	RelayProxies   bool    `long:"relay-proxies" description:"Put a relay with the delay to clients before each proxy."`

	plan experiment.Plan
}

func (c *experimentCommand) common() *flagfile.Common { return &c.Common }

func (c *experimentCommand) check(args []string) error {
	if len(args) > 0 {
		return errors.Newf("unexpected argument %q", args[0])
	}
	c.plan = experiment.Plan{
		Profile: load.Profiles()[c.Profile], Folder: c.Folder, BasePort: c.BasePort,
		TotalRate: c.Limit, BurstSeconds: c.BurstSeconds, LagMs: c.LagMs,
		RelayControl: c.RelayControl, RelayUpstreams: c.RelayUpstreams, RelayProxies: c.RelayProxies,
	}
	return c.plan.Check()
}

func (c *experimentCommand) run(context.Context) error { return c.plan.Write() }
