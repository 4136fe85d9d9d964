package controlclient

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/proxy/view"
)

// noTokens is a TokenReporter without tokens.
type noTokens struct{}

func (noTokens) Report(time.Duration) []*controlpb.TokenDemand                  { return nil }
func (noTokens) ApplyGrant(time.Duration, time.Duration, *controlpb.TokenGrant) {}
func (noTokens) StartStream(time.Duration)                                      {}

// noShares is a ShareReporter without shares.
type noShares struct{}

func (noShares) Report(time.Duration) []*controlpb.ShareDemand                  { return nil }
func (noShares) ApplyGrant(time.Duration, time.Duration, *controlpb.ShareGrant) {}
func (noShares) StartStream(time.Duration)                                      {}

// servedGroups is a GroupReporter whose groups a test sets.
type servedGroups struct {
	mu    sync.Mutex
	names []string
}

func (g *servedGroups) Groups(time.Duration) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.names
}

func (g *servedGroups) set(names ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.names = names
}

// fakeControl is a control VM that answers reports with the update that answer returns. If
// leader is set, it refuses streams and names that address as the leader.
type fakeControl struct {
	controlpb.UnimplementedControlServer
	address string
	mu      sync.Mutex
	leader  string
	reports []*controlpb.Report
	answer  func(r *controlpb.Report) *controlpb.Update
}

func startFakeControl(t *testing.T, answer func(r *controlpb.Report) *controlpb.Update) *fakeControl {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeControl{address: listener.Addr().String(), answer: answer}
	server := grpc.NewServer()
	controlpb.RegisterControlServer(server, f)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return f
}

func (f *fakeControl) Attend(stream grpc.BidiStreamingServer[controlpb.Report, controlpb.Update]) error {
	f.mu.Lock()
	leader := f.leader
	f.mu.Unlock()
	if leader != "" {
		refusal, err := status.New(codes.Unavailable, "not the leader").WithDetails(&controlpb.NotLeader{LeaderAddress: leader})
		if err != nil {
			return err
		}
		return refusal.Err()
	}
	for {
		report, err := stream.Recv()
		if err != nil {
			return nil
		}
		f.mu.Lock()
		f.reports = append(f.reports, report)
		answer := f.answer
		f.mu.Unlock()
		if update := answer(report); update != nil {
			if err := stream.Send(update); err != nil {
				return err
			}
		}
	}
}

func (f *fakeControl) hasReceived(matches func(*controlpb.Report) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, report := range f.reports {
		if matches(report) {
			return true
		}
	}
	return false
}

func startClient(t *testing.T, voters ...string) (*Client, *view.Store) {
	t.Helper()
	return startClientServing(t, &servedGroups{}, voters...)
}

func startClientServing(t *testing.T, served *servedGroups, voters ...string) (*Client, *view.Store) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	store := view.NewStore()
	client := New(store, Options{
		Voters:      voters,
		Member:      &controlpb.ProxyMember{Name: "p1"},
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
		Tokens:      noTokens{},
		Shares:      noShares{},
		Groups:      served,

		AllGroupsUpTo: 8,
		Log:           logrus.NewEntry(logger),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); client.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return client, store
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatal("condition not met in time: " + description)
		case <-tick.C:
		}
	}
}

func group(phase controlpb.GroupPhase, term uint64) map[string]*controlpb.Group {
	return map[string]*controlpb.Group{"g": {Name: "g", Service: "s", Term: term, Phase: phase, Primary: "a:1"}}
}

const (
	healthy = controlpb.GroupPhase_GROUP_PHASE_HEALTHY
	fenced  = controlpb.GroupPhase_GROUP_PHASE_FENCED
)

func fullUpdate(r *controlpb.Report, revision uint64, groups map[string]*controlpb.Group) *controlpb.Update {
	return &controlpb.Update{
		Sequence: r.Sequence, LeaderTerm: 1, AttendanceLeaseMs: 5000, PrimaryLeaseMs: 2500,
		Full:          &controlpb.FleetState{Revision: revision, Groups: groups},
		PrimaryLeases: []*controlpb.GroupTerm{{Group: "g", Term: 1}},
	}
}

// Guards against a proxy that doesn't connect to the leader when it only reaches a control
// VM that isn't the leader.
func TestClientFollowsLeaderHint(t *testing.T) {
	leader := startFakeControl(t, func(r *controlpb.Report) *controlpb.Update { return fullUpdate(r, 1, group(healthy, 1)) })
	follower := startFakeControl(t, nil)
	follower.leader = leader.address
	_, store := startClient(t, "127.0.0.1:1", follower.address)
	eventually(t, "the proxy holds the serving lease", func() bool {
		s := store.Current()
		return s.MayServe(clock.Now()) && s.LeaseValid("g", 1, clock.Now())
	})
}

// Guards against a proxy that waits for a leader that doesn't answer while another one leads.
func TestClientLeavesUnresponsiveLeader(t *testing.T) {
	silent := startFakeControl(t, func(*controlpb.Report) *controlpb.Update { return nil })
	leader := startFakeControl(t, func(r *controlpb.Report) *controlpb.Update { return fullUpdate(r, 1, nil) })
	_, store := startClient(t, silent.address, leader.address)
	eventually(t, "the proxy holds the serving lease", func() bool { return store.Current().MayServe(clock.Now()) })
}

// Guards against acknowledging a fence before it is in force, and against keeping the lease
// of a fenced term.
func TestFenceEndsLeaseBeforeAcknowledgement(t *testing.T) {
	var mu sync.Mutex
	revision, phase := uint64(1), healthy
	control := startFakeControl(t, func(r *controlpb.Report) *controlpb.Update {
		mu.Lock()
		defer mu.Unlock()
		return fullUpdate(r, revision, group(phase, 1))
	})
	client, store := startClient(t, control.address)
	eventually(t, "the lease is held", func() bool { return store.Current().LeaseValid("g", 1, clock.Now()) })
	mu.Lock()
	revision, phase = 2, fenced
	mu.Unlock()
	leased := make(chan bool, 1)
	control.mu.Lock()
	inner := control.answer
	control.answer = func(r *controlpb.Report) *controlpb.Update {
		if len(r.FencesAcknowledged) == 1 {
			select {
			case leased <- store.Current().LeaseValid("g", 1, clock.Now()):
			default:
			}
		}
		return inner(r)
	}
	control.mu.Unlock()
	client.ReportNow()
	if <-leased {
		t.Error("a fence was acknowledged while its lease was valid")
	}
}

// Guards against a lease that counts from the arrival of the update, or from a report that
// the update does not answer.
func TestLeaseStartsWhenAnsweredReportWasSent(t *testing.T) {
	store := view.NewStore()
	a := newApplier("p1", store)
	a.sends.reset()
	first := a.sends.recordSend(10 * time.Second)
	second := a.sends.recordSend(20 * time.Second)
	apply := func(sequence uint64) time.Duration {
		update := fullUpdate(&controlpb.Report{Sequence: sequence}, 1, group(healthy, 1))
		a.apply(update)
		return store.Current().Leases["g"].Until
	}
	if got := apply(99); got != 0 {
		t.Errorf("the answer to a report that was never sent gave a lease until %v", got)
	}
	if got := apply(first); got != 12500*time.Millisecond {
		t.Errorf("the lease ends at %v", got)
	}
	if got := apply(second); got != 22500*time.Millisecond {
		t.Errorf("the lease ends at %v", got)
	}
	if got := apply(first); got != 22500*time.Millisecond {
		t.Errorf("an older answer moved the end of the lease to %v", got)
	}
}

// Guards against returning to an older configuration, and against skipping a change that
// doesn't follow the applied revision.
func TestRevisionNeverDecreases(t *testing.T) {
	store := view.NewStore()
	a := newApplier("p1", store)
	a.sends.reset()
	put := func(revision uint64, team string) *controlpb.Change {
		return &controlpb.Change{Revision: revision, Command: &controlpb.Command{
			Change: &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: team}}}}
	}
	steps := []struct {
		name             string
		update           *controlpb.Update
		revision         uint64
		reportedRevision uint64
		teams            int
	}{
		{"full", &controlpb.Update{LeaderTerm: 2, Full: &controlpb.FleetState{Revision: 5}}, 5, 5, 0},
		{"older full", &controlpb.Update{LeaderTerm: 2, Full: &controlpb.FleetState{Revision: 4,
			Teams: map[string]*controlpb.Team{"old": {Name: "old"}}}}, 5, 5, 0},
		{"old leader", &controlpb.Update{LeaderTerm: 1, Full: &controlpb.FleetState{Revision: 9}}, 5, 5, 0},
		{"changes, one known", &controlpb.Update{LeaderTerm: 2, Changes: []*controlpb.Change{put(5, "a"), put(6, "b"), put(7, "c")}}, 7, 7, 2},
		{"gap", &controlpb.Update{LeaderTerm: 2, Changes: []*controlpb.Change{put(9, "d")}}, 7, 0, 2},
		{"full again", &controlpb.Update{LeaderTerm: 2, Full: &controlpb.FleetState{Revision: 9}}, 9, 9, 0},
	}
	for _, step := range steps {
		a.apply(step.update)
		current := store.Current()
		if current.Revision != step.revision || a.reportedRevision() != step.reportedRevision || len(current.Teams) != step.teams {
			t.Errorf("%s: revision %d, reported revision %d, %d teams", step.name, current.Revision, a.reportedRevision(), len(current.Teams))
		}
	}
}

// Guards against later changes modifying a published snapshot.
func TestSnapshotsAreImmutable(t *testing.T) {
	store := view.NewStore()
	a := newApplier("p1", store)
	a.sends.reset()
	a.apply(&controlpb.Update{Full: &controlpb.FleetState{Revision: 1, Groups: group(healthy, 1),
		Upstreams: map[string]*controlpb.Upstream{"a:1": {Address: "a:1", Group: "g"}}}})
	before := store.Current()
	a.apply(&controlpb.Update{Changes: []*controlpb.Change{
		{Revision: 2, Command: &controlpb.Command{
			Change: &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{Group: "g", Term: 1}}}},
		{Revision: 3, Command: &controlpb.Command{
			Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{Service: "s",
				Upstream: &controlpb.Upstream{Address: "a:2", Group: "g"}}}}},
	}})
	after := store.Current()
	if !before.Groups["g"].Healthy || after.Groups["g"].Healthy {
		t.Error("the fence must be in the new snapshot only")
	}
	if before.Usable("a:2") || !after.Usable("a:2") {
		t.Error("the new upstream must be in the new snapshot only")
	}
}

// Guards against the leader waiting for the leases of a proxy that has left to expire.
func TestLeaveSendsLeavingReport(t *testing.T) {
	control := startFakeControl(t, func(r *controlpb.Report) *controlpb.Update { return fullUpdate(r, 1, nil) })
	client, store := startClient(t, control.address)
	eventually(t, "the proxy holds the serving lease", func() bool { return store.Current().MayServe(clock.Now()) })
	client.Leave(context.Background())
	if !control.hasReceived(func(r *controlpb.Report) bool { return r.Leaving }) {
		t.Error("no report with leaving set was received")
	}
}

// Guards against delay from retrying the address of a leader that has just failed while
// other voters know its successor.
func TestLostLeaderIsTriedLast(t *testing.T) {
	c := &Client{opts: Options{Voters: []string{"lost", "b", "c"}}, lostLeader: "lost"}
	var tried []string
	for range 4 {
		address, _ := c.nextCandidate()
		tried = append(tried, address)
	}
	if want := []string{"b", "c", "lost", "b"}; !slices.Equal(tried, want) {
		t.Errorf("tried %v, want %v", tried, want)
	}
}
