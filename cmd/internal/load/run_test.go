package load

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/standin"
	"github.com/jayloom/jayloom/standin/wire"
)

const (
	testUser     = "jayloom"
	testPassword = "secret"
)

func startStandin(t *testing.T, follow string) *standin.Server {
	t.Helper()
	s, err := standin.Start(t.Context(), standin.Config{
		User: testUser, Password: testPassword, Auth: wire.Cleartext, ConnectionLimit: 200, Follow: follow,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if follow == "" {
		if err := s.Exec(t.Context(), singleGroupProfile().Schema()); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// singleGroupProfile returns a profile of one group and two teams.
func singleGroupProfile() Profile {
	p := Profiles()["litbrot"]
	p.Groups = 1
	p.Teams = []Team{{Name: "drivers", Weight: 0.7, Rate: 1e6, Burst: 1e6}, {Name: "lab", Weight: 0.3}}
	return p
}

func testConfig(targets ...string) Config {
	return Config{
		Profile: singleGroupProfile(), Targets: targets, User: testUser, Password: testPassword,
		Duration: 300 * time.Millisecond, Rate: 600, SessionsPerTeam: 4, Seed: 7, BurstFactor: 1,
		SessionTokens: true, ReconnectProbability: 0.02, Deadline: time.Minute, RequestTimeout: time.Minute, TransactionCost: 1,
		UpstreamUser: testUser, UpstreamPassword: testPassword, ReadsMetric: DefaultReadsMetric,
	}
}

// Guards against a run that reports faults or loses requests on a healthy server.
func TestRunFindsNoFaultOnHealthyServer(t *testing.T) {
	s := startStandin(t, "")
	c := testConfig(s.Addr())
	c.UpstreamGroups = [][]string{{s.Addr()}}
	report, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	if report.Total.Scheduled < 50 || report.Total.Answered != report.Total.Scheduled {
		t.Fatalf("counts are %+v, SQLSTATEs %v", report.Total, report.SQLStates)
	}
	checks := *report.Checks
	if checks.Faults() != 0 || checks.Lost != 0 || checks.UnreportedLosses != 0 || checks.Acknowledged == 0 {
		t.Fatalf("checks are %+v", checks)
	}
	if report.Staleness.Checked == 0 || report.Staleness.TooOld != 0 {
		t.Fatalf("ages are %+v", report.Staleness)
	}
	if report.WrongfulRefusals.Count != 0 || report.Overshoot != 0 || len(report.Failovers) != 0 || len(report.WrongAnswers) != 0 {
		t.Fatalf("report is %+v", report)
	}
	var text strings.Builder
	if err := report.WriteText(&text); err != nil || !strings.Contains(text.String(), "drivers") {
		t.Fatalf("%v: %s", err, text.String())
	}
}

// Guards against missing answers that belong to another request. Every label of the
// lookup table is changed, so that each lookup gets a wrong label.
func TestRunFindsWrongAnswers(t *testing.T) {
	s := startStandin(t, "")
	if err := s.Exec(t.Context(), "UPDATE colour SET label = 'swapped'"); err != nil {
		t.Fatal(err)
	}
	report, err := Run(t.Context(), testConfig(s.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	if report.WrongAnswers[BoundedStalenessRead.String()] == 0 || report.WrongAnswers[ReadYourWrites.String()] != 0 {
		t.Fatalf("wrong answers are %v", report.WrongAnswers)
	}
}

// Guards against a check that misses writes lost at a failover, events that do not
// run, and a write gap that is not reported.
func TestRunReportsLossAndWriteGapOfFailover(t *testing.T) {
	primary := startStandin(t, "")
	replica := startStandin(t, primary.Addr())
	if err := replica.WaitFor(t.Context(), primary.Position()); err != nil {
		t.Fatal(err)
	}
	replica.SetLag(time.Hour) // no write of the run reaches the replica
	c := testConfig(primary.Addr(), replica.Addr())
	clients := c.SessionsPerTeam*len(c.Profile.Teams) + c.Profile.Groups
	failover := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		primary.Crash()
		release := holdReconnects(t, r.Context(), primary.Addr(), clients)
		defer release()
		if err := replica.Promote(); err != nil {
			t.Error(err)
		}
	}))
	defer failover.Close()
	c.Duration = time.Second
	c.UpstreamGroups = [][]string{{primary.Addr(), replica.Addr()}}
	c.PinnedTargets = map[string]int{"drivers": 0, "lab": 0}
	c.Schedule = []Event{
		{AtMs: 100, Post: failover.URL},
		{AtMs: 100, Move: "drivers", Target: 1},
		{AtMs: 100, Move: "lab", Target: 1},
	}
	report, err := Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Events) != 3 || report.Events[0].Error != "" {
		t.Fatalf("events are %+v", report.Events)
	}
	if len(report.Failovers) != 1 || report.Failovers[0].ToTimeline != 2 || report.WorstFailoverMs <= 0 {
		t.Fatalf("failovers are %+v", report.Failovers)
	}
	if report.Failovers[0].OldPrimaryWrites != 0 || report.Checks.Lost == 0 || report.Checks.Duplicated != 0 {
		t.Fatalf("failovers are %+v, checks %+v", report.Failovers, report.Checks)
	}
}

// holdReconnects waits until n clients have reconnected to the address of a crashed
// server, and keeps them waiting until release is called. A client that reconnects
// has recorded every answer of its old connection, so a promotion after this call
// follows the last of these answers.
func holdReconnects(t *testing.T, ctx context.Context, address string, n int) (release func()) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Error(err)
		return func() {}
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	var held []net.Conn
	for len(held) < n {
		conn, err := listener.Accept()
		if err != nil {
			t.Errorf("%d of %d clients reconnected: %v", len(held), n, err)
			break
		}
		held = append(held, conn)
	}
	return func() {
		stop()
		_ = listener.Close()
		for _, conn := range held {
			_ = conn.Close()
		}
	}
}

// Guards against accepting a configuration that measures something other than
// intended.
func TestConfigCheck(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no target":        func(c *Config) { c.Targets = nil },
		"no rate":          func(c *Config) { c.Rate = 0 },
		"wrong groups":     func(c *Config) { c.UpstreamGroups = [][]string{{"a"}, {"b"}} },
		"unknown team":     func(c *Config) { c.BurstTeam = "nobody" },
		"unknown target":   func(c *Config) { c.PinnedTargets = map[string]int{"lab": 1} },
		"unordered events": func(c *Config) { c.Schedule = []Event{{AtMs: 5, Post: "x"}, {AtMs: 1, Post: "x"}} },
		"signal to init":   func(c *Config) { c.Schedule = []Event{{Signal: "KILL", PID: 1}} },
		"unknown signal":   func(c *Config) { c.Schedule = []Event{{Signal: "HUP", PID: 2}} },
		"empty event":      func(c *Config) { c.Schedule = []Event{{}} },
	} {
		c := testConfig("127.0.0.1:1")
		if err := c.Check(); err != nil {
			t.Fatal(err)
		}
		change(&c)
		if c.Check() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

// Guards against a cost report that lacks the proxy or the direct connection.
func TestMeasureCostAndIdle(t *testing.T) {
	s := startStandin(t, "")
	config, err := pgconn.ParseConfig("postgres://" + testUser + ":" + testPassword + "@" + s.Addr() + "/wax?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	cost, err := MeasureCost(t.Context(), CostConfig{
		Proxy: config, Direct: config, ProxyStatement: "SELECT 1 /*route='x'*/", DirectStatement: "SELECT 1",
		Rounds: 2, StatementsPerRound: 10, Clients: 2, ThroughputDuration: 5 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if cost.Statements != 40 || cost.DirectMedianUs <= 0 || cost.ProxyMedianUs <= 0 || cost.ThroughputRatio <= 0 {
		t.Fatalf("cost is %+v", cost)
	}
	idle, err := MeasureIdle(t.Context(), config, 5, 0, os.Getpid())
	if err != nil || idle.Connections != 5 || idle.ResidentAfter <= 0 {
		t.Fatalf("%+v, %v", idle, err)
	}
}
