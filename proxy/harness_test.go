package proxy

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/policy/share"
	"github.com/jayloom/jayloom/proxy/view"
	"github.com/jayloom/jayloom/standin"
	"github.com/jayloom/jayloom/standin/audit"
)

// Keys of the test teams.
const (
	keyDriver = "jlk_driver23_abcdefghijklmnopqrstuvwxyz234567"
	keySorter = "jlk_sorter23_zyxwvutsrqponmlkjihgfedcba765432"
)

// fakeTokens admits every request except those of withheld teams.
type fakeTokens struct {
	mu        sync.Mutex
	withheld  map[string]bool
	exhausted bool
}

func (f *fakeTokens) Take(_ time.Duration, team string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.withheld[team]
}

func (f *fakeTokens) withhold(team string, withheld bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withheld = map[string]bool{team: withheld}
}

func (f *fakeTokens) Exhausted(time.Duration, string) bool                           { return f.exhausted }
func (f *fakeTokens) Urgent(time.Duration) bool                                      { return false }
func (f *fakeTokens) AddWaiting(string, int)                                         {}
func (f *fakeTokens) Report(time.Duration) []*controlpb.TokenDemand                  { return nil }
func (f *fakeTokens) ApplyGrant(time.Duration, time.Duration, *controlpb.TokenGrant) {}
func (f *fakeTokens) StartStream(time.Duration)                                      {}

// fakeShares allows the same number of connections to each upstream.
type fakeShares int

func (f fakeShares) Allowed(time.Duration, string) int                                 { return int(f) }
func (f fakeShares) Urgent(time.Duration, []share.PoolDemand) bool                     { return false }
func (f fakeShares) Report(time.Duration, []share.PoolDemand) []*controlpb.ShareDemand { return nil }
func (f fakeShares) ApplyGrant(time.Duration, time.Duration, *controlpb.ShareGrant)    {}
func (f fakeShares) StartStream(time.Duration)                                         {}

// system is a database group of stand-in servers with proxies in front of it, and a
// fake of control.
type system struct {
	t        *testing.T
	primary  *standin.Server
	replicas []*standin.Server
	capture  *syncBuffer
	proxies  []*testProxy

	mu    sync.Mutex
	state *controlpb.FleetState
	// lease and servingLease are how long each published snapshot grants the primary
	// lease and the serving lease.
	lease, servingLease time.Duration
	// replicaAge is the age of the replicas' data that control reports.
	replicaAge time.Duration
}

type testProxy struct {
	*Server
	name    string
	store   *view.Store
	tokens  *fakeTokens
	address string
}

// syncBuffer records what upstreams receive.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.b.Bytes(), []byte(text))
}

type systemOption func(*standin.Config)

// newSystem starts a primary with the tables that tests use, and its replicas.
func newSystem(t *testing.T, replicas int, options ...systemOption) *system {
	t.Helper()
	s := &system{t: t, capture: &syncBuffer{}, lease: time.Hour, servingLease: time.Hour}
	s.primary = s.upstream("", options...)
	s.execUpstream(s.primary, "CREATE TABLE intake (id int PRIMARY KEY, note text)")
	for range replicas {
		s.replicas = append(s.replicas, s.upstream(s.primary.Addr(), options...))
	}
	for _, r := range s.replicas {
		s.catchUp(r)
	}
	s.state = s.fleetState()
	return s
}

func (s *system) upstream(follow string, options ...systemOption) *standin.Server {
	config := standin.Config{User: "jayloom", Password: "pw", Follow: follow, Capture: s.capture}
	for _, option := range options {
		option(&config)
	}
	server, err := standin.Start(context.Background(), config)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	return server
}

func (s *system) execUpstream(server *standin.Server, sql string) {
	s.t.Helper()
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://jayloom:pw@%s/wax?sslmode=prefer", server.Addr()))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, sql); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) catchUp(r *standin.Server) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := r.WaitFor(ctx, s.primary.Position()); err != nil {
		s.t.Fatal(err)
	}
}

// keyVerifier returns what control stores about a key.
func keyVerifier(id, key string, salt []byte) *controlpb.Key {
	salted, _ := pbkdf2.Key(sha256.New, key, salt, 4096, sha256.Size)
	derive := func(label string) []byte {
		mac := hmac.New(sha256.New, salted)
		mac.Write([]byte(label))
		return mac.Sum(nil)
	}
	stored := sha256.Sum256(derive("Client Key"))
	return &controlpb.Key{Id: id, StoredKey: stored[:], ServerKey: derive("Server Key")}
}

func testTeam(name, keyID, key string) *controlpb.Team {
	salt := []byte("salt of " + name)
	team := &controlpb.Team{Name: name, Rate: 1000, Burst: 1000, ScramSalt: salt, ScramIterations: 4096}
	if key != "" {
		team.Keys = map[string]*controlpb.Key{keyID: keyVerifier(keyID, key, salt)}
	}
	return team
}

func (s *system) fleetState() *controlpb.FleetState {
	state := &controlpb.FleetState{
		Revision: 1,
		TokenKey: []byte("0123456789abcdef0123456789abcdef"),
		Teams: map[string]*controlpb.Team{
			"driver": testTeam("driver", "driver23", keyDriver),
			"sorter": testTeam("sorter", "sorter23", keySorter),
			"public": testTeam("public", "", ""),
		},
		Services: map[string]*controlpb.Service{
			"wax":  {Name: "wax", SlotGroups: []string{"wax-1"}},
			"tray": {Name: "tray", SlotGroups: []string{"wax-1", "tray-2"}},
		},
		Routes: map[string]*controlpb.Route{
			"read":   {Name: "read", Service: "wax", Read: true, Idempotent: true},
			"old":    {Name: "old", Service: "wax", Read: true, Idempotent: true, MaxAgeMs: 60_000},
			"open":   {Name: "open", Service: "wax", Read: true, Open: true},
			"write":  {Name: "write", Service: "wax"},
			"upsert": {Name: "upsert", Service: "wax", Idempotent: true},
			"safe": {Name: "safe", Service: "wax", DeadlineMs: 500,
				Acknowledgement: controlpb.Acknowledgement_ACKNOWLEDGEMENT_REPLICA},
			"tray": {Name: "tray", Service: "tray"},
		},
		Groups: map[string]*controlpb.Group{
			"wax-1": {Name: "wax-1", Service: "wax", Term: 1, Primary: s.primary.Addr(),
				History: []*controlpb.TermStart{{Term: 1, Timeline: s.primary.Timeline()}}},
		},
		Upstreams: map[string]*controlpb.Upstream{},
		Proxies:   map[string]*controlpb.ProxyMember{},
	}
	for _, server := range append([]*standin.Server{s.primary}, s.replicas...) {
		state.Upstreams[server.Addr()] = &controlpb.Upstream{Address: server.Addr(), Group: "wax-1", ConnectionLimit: 25}
	}
	return state
}

// proxy starts a proxy with the default options, as modified by change.
func (s *system) proxy(change ...func(*Options)) *testProxy {
	s.t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p := &testProxy{name: fmt.Sprintf("p%d", len(s.proxies)+1), store: view.NewStore(), tokens: &fakeTokens{exhausted: true}}
	options := Options{
		Settings: settings.Default().Proxy,
		Store:    p.store,
		Tokens:   p.tokens,
		Shares:   fakeShares(4),
		Log:      logrus.NewEntry(logger),
	}
	options.Settings.Upstream = s.account()
	options.Settings.TokenWaitMs = 50
	for _, c := range change {
		c(&options)
	}
	p.Server = New(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	p.address = listener.Addr().String()
	go func() { _ = p.Serve(listener) }()
	s.t.Cleanup(p.Server.Close)
	s.proxies = append(s.proxies, p)
	s.state.Proxies[p.name] = &controlpb.ProxyMember{Name: p.name, Number: uint32(len(s.proxies)), PeeringAddress: p.name}
	s.publish()
	return p
}

func (s *system) account() settings.UpstreamAccount {
	return settings.UpstreamAccount{User: "jayloom", Password: "pw"}
}

// change modifies the state of control and publishes it.
func (s *system) change(f func(state *controlpb.FleetState)) {
	s.mu.Lock()
	f(s.state)
	s.state.Revision++
	s.mu.Unlock()
	s.publish()
}

// publish gives every proxy a snapshot with renewed leases and current health.
func (s *system) publish() {
	for _, p := range s.proxies {
		s.publishTo(p)
	}
}

func (s *system) publishTo(p *testProxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	next := &view.Snapshot{
		Config:       view.Compile(proto.Clone(s.state).(*controlpb.FleetState), p.name),
		ServingUntil: now + s.servingLease,
		Leases:       map[string]view.Lease{},
		Health:       map[string]view.Health{},
	}
	for name, group := range s.state.Groups {
		next.Leases[name] = view.Lease{Term: group.Term, Until: now + s.lease}
	}
	for _, server := range append([]*standin.Server{s.primary}, s.replicas...) {
		next.Health[server.Addr()] = view.Health{At: now, UpstreamHealth: &controlpb.UpstreamHealth{
			Address: server.Addr(), Reachable: true, InRecovery: server.InRecovery(),
			Lsn: uint64(server.Position()), Timeline: server.Timeline(), AgeMs: uint32(s.replicaAge.Milliseconds()),
		}}
	}
	p.store.Publish(next)
}

// connect logs in at a proxy; parameters are added to the connection string.
func (p *testProxy) connect(t *testing.T, team, key string, parameters ...string) *pgx.Conn {
	t.Helper()
	conn, err := p.tryConnect(team, key, parameters...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (p *testProxy) tryConnect(team, key string, parameters ...string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	host, port, _ := net.SplitHostPort(p.address)
	text := fmt.Sprintf("host=%s port=%s user=%s password='%s' dbname=wax sslmode=disable %s",
		host, port, team, key, strings.Join(parameters, " "))
	return pgx.Connect(ctx, text)
}

func (p *testProxy) driver(t *testing.T, parameters ...string) *pgx.Conn {
	t.Helper()
	return p.connect(t, "driver", keyDriver, parameters...)
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(context.Background(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func queryText(t *testing.T, conn *pgx.Conn, sql string, args ...any) string {
	t.Helper()
	var text string
	if err := conn.QueryRow(context.Background(), sql, args...).Scan(&text); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return text
}

// codeOf returns the result code in an error that a caller got, 0 for none.
func codeOf(err error) rescode.Code {
	var pgErr *pgconn.PgError
	if err == nil || !asPgError(err, &pgErr) {
		return 0
	}
	var code uint32
	_, _ = fmt.Sscanf(pgErr.Detail, "jayloom code %d", &code)
	return rescode.Code(code)
}

// wantCode checks the result code of an error, and its SQLSTATE and execution status
// against the table of codes.
func wantCode(t *testing.T, err error, code rescode.Code) {
	t.Helper()
	if got := codeOf(err); got != code {
		t.Fatalf("got code %v (%v), want %v", got, err, code)
	}
	var pgErr *pgconn.PgError
	_ = asPgError(err, &pgErr)
	info, _ := rescode.Lookup(code)
	if pgErr.Code != info.SQLState || !strings.Contains(pgErr.Detail, "("+info.Execution.String()+")") {
		t.Fatalf("got %s, %q, want %s, %s", pgErr.Code, pgErr.Detail, info.SQLState, info.Execution)
	}
}

// statements returns the audited statements that contain text.
func statements(server *standin.Server, text string) []audit.Entry {
	var found []audit.Entry
	for _, e := range server.Audit() {
		if strings.Contains(e.Statement, text) {
			found = append(found, e)
		}
	}
	return found
}

// eventually waits for a condition that another goroutine makes true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatal("timed out waiting: " + what)
		case <-tick.C:
		}
	}
}

// protocols are the two ways to send a statement. pgx itself sends statements
// without arguments as simple queries only.
var protocols = map[string]func(conn *pgx.Conn, sql string) (pgconn.CommandTag, error){
	"simple": func(conn *pgx.Conn, sql string) (pgconn.CommandTag, error) {
		return conn.Exec(context.Background(), sql, pgx.QueryExecModeSimpleProtocol)
	},
	"extended": func(conn *pgx.Conn, sql string) (pgconn.CommandTag, error) {
		result := conn.PgConn().ExecParams(context.Background(), sql, nil, nil, nil, nil).Read()
		return result.CommandTag, result.Err
	},
}
