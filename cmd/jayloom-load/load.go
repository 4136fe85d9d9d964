package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/cmd/internal/flagfile"
	"github.com/jayloom/jayloom/cmd/internal/load"
)

// loadCommand runs load against the targets or compares two reports.
type loadCommand struct {
	flagfile.Common

	Profile     string         `long:"profile" default:"litbrot" choice:"litbrot" choice:"paplate" choice:"small" description:"Load to put on the targets."`
	Targets     []string       `long:"target" value-name:"HOST:PORT" description:"Proxy; may be given several times."`
	Teams       string         `long:"teams" value-name:"FILE" description:"Teams as JSON: a list of objects with name, key, weight, rate and burst. Without it the profile's teams connect with --user."`
	User        string         `long:"user" default:"jayloom" description:"User of teams without a key."`
	Password    string         `long:"password" description:"Password of teams without a key."`
	SSLMode     string         `long:"sslmode" default:"disable" description:"As in libpq."`
	Duration    time.Duration  `long:"duration" default:"30s" description:"Time during which requests arrive."`
	Rate        float64        `long:"rate" default:"300" description:"Requests per second of all teams."`
	Sessions    int            `long:"sessions" default:"16" description:"Sessions of each team."`
	Seed        uint64         `long:"seed" default:"1" description:"Seed of arrivals and choices."`
	BurstTeam   string         `long:"burst-team" description:"Team that sends --burst-factor times its rate."`
	BurstFactor float64        `long:"burst-factor" default:"5" description:"Factor of --burst-team."`
	Pins        map[string]int `long:"pin" value-name:"TEAM:N" description:"Keep a team's load on the Nth target, counted from 0; may be given several times."`
	NoTokens    bool           `long:"no-tokens" description:"Do not show session tokens when sessions reconnect."`
	Identities  bool           `long:"request-identities" description:"Give single writes a request identity."`
	Roam        float64        `long:"roam" default:"0.002" description:"Chance that a session reconnects before a request."`
	Deadline    time.Duration  `long:"deadline" default:"2s" description:"Time that a caller accepts."`
	GiveUp      time.Duration  `long:"give-up" default:"10s" description:"Time after which a request is ended."`
	Cost        float64        `long:"transaction-cost" default:"1" description:"Rate tokens that a transaction takes."`
	Schedule    string         `long:"schedule" value-name:"FILE" description:"Disturbances as JSON: a list of objects with at_ms and one of signal (with pid or pid_file), post, and move (with target)."`
	Groups      []string       `long:"group" value-name:"HOST:PORT,…" description:"Upstreams of a database group, to read after the run; once for each group, in the order of their slots."`
	Upstream    string         `long:"upstream-user" default:"jayloom" description:"User for reading upstreams."`
	UpstreamKey string         `long:"upstream-password" description:"Password for reading upstreams."`
	Metrics     []string       `long:"metrics" value-name:"URL" description:"Metrics of a proxy; may be given several times."`
	ReadsMetric string         `long:"reads-metric" default:"jayloom_proxy_reads_total" description:"Counter of reads with the label target=\"replica\" or \"primary\"."`
	JSON        string         `long:"json" value-name:"FILE" description:"Write the report as JSON."`

	Compare bool   `long:"compare" description:"Compare the reports OLD and NEW, given as arguments, and fail if NEW breaks --bounds."`
	Bounds  string `long:"bounds" value-name:"FILE" description:"Bounds as JSON: a list of objects with path and some of min, max, max_increase, max_decrease, slack."`

	old, new string
	config   load.Config
}

func (c *loadCommand) common() *flagfile.Common { return &c.Common }

func (c *loadCommand) check(args []string) error {
	if c.Compare {
		if len(args) != 2 || c.Bounds == "" {
			return errors.New("--compare needs two reports and --bounds")
		}
		c.old, c.new = args[0], args[1]
		return nil
	}
	if len(args) > 0 {
		return errors.Newf("unexpected argument %q", args[0])
	}
	if err := c.buildConfig(); err != nil {
		return err
	}
	return c.config.Check()
}

func (c *loadCommand) buildConfig() error {
	c.config = load.Config{
		Profile: load.Profiles()[c.Profile], Targets: c.Targets,
		User: c.User, Password: c.Password, SSLMode: c.SSLMode,
		Duration: c.Duration, Rate: c.Rate, SessionsPerTeam: c.Sessions, Seed: c.Seed,
		BurstTeam: c.BurstTeam, BurstFactor: c.BurstFactor,
		SessionTokens: !c.NoTokens, RequestIdentities: c.Identities, ReconnectProbability: c.Roam,
		Deadline: c.Deadline, RequestTimeout: c.GiveUp, TransactionCost: c.Cost, PinnedTargets: c.Pins,
		UpstreamUser: c.Upstream, UpstreamPassword: c.UpstreamKey,
		MetricsURLs: c.Metrics, ReadsMetric: c.ReadsMetric,
	}
	for _, group := range c.Groups {
		c.config.UpstreamGroups = append(c.config.UpstreamGroups, strings.Split(group, ","))
	}
	var err error
	if c.Teams != "" {
		if c.config.Profile.Teams, err = load.ReadTeams(c.Teams); err != nil {
			return err
		}
	}
	if c.Schedule != "" {
		c.config.Schedule, err = load.ReadSchedule(c.Schedule)
	}
	return err
}

func (c *loadCommand) run(ctx context.Context) error {
	if c.Compare {
		return c.compare()
	}
	report, err := load.Run(ctx, c.config)
	if err != nil {
		return err
	}
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, report); err != nil {
			return err
		}
	}
	if report.Total.Answered == 0 {
		return errors.New("no request was answered")
	}
	if len(report.WrongAnswers) > 0 {
		return errors.Newf("wrong answers by kind of request: %v", report.WrongAnswers)
	}
	if report.Staleness.TooOld > 0 {
		return errors.Newf("%d reads returned older data than their route allows", report.Staleness.TooOld)
	}
	if report.Checks != nil && report.Checks.Faults() > 0 {
		return errors.Newf("%d consistency faults in reads and writes", report.Checks.Faults())
	}
	return nil
}

func (c *loadCommand) compare() error {
	findings, err := load.CompareFiles(c.old, c.new, c.Bounds)
	if err != nil {
		return err
	}
	problems := 0
	for _, f := range findings {
		verdict := "ok"
		if f.Violation != "" {
			problems++
			verdict = f.Violation
		}
		fmt.Printf("%s: %g, before %g: %s\n", f.Path, f.New, f.Old, verdict)
	}
	if problems > 0 {
		return errors.Newf("%d of %d bounds are violated", problems, len(findings))
	}
	return nil
}
