package control

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/control/probe"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/policy/failover"
)

// fleetSize is the size of a benchmark's fleet. Each group has 3 upstreams.
type fleetSize struct{ teams, groups, proxies int }

func (n fleetSize) String() string {
	return fmt.Sprintf("teams=%d/groups=%d/proxies=%d", n.teams, n.groups, n.proxies)
}

// benchLeader is a Leader that runs in the goroutine of the benchmark.
type benchLeader struct {
	*Leader
	replicator *replica.Fake
	streams    []*proxyStream
	addresses  []string
	teams      []string
	stop       context.CancelFunc
}

func newBenchLeader(tb testing.TB, n fleetSize) *benchLeader {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := settings.Default().Control
	// Probe results come from the benchmark.
	s.ProbeIntervalMs = 1 << 30
	l := &benchLeader{Leader: NewLeader(LeaderConfig{Settings: s, Dialer: probe.NewFake(), Log: logrus.NewEntry(logger)})}
	l.store = NewStore(func(StoreEvent) {})
	l.replicator = replica.NewFake(l.store)
	l.Leader.replicator = l.replicator
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	tb.Cleanup(func() {
		cancel()
		// Goroutines that post to the leader end once stopped is closed.
		close(l.stopped)
		l.stopLeading()
	})
	l.createFleet(tb, n)
	l.startLeading(ctx, 1)
	l.propagate(ctx)
	l.stepProbeResults(ctx)
	return l
}

func (l *benchLeader) apply(tb testing.TB, c *controlpb.Command) {
	result := l.store.Apply(0, c)
	if result.Code != 0 {
		tb.Fatalf("command was refused: %v", result)
	}
}

func (l *benchLeader) createFleet(tb testing.TB, n fleetSize) {
	l.apply(tb, &controlpb.Command{Change: &controlpb.Command_InitializeCluster{
		InitializeCluster: &controlpb.InitializeCluster{TokenKey: make([]byte, tokenKeyBytes)}}})
	for i := range n.teams {
		name := fmt.Sprintf("team-%05d", i)
		l.teams = append(l.teams, name)
		l.apply(tb, &controlpb.Command{Change: &controlpb.Command_PutTeam{
			PutTeam: &controlpb.Team{Name: name, Rate: 1000, Burst: 1000}}})
	}
	for g := range n.groups {
		group := fmt.Sprintf("service-%04d-0", g)
		for i := range 3 {
			address := fmt.Sprintf("10.%d.%d.1%d:5432", g/200, g%200, i)
			l.addresses = append(l.addresses, address)
			l.apply(tb, &controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{
				Service: "service-0001", Upstream: &controlpb.Upstream{Address: address, Group: group, Place: "place-01", ConnectionLimit: 100}}}})
		}
		l.apply(tb, &controlpb.Command{Change: &controlpb.Command_AdoptPrimary{AdoptPrimary: &controlpb.AdoptPrimary{
			Group: group, Address: l.addresses[3*g], StartLsn: 1, Timeline: 1}}})
	}
	for i := range n.proxies {
		member := &controlpb.ProxyMember{Name: fmt.Sprintf("proxy-%04d", i), PeeringAddress: "10.20.30.40:7441", Place: "place-01"}
		l.apply(tb, &controlpb.Command{Change: &controlpb.Command_RegisterProxy{RegisterProxy: member}})
		ps := &proxyStream{cancel: func() {}, allGroups: true, updates: make(chan *controlpb.Update, updateQueueSize)}
		l.streams = append(l.streams, ps)
	}
}

// propagate passes the newest revision to the policies.
func (l *benchLeader) propagate(ctx context.Context) { l.propagateChanges(ctx) }

// stepProbeResults passes one answered probe of each upstream to the failover machine.
func (l *benchLeader) stepProbeResults(ctx context.Context) {
	now := clock.Now()
	for i, address := range l.addresses {
		l.stepFailover(ctx, now, failover.ProbeResult{Address: address, SentAt: now, Answered: true, InRecovery: i%3 != 0,
			LSN: 1 << 40, Timeline: 1, ReceiverActive: i%3 != 0})
	}
}

// report returns a report of proxy i that serves the given teams and upstreams.
func (l *benchLeader) report(i int, teams, upstreams []string) *controlpb.Report {
	r := &controlpb.Report{
		Proxy:       &controlpb.ProxyMember{Name: fmt.Sprintf("proxy-%04d", i), PeeringAddress: "10.20.30.40:7441", Place: "place-01"},
		Incarnation: "abcdefghijklmnopqrstuvwxyz", AppliedRevision: l.store.Revision(),
	}
	for _, team := range teams {
		r.Tokens = append(r.Tokens, &controlpb.TokenDemand{Team: team, UsedTotal: 1, Wanted: 1})
	}
	for _, address := range upstreams {
		r.Shares = append(r.Shares, &controlpb.ShareDemand{Upstream: address, Open: 2, Wanted: 2})
	}
	return r
}

// exchange handles an encoded report of proxy i and returns the encoded update.
func (l *benchLeader) exchange(tb testing.TB, ctx context.Context, i int, data []byte) []byte {
	var report controlpb.Report
	if err := proto.Unmarshal(data, &report); err != nil {
		tb.Fatal(err)
	}
	ps := l.streams[i]
	l.handleReport(ctx, reportReceived{stream: ps, report: &report, at: clock.Now()})
	update := <-ps.updates
	encoded, err := proto.Marshal(update)
	if err != nil {
		tb.Fatal(err)
	}
	return encoded
}

func encode(tb testing.TB, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// BenchmarkExchange measures one report and its update in the steady state, without
// the transport. active and used are the numbers of teams and upstreams in the report.
func BenchmarkExchange(b *testing.B) {
	for _, c := range []struct {
		size         fleetSize
		active, used int
		// selected is the number of groups that the proxy has selected, 0 for no selection.
		selected int
	}{
		{fleetSize{teams: 8, groups: 3, proxies: 11}, 8, 9, 0},
		{fleetSize{teams: 800, groups: 3, proxies: 11}, 8, 9, 0},
		{fleetSize{teams: 800, groups: 3, proxies: 11}, 800, 9, 0},
		{fleetSize{teams: 8, groups: 30, proxies: 11}, 8, 9, 0},
		{fleetSize{teams: 8, groups: 300, proxies: 11}, 8, 9, 0},
		{fleetSize{teams: 8, groups: 300, proxies: 11}, 8, 900, 0},
		{fleetSize{teams: 8, groups: 3, proxies: 1200}, 8, 9, 0},
		{fleetSize{teams: 2000, groups: 1600, proxies: 1200}, 40, 60, 0},
		{fleetSize{teams: 2000, groups: 1600, proxies: 1200}, 40, 60, 20},
	} {
		b.Run(fmt.Sprintf("%v/active=%d/used=%d/selected=%d", c.size, c.active, c.used, c.selected), func(b *testing.B) {
			l := newBenchLeader(b, c.size)
			ctx := context.Background()
			data := encode(b, l.report(0, l.teams[:c.active], l.addresses[:c.used]))
			// The first update carries the full copy.
			first := l.report(0, l.teams[:c.active], l.addresses[:c.used])
			first.Groups = selectGroups(c.selected)
			l.exchange(b, ctx, 0, encode(b, first))
			var update []byte
			b.ReportAllocs()
			for b.Loop() {
				update = l.exchange(b, ctx, 0, data)
			}
			b.ReportMetric(float64(len(data)), "report-bytes")
			b.ReportMetric(float64(len(update)), "update-bytes")
		})
	}
}

func selectGroups(n int) *controlpb.GroupSelection {
	if n == 0 {
		return nil
	}
	selection := &controlpb.GroupSelection{}
	for g := range n {
		selection.Names = append(selection.Names, fmt.Sprintf("service-%04d-0", g))
	}
	return selection
}

// Guards against updates that grow unnoticed in the steady state of a fleet with 8
// teams, 3 groups and 11 proxies.
func TestSteadyStateUpdateSize(t *testing.T) {
	const maxUpdateBytes = 1500
	l := newBenchLeader(t, fleetSize{teams: 8, groups: 3, proxies: 11})
	data := encode(t, l.report(0, l.teams, l.addresses))
	l.exchange(t, t.Context(), 0, data)
	if got := len(l.exchange(t, t.Context(), 0, data)); got > maxUpdateBytes {
		t.Errorf("an update has %d bytes, at most %d are allowed", got, maxUpdateBytes)
	}
}

// BenchmarkChange measures one change that is applied on the leader, passed to the
// policies, encoded and pushed to all proxies.
func BenchmarkChange(b *testing.B) {
	for _, n := range []fleetSize{
		{teams: 8, groups: 3, proxies: 11},
		{teams: 8, groups: 3, proxies: 1200},
		{teams: 2000, groups: 1600, proxies: 11},
		{teams: 2000, groups: 1600, proxies: 1200},
	} {
		b.Run(n.String(), func(b *testing.B) {
			l := newBenchLeader(b, n)
			ctx := context.Background()
			for i := range l.streams {
				l.exchange(b, ctx, i, encode(b, l.report(i, nil, nil)))
			}
			put := &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: l.teams[0], Rate: 100, Burst: 50}}
			var size int
			for b.Loop() {
				l.apply(b, &controlpb.Command{Actor: "operator", Change: put})
				l.propagateChanges(ctx)
				for _, ps := range l.streams {
					size = len(encode(b, <-ps.updates))
				}
			}
			b.ReportMetric(float64(size), "push-bytes")
		})
	}
}

// BenchmarkTick measures the timers of the policies, which run every 50 ms.
func BenchmarkTick(b *testing.B) {
	for _, n := range []fleetSize{{teams: 8, groups: 3, proxies: 11}, {teams: 2000, groups: 1600, proxies: 1200}} {
		b.Run(n.String(), func(b *testing.B) {
			l := newBenchLeader(b, n)
			for b.Loop() {
				l.handleTick(context.Background())
			}
		})
	}
}

// BenchmarkProbeResult measures the handling of one probe result by the leader.
func BenchmarkProbeResult(b *testing.B) {
	for _, n := range []fleetSize{{teams: 8, groups: 3, proxies: 11}, {teams: 2000, groups: 1600, proxies: 1200}} {
		b.Run(n.String(), func(b *testing.B) {
			l := newBenchLeader(b, n)
			var lsn uint64
			for b.Loop() {
				lsn++
				l.handleProbe(context.Background(), probe.Result{Address: l.addresses[0], Reachable: true,
					SentAt: clock.Now(), LSN: lsn, Timeline: 1, ReceiverAge: -time.Second})
			}
		})
	}
}
