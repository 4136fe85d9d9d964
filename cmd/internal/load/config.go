package load

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/tailscale/hujson"
)

// Config describes a run.
type Config struct {
	Profile Profile
	// Targets are the addresses of proxies, or of one upstream for a direct run.
	Targets []string
	// User and Password serve teams without a key.
	User, Password string
	SSLMode        string

	Duration time.Duration
	// Rate is the total number of requests per second.
	Rate            float64
	SessionsPerTeam int // per team
	Seed            uint64
	// BurstTeam sends BurstFactor times its rate.
	BurstTeam   string
	BurstFactor float64
	// SessionTokens makes sessions show their token when they reconnect.
	SessionTokens bool
	// RequestIdentities adds a request identity to single writes.
	RequestIdentities bool
	// ReconnectProbability is the chance that a session reconnects, elsewhere, before a request.
	ReconnectProbability float64
	// Deadline is what a caller accepts; RequestTimeout ends a request.
	Deadline, RequestTimeout time.Duration
	// TransactionCost is the number of tokens that a transaction takes.
	TransactionCost float64
	// PinnedTargets keep a team's load on one target.
	PinnedTargets map[string]int
	Schedule      []Event

	// UpstreamGroups are the upstreams' addresses, in the order of the groups' slots; they
	// are read directly after the run. None leaves the check out.
	UpstreamGroups                 [][]string
	UpstreamUser, UpstreamPassword string
	MetricsURLs                    []string
	ReadsMetric                    string
}

// Check refuses a configuration that contradicts itself.
func (c *Config) Check() error {
	switch {
	case len(c.Targets) == 0:
		return errors.New("at least one target is needed")
	case c.Rate <= 0 || c.Duration <= 0 || c.SessionsPerTeam <= 0:
		return errors.New("rate, duration and sessions must be above 0")
	case c.RequestTimeout < c.Deadline:
		return errors.New("the time to give up must not be below the deadline")
	case len(c.UpstreamGroups) > 0 && len(c.UpstreamGroups) != c.Profile.Groups:
		return errors.Newf("%d groups of upstreams are given, the profile has %d", len(c.UpstreamGroups), c.Profile.Groups)
	}
	if err := c.checkTeams(); err != nil {
		return err
	}
	return c.checkSchedule()
}

func (c *Config) checkTeams() error {
	if c.BurstTeam != "" && !c.hasTeam(c.BurstTeam) {
		return errors.Newf("the burst team %q is unknown", c.BurstTeam)
	}
	for name, target := range c.PinnedTargets {
		if !c.hasTeam(name) || target < 0 || target >= len(c.Targets) {
			return errors.Newf("team %q cannot be pinned to target %d", name, target)
		}
	}
	return nil
}

func (c *Config) hasTeam(name string) bool {
	for _, t := range c.Profile.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}

// connection returns how a team connects to a target.
func (c *Config) connection(target, service string, team Team) (*pgconn.Config, error) {
	user, password := team.Name, team.Key
	if team.Key == "" {
		user, password = c.User, c.Password
	}
	config, err := connectionTo(target, c.SSLMode)
	if err != nil {
		return nil, err
	}
	config.User, config.Password, config.Database = user, password, service
	config.RuntimeParams["application_name"] = "jayloom-load " + team.Name
	return config, nil
}

func connectionTo(target, sslMode string) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(target)
	if err != nil {
		return nil, errors.Wrapf(err, "target %q", target)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return nil, errors.Newf("target %q has no port number", target)
	}
	if sslMode == "" {
		sslMode = "disable"
	}
	return pgconn.ParseConfig("host=" + host + " port=" + port + " sslmode=" + sslMode)
}

// ReadTeams reads teams from a file of JSON with comments.
func ReadTeams(path string) ([]Team, error) {
	var teams []Team
	if err := readJSON(path, &teams); err != nil {
		return nil, err
	}
	if len(teams) == 0 {
		return nil, errors.Newf("%s names no team", path)
	}
	total := 0.0
	for _, t := range teams {
		total += t.Weight
	}
	if total <= 0 {
		return nil, errors.Newf("%s: the weights of the teams must add up to more than 0", path)
	}
	for i := range teams {
		teams[i].Weight /= total
	}
	return teams, nil
}

func readJSON(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	if data, err = hujson.Standardize(data); err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	return errors.Wrapf(json.Unmarshal(data, target), "read %s", path)
}
