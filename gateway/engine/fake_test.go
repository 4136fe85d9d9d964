package engine

import (
	"context"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/proxy/admission"
)

// fakeServer is a database server. Its answers follow its fields.
type fakeServer struct {
	mu       sync.Mutex
	leads    bool
	position position.Position
	// busy refuses that many statements; lose drops the answers of as many, after it ran
	// them.
	busy, lose int
	dark       bool
	dials      int
	// full makes it refuse connections.
	full bool
	ran  []run
}

// run is a statement that a server ran, with the session that it ran in.
type run struct {
	team, text    string
	inTransaction bool
	values        map[string]string
}

func (s *fakeServer) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.ran...)
}

func (s *fakeServer) set(change func(*fakeServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// fakeConn is a connection to a fakeServer.
type fakeConn struct {
	server   *fakeServer
	team     string
	queued   []Statement
	tx       bool
	readOnly bool
	values   map[string]string
	prepared map[string]string
	closed   bool
}

func (c *fakeConn) Send(_ time.Time, statements ...Statement) error {
	if c.closed || c.server.dark {
		return io.ErrClosedPipe
	}
	c.queued = append(c.queued, statements...)
	return nil
}

func (c *fakeConn) Receive(time.Time) (Reply, error) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.closed || c.server.dark {
		return Reply{}, io.EOF
	}
	st := c.queued[0]
	c.queued = c.queued[1:]
	lost := c.server.lose > 0 && st.ID != ""
	reply := c.server.answer(c, st)
	if lost {
		c.server.lose--
		return Reply{}, os.ErrDeadlineExceeded
	}
	if c.tx {
		reply.State = InTransaction
	}
	reply.Position = c.server.position
	return reply, nil
}

// answer runs a statement. The caller holds mu.
func (s *fakeServer) answer(c *fakeConn, st Statement) Reply {
	switch st.Kind {
	case Begin:
		if !s.leads {
			return Reply{Outcome: ReadOnly}
		}
		c.tx, c.readOnly = true, false
		return Reply{}
	case BeginRead:
		if s.position.Before(st.After) {
			return Reply{Outcome: Behind}
		}
		c.tx, c.readOnly = true, true
		return Reply{}
	case Rollback:
		c.tx = false
		return Reply{}
	case SetValue:
		c.values[st.Name] = st.Value
		return Reply{}
	case Reset:
		c.values, c.prepared = map[string]string{}, map[string]string{}
		return Reply{}
	case Prepare:
		c.prepared[st.Name] = st.Shape
		return Reply{}
	}
	return s.work(c, st)
}

func (s *fakeServer) work(c *fakeConn, st Statement) Reply {
	writes := st.Kind == Write || (st.Kind == Execute && st.Name[0] == 'w')
	switch {
	case st.Kind == Execute && c.prepared[st.Name] == "":
		return Reply{Outcome: NoStatement}
	case s.busy > 0:
		s.busy--
		return Reply{Outcome: Busy}
	case s.position.Before(st.After):
		return Reply{Outcome: Behind}
	case !s.leads && (writes || (c.tx && !c.readOnly && st.Kind != Commit)):
		return Reply{Outcome: ReadOnly}
	}
	values := map[string]string{}
	for k, v := range c.values {
		values[k] = v
	}
	s.ran = append(s.ran, run{team: c.team, text: st.Text, inTransaction: c.tx, values: values})
	if st.Kind == Commit {
		c.tx = false
	}
	if writes || st.Kind == Commit {
		s.position.Number++
	}
	return Reply{Digest: "digest-" + st.ID}
}

func (c *fakeConn) Quiet() bool { return !c.closed && !c.server.dark && len(c.queued) == 0 }
func (c *fakeConn) Close()      { c.closed = true }

// fakeDialer connects to servers by identity.
type fakeDialer map[string]*fakeServer

func (d fakeDialer) Dial(_ context.Context, t Target, team string) (Conn, position.Position, error) {
	s := d[t.ID]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials++
	if s.dark {
		return nil, position.Position{}, io.ErrClosedPipe
	}
	if s.full {
		return nil, position.Position{}, &DialRefused{Outcome: TooMany}
	}
	return &fakeConn{server: s, team: team, values: map[string]string{}, prepared: map[string]string{}}, s.position, nil
}

// fakeFleet is what the leader would have said.
type fakeFleet struct {
	view     controlclient.View
	detached bool
}

func (f *fakeFleet) View() *controlclient.View   { return &f.view }
func (f *fakeFleet) MayServe(time.Duration) bool { return !f.detached }

// fakeTokens counts tokens.
type fakeTokens struct{ left int }

func (f *fakeTokens) Take(time.Duration, string) bool {
	if f.left <= 0 {
		return false
	}
	f.left--
	return true
}
func (f *fakeTokens) Exhausted(time.Duration, string) bool                           { return true }
func (f *fakeTokens) Urgent(time.Duration) bool                                      { return false }
func (f *fakeTokens) AddWaiting(string, int)                                         {}
func (f *fakeTokens) Report(time.Duration) []*controlpb.TokenDemand                  { return nil }
func (f *fakeTokens) ApplyGrant(time.Duration, time.Duration, *controlpb.TokenGrant) {}
func (f *fakeTokens) StartStream(time.Duration)                                      {}
func (f *fakeTokens) RecordAnswer(time.Duration)                                     {}
func (f *fakeTokens) Refund(time.Duration, string)                                   { f.left++ }

// system is a node in front of a primary p and the replicas r1 and r2.
type system struct {
	t       *testing.T
	servers fakeDialer
	fleet   *fakeFleet
	tokens  *fakeTokens
	engine  *Engine
}

const manyTokens = 1000

func discard() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func newSystem(t *testing.T) *system {
	start := position.Position{Term: 1, Number: 100}
	s := &system{
		t: t, fleet: &fakeFleet{}, tokens: &fakeTokens{left: manyTokens},
		servers: fakeDialer{"p": {leads: true, position: start}, "r1": {position: start}, "r2": {position: start}},
	}
	s.engine = New(Options{
		Fleet: s.fleet, Dialer: s.servers, Tokens: admission.New(s.tokens, func() {}), Place: "here",
		Log: discard(),
	})
	s.configure(1, "key", "melt")
	return s
}

// configure puts a configuration with one team in force.
func (s *system) configure(version uint64, key, team string) {
	s.t.Helper()
	c, err := catalog.New(&controlpb.Catalog{
		Version:  version,
		Services: []*controlpb.CatalogService{{Name: "wax", MaxConnections: 23}},
		Routes: []*controlpb.CatalogRoute{
			{Name: "a", Database: "intake", Service: "wax", StatementTimeoutMs: 400, LatencyObjectiveMs: 200},
			{Name: "b", Database: "lots", Service: "wax", StatementTimeoutMs: 400, LatencyObjectiveMs: 200, MaxStalenessMs: 2500,
				Consistency: controlpb.Consistency_CONSISTENCY_READ_YOUR_WRITES},
		},
		Teams: []*controlpb.CatalogTeam{{Name: team, Keys: []string{key}}, {Name: "other", Keys: []string{"other-key"}}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.fleet.view = controlclient.View{Catalog: c, Nodes: 3, Topology: &controlpb.Topology{
		Upstreams: []*controlpb.TopologyUpstream{
			{Id: "p", Service: "wax", Place: "here"}, {Id: "r1", Service: "wax", Place: "here"}, {Id: "r2", Service: "wax", Place: "there"},
		},
		Primaries: []*controlpb.TopologyPrimary{{Service: "wax", Upstream: "p", Term: 1}},
	}}
	s.engine.Update(&s.fleet.view)
}

func (s *system) open(database, key string) *Session {
	s.t.Helper()
	session, refusal := s.engine.Open(database, key)
	if refusal != nil {
		s.t.Fatalf("session refused: %+v", refusal)
	}
	return session
}

func (s *system) do(session *Session, st Statement) Answer {
	s.t.Helper()
	return session.Handle(context.Background(), st)
}

// must fails the test unless the statement succeeds.
func (s *system) must(session *Session, st Statement) Answer {
	s.t.Helper()
	a := s.do(session, st)
	if a.Refusal != nil {
		s.t.Fatalf("%s %q refused: %+v", st.Kind, st.Text, a.Refusal)
	}
	return a
}

func read(id string) Statement  { return Statement{ID: id, Kind: Read, Text: "READ " + id} }
func write(id string) Statement { return Statement{ID: id, Kind: Write, Text: "WRITE " + id} }
