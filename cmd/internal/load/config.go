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

// Config configures a load run.
type Config struct {
	Profile Profile
	// Targets are the addresses of proxies, or of one upstream for a direct run.
	Targets []string
	// User and Password are the credentials of teams without a key.
	User, Password string
	SSLMode        string

	Duration time.Duration
	// Rate is the total number of requests per second of all teams.
	Rate            float64
	SessionsPerTeam int
	Seed            uint64
	// BurstTeam sends BurstFactor times its rate.
	BurstTeam   string
	BurstFactor float64
	// SessionTokens makes sessions present their session token when they reconnect.
	SessionTokens bool
	// RequestIdentities adds a request identity to single writes.
	RequestIdentities bool
	// ReconnectProbability is the probability that a session reconnects to a random
	// target before a request.
	ReconnectProbability float64
	// Deadline is the latency up to which an answer counts as on time;
	// RequestTimeout cancels a request.
	Deadline, RequestTimeout time.Duration
	// TransactionCost is the number of rate tokens that a transaction takes.
	TransactionCost float64
	// PinnedTargets restricts a team's load to the target of this index.
	PinnedTargets map[string]int
	Schedule      []Event

	// UpstreamGroups holds the addresses of each group's upstreams, in the order of
	// the groups' slots. They are read directly after the run to check the writes;
	// without any the check is skipped.
	UpstreamGroups                 [][]string
	UpstreamUser, UpstreamPassword string
	MetricsURLs                    []string
	ReadsMetric                    string
}

// Check returns an error if the configuration is invalid.
func (c *Config) Check() error {
	switch {
	case len(c.Targets) == 0:
		return errors.New("at least one target is needed")
	case c.Rate <= 0 || c.Duration <= 0 || c.SessionsPerTeam <= 0:
		return errors.New("rate, duration and sessions must be above 0")
	case c.RequestTimeout < c.Deadline:
		return errors.New("the request timeout must not be below the deadline")
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

// connectionConfig returns the connection parameters of a team for a target.
func (c *Config) connectionConfig(target, service string, team Team) (*pgconn.Config, error) {
	user, password := team.Name, team.Key
	if team.Key == "" {
		user, password = c.User, c.Password
	}
	config, err := targetConfig(target, c.SSLMode)
	if err != nil {
		return nil, err
	}
	config.User, config.Password, config.Database = user, password, service
	config.RuntimeParams["application_name"] = "jayloom-load " + team.Name
	return config, nil
}

func targetConfig(target, sslMode string) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(target)
	if err != nil {
		return nil, errors.Wrapf(err, "target %q", target)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return nil, errors.Newf("target %q has no valid port number", target)
	}
	if sslMode == "" {
		sslMode = "disable"
	}
	return pgconn.ParseConfig("host=" + host + " port=" + port + " sslmode=" + sslMode)
}

// ReadTeams reads teams from a file of JSON with comments and normalizes their
// weights to a sum of 1.
func ReadTeams(path string) ([]Team, error) {
	var teams []Team
	if err := readJSON(path, &teams); err != nil {
		return nil, err
	}
	if len(teams) == 0 {
		return nil, errors.Newf("%s lists no teams", path)
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
