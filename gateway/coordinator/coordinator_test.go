package coordinator

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/compress"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/gateway/topology"
)

func putCommand(version uint64, team string) *controlpb.Command {
	return &controlpb.Command{Change: &controlpb.Command_PutCatalog{PutCatalog: &controlpb.Catalog{
		Version: version, Teams: []*controlpb.CatalogTeam{{Name: team}},
	}}}
}

// Guards against a return to an older configuration, and against two configurations with the
// same version.
func TestFirstConfigurationOfHighestVersionIsKept(t *testing.T) {
	s := newStore()
	for i, c := range []*controlpb.Command{putCommand(5, "a"), putCommand(5, "b"), putCommand(4, "c")} {
		if got := s.Apply(uint64(i), c); got.Code != 0 || got.Revision != 5 {
			t.Errorf("command %d: %v", i, got)
		}
	}
	if got := s.current().Catalog.Teams[0].Name; got != "a" {
		t.Errorf("team of the configuration in force is %s, want a", got)
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newStore()
	if err := restored.Restore(data); err != nil || restored.current().Catalog.Version != 5 {
		t.Errorf("restored %v, %v", restored.current(), err)
	}
}

// Guards against a replica that sends no heartbeats, and loses its leadership, because the
// leader's goroutine is busy with reports.
func TestBusyLeaderDoesNotBlockItsReplica(t *testing.T) {
	l := NewLeader(Config{Log: discardLog()})
	for range eventQueueSize {
		l.events <- membershipChangeDone{}
	}
	applied := make(chan struct{})
	go func() {
		l.Store().LeadershipChanged(true, 7)
		l.Store().Apply(1, putCommand(5, "a"))
		l.Store().Apply(2, putCommand(6, "a"))
		l.Store().LeadershipChanged(false, 7)
		close(applied)
	}()
	select {
	case <-applied:
	case <-time.After(time.Minute):
		t.Fatal("the replica waits for the leader's goroutine")
	}
	want := []storeEvent{{leadershipChanged: true, leading: true, term: 7}, {}, {leadershipChanged: true, term: 7}}
	if diff := cmp.Diff(want, l.Store().takeEvents(), cmp.AllowUnexported(storeEvent{})); diff != "" {
		t.Error(diff)
	}
}

// Guards against a malformed report that ends the process of each leader in turn.
func TestPanicEndsOnlyItsStream(t *testing.T) {
	l, _ := newTestLeader(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	ended := make(chan struct{})
	malformed := &nodeStream{updates: make(chan *controlpb.NodeUpdate, updateQueueSize), cancel: func() { close(ended) }}
	l.events <- reportReceived{malformed, nil}
	<-ended
	done := make(chan struct{})
	l.events <- announcementReceived{&controlpb.UpstreamAnnouncement{Id: "u", Service: "wax", Address: "10.0.0.1:1"}, done}
	<-done
}

// panickingUpstreams answers with messages that cannot be read.
type panickingUpstreams struct{ fakeUpstreams }

func (panickingUpstreams) Probe(context.Context, topology.Upstream) (failover.Sample, error) {
	panic("malformed status")
}

func (panickingUpstreams) QueryPosition(context.Context, topology.Upstream) (position.Position, bool, error) {
	panic("malformed position")
}

// Guards against an answer of an upstream that ends the leader's process.
func TestPanicInProbeIsAFailedProbe(t *testing.T) {
	l, _ := newTestLeader(t)
	l.config.Upstreams = panickingUpstreams{}
	if sample, result := l.probe(context.Background(), topology.Upstream{ID: "u"}); result != probeFailed {
		t.Errorf("the probe returned %+v", sample)
	}
	status := failover.Sample{Primary: true, Term: 3}
	l.queryPosition(context.Background(), topology.Upstream{ID: "u"}, 1, &status)
	if !status.Primary || status.Term != 3 || status.PositionAsPrimary {
		t.Errorf("after the query: %+v", status)
	}
}

// fakeUpstreams is an UpstreamClient for upstreams that are all unreachable.
type fakeUpstreams struct{}

func (fakeUpstreams) Probe(context.Context, topology.Upstream) (failover.Sample, error) {
	return failover.Sample{}, errors.New("unreachable")
}

func (fakeUpstreams) QueryPosition(context.Context, topology.Upstream) (position.Position, bool, error) {
	return position.Position{}, false, errors.New("unreachable")
}

func (fakeUpstreams) Pause(context.Context, topology.Upstream, uint64) error { return nil }

func (fakeUpstreams) Resume(context.Context, topology.Upstream) error { return nil }

func (fakeUpstreams) Demote(context.Context, topology.Upstream, uint64) error { return nil }

func (fakeUpstreams) CloseIdleConnections() {}

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func newTestLeader(t testing.TB) (*Leader, *replica.Fake) {
	l := NewLeader(Config{Upstreams: fakeUpstreams{}, Voters: 3, Log: discardLog().WithField("test", t.Name())})
	fake := replica.NewFake(l.Store())
	l.SetReplica(fake)
	fake.SetLeading(true)
	fake.SetLease(true)
	drainEvents(l)
	return l, fake
}

// drainEvents handles all queued events.
func drainEvents(l *Leader) {
	l.handleStoreEvents()
	for {
		select {
		case e := <-l.events:
			l.handle(context.Background(), e)
		default:
			return
		}
	}
}

// publish makes the changes since the last tick known to nodes.
func publish(l *Leader) {
	l.publishTopology(clock.Now())
}

// startStream starts the control stream of a node with its first report.
func startStream(l *Leader, node string, report *controlpb.NodeReport) *nodeStream {
	a := &nodeStream{updates: make(chan *controlpb.NodeUpdate, updateQueueSize), cancel: func() {}}
	report.Node = node
	l.handle(context.Background(), reportReceived{a, report})
	return a
}

// latestUpdate returns the last queued update, completed by the configuration and topology of the
// updates before it: each is sent only once, and the registration of a node, which runs
// concurrently with the test, may queue another update after it.
func latestUpdate(t *testing.T, a *nodeStream) *controlpb.NodeUpdate {
	t.Helper()
	var latest *controlpb.NodeUpdate
	for {
		select {
		case u := <-a.updates:
			decompress(t, u)
			if latest != nil && u.Catalog == nil {
				u.Catalog = latest.Catalog
			}
			if latest != nil && u.Topology == nil {
				u.Topology = latest.Topology
			}
			if u.TopologyChange != nil && u.Topology != nil {
				u.Topology = applyChange(t, u.Topology, u.TopologyChange)
			}
			latest = u
		default:
			return latest
		}
	}
}

// applyChange returns a topology after a change that was sent to a node which has it.
func applyChange(t *testing.T, base *controlpb.Topology, c *controlpb.TopologyChange) *controlpb.Topology {
	t.Helper()
	changed, err := topology.Apply(base, c)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

func waxCatalog(version uint64) *controlpb.Catalog {
	return &controlpb.Catalog{
		Version: version, Document: []byte("as sent"),
		Services: []*controlpb.CatalogService{{Name: "wax", MaxConnections: 23}},
		Routes:   []*controlpb.CatalogRoute{{Name: "r", Database: "lots", Service: "wax", StatementTimeoutMs: 100}},
		Teams:    []*controlpb.CatalogTeam{{Name: "melt", Keys: []string{"k"}, Rate: 10, Burst: 10}},
	}
}

// Guards against a leader without a lease that returns a configuration which may be out of date.
func TestCatalogReadRequiresLease(t *testing.T) {
	l, fake := newTestLeader(t)
	server := NewServer(emptyDirectory{}, l)
	if _, err := l.putCatalog(context.Background(), waxCatalog(3)); err != nil {
		t.Fatal(err)
	}
	if c, err := server.GetCatalog(context.Background(), nil); err != nil || c.Version != 3 {
		t.Errorf("read %v, %v", c, err)
	}
	fake.SetLease(false)
	if c, err := server.GetCatalog(context.Background(), nil); err == nil {
		t.Errorf("without the lease: %v", c)
	}
}

type emptyDirectory struct{}

func (emptyDirectory) Leader() (string, *controlpb.VoterSet) { return "", nil }

func (emptyDirectory) LearnVoters(*controlpb.VoterSet) bool { return false }

// Guards against a stored configuration that nodes receive with the operator's document, and against
// a call to a node without a data folder that ends the process.
func TestPreloadReturnsStoredConfiguration(t *testing.T) {
	l, _ := newTestLeader(t)
	server := NewServer(emptyDirectory{}, l)
	if reply, err := server.Preload(context.Background(), nil); err != nil || reply.Catalog != nil {
		t.Errorf("before the first configuration: %v, %v", reply, err)
	}
	if _, err := l.putCatalog(context.Background(), waxCatalog(3)); err != nil {
		t.Fatal(err)
	}
	reply, err := server.Preload(context.Background(), nil)
	if err != nil || reply.Catalog.GetVersion() != 3 || len(reply.Catalog.Document) > 0 {
		t.Errorf("stored configuration: %v, %v", reply, err)
	}
	if reply, err := NewServer(emptyDirectory{}, nil).Preload(context.Background(), nil); err != nil || reply.Catalog != nil {
		t.Errorf("without a data folder: %v, %v", reply, err)
	}
}

// decompress sets the fields of an update whose content was sent compressed.
func decompress(t *testing.T, u *controlpb.NodeUpdate) {
	t.Helper()
	read := func(data []byte, m proto.Message) bool {
		if len(data) == 0 {
			return false
		}
		if err := compress.ReadMessage(data, m); err != nil {
			t.Fatal(err)
		}
		return true
	}
	if c := new(controlpb.Catalog); read(u.CompressedCatalog, c) {
		u.Catalog = c
	}
	if c := new(controlpb.CatalogChange); read(u.CompressedCatalogChange, c) {
		u.CatalogChange = c
	}
	if c := new(controlpb.Topology); read(u.CompressedTopology, c) {
		u.Topology = c
	}
	if c := new(controlpb.TopologyChange); read(u.CompressedTopologyChange, c) {
		u.TopologyChange = c
	}
}

// recordingUpstreams records the replicas that were ordered to pause or to resume.
type recordingUpstreams struct {
	fakeUpstreams
	calls chan string
}

func (r recordingUpstreams) Pause(_ context.Context, u topology.Upstream, _ uint64) error {
	r.calls <- "pause " + u.ID
	return nil
}

func (r recordingUpstreams) Resume(_ context.Context, u topology.Upstream) error {
	r.calls <- "resume " + u.ID
	return nil
}

func (r recordingUpstreams) Demote(_ context.Context, u topology.Upstream, _ uint64) error {
	r.calls <- "demote " + u.ID
	return nil
}

// Guards against a replica that stays paused because the leader does not carry out the decision to resume
// it, or sends it to another server.
func TestReplicationIsSetOnTheNamedReplica(t *testing.T) {
	l, _ := newTestLeader(t)
	upstreams := recordingUpstreams{calls: make(chan string, 2)}
	l.config.Upstreams = upstreams
	servers := []*topology.Upstream{{ID: "p", Service: "wax"}, {ID: "r", Service: "wax"}}
	g := l.groupOf(0, "wax")
	for _, c := range []struct {
		action failover.Action
		want   string
	}{{failover.Action{Pause: "r", Term: 2}, "pause r"}, {failover.Action{Resume: "r"}, "resume r"}, {failover.Action{Demote: "p", Term: 2}, "demote p"}} {
		l.execute(context.Background(), "wax", g, c.action, servers)
		if got := <-upstreams.calls; got != c.want {
			t.Errorf("%+v: %s, want %s", c.action, got, c.want)
		}
	}
}

// Guards against team limits that are not enforced until the next configuration: a node that was sent a
// new configuration before the leader had handled its store event hid the change from the leader.
func TestLimitsOfConfigurationThatWasSentFirst(t *testing.T) {
	l, r := newTestLeader(t)
	s := startStream(l, "n1", &controlpb.NodeReport{})
	if result, err := r.Propose(context.Background(), putCommand(7, "sorters")); err != nil || result.Code != 0 {
		t.Fatalf("%v, %v", result, err)
	}
	l.push(s)
	l.handleStoreEvents()
	if !l.teams["sorters"] {
		t.Errorf("the leader limits the teams %v", l.teams)
	}
}
