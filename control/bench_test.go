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

// fleetSize says how large a benchmark's fleet is. Each group has 3 upstreams.
type fleetSize struct{ teams, groups, proxies int }

func (n fleetSize) String() string {
	return fmt.Sprintf("teams=%d/groups=%d/proxies=%d", n.teams, n.groups, n.proxies)
}

// benchLeader is a leader whose goroutine is the benchmark's own.
type benchLeader struct {
	*Leader
	replicator  *replica.Fake
	attendances []*attendance
	addresses   []string
	teams       []string
	stop        context.CancelFunc
}

func newBenchLeader(tb testing.TB, n fleetSize) *benchLeader {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := settings.Default().Control
	// Probes are handed in by the benchmark.
	s.ProbeIntervalMs = 1 << 30
	l := &benchLeader{Leader: NewLeader(LeaderConfig{Settings: s, Dialer: probe.NewFake(), Log: logrus.NewEntry(logger)})}
	l.store = NewStore(func(StoreEvent) {})
	l.replicator = replica.NewFake(l.store)
	l.Leader.replicator = l.replicator
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	tb.Cleanup(func() {
		cancel()
		// Goroutines that report to the leader end once it has stopped.
		close(l.stopped)
		l.follow()
	})
	l.fill(tb, n)
	l.lead(ctx, 1)
	l.drainChanges(ctx)
	l.observe(ctx)
	return l
}

func (l *benchLeader) apply(tb testing.TB, c *controlpb.Command) {
	result := l.store.Apply(0, c)
	if result.Code != 0 {
		tb.Fatalf("command was refused: %v", result)
	}
}

func (l *benchLeader) fill(tb testing.TB, n fleetSize) {
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
		a := &attendance{cancel: func() {}, allGroups: true, updates: make(chan *controlpb.Update, sessionQueue)}
		l.attendances = append(l.attendances, a)
	}
}

// drainChanges brings policies to the newest revision.
func (l *benchLeader) drainChanges(ctx context.Context) { l.handleChanges(ctx) }

// observe hands one answered probe of each upstream to the policies.
func (l *benchLeader) observe(ctx context.Context) {
	now := clock.Now()
	for i, address := range l.addresses {
		l.step(ctx, now, failover.ProbeResult{Address: address, SentAt: now, Answered: true, InRecovery: i%3 != 0,
			LSN: 1 << 40, Timeline: 1, ReceiverActive: i%3 != 0})
	}
}

// report returns what a proxy sends that serves teams and upstreams.
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

// exchange handles one encoded report and returns the encoded update.
func (l *benchLeader) exchange(tb testing.TB, ctx context.Context, i int, data []byte) []byte {
	var report controlpb.Report
	if err := proto.Unmarshal(data, &report); err != nil {
		tb.Fatal(err)
	}
	a := l.attendances[i]
	l.handleReport(ctx, reportReceived{attendance: a, report: &report, at: clock.Now()})
	update := <-a.updates
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
// the transport. active and used are the teams and upstreams of the report.
func BenchmarkExchange(b *testing.B) {
	for _, c := range []struct {
		size         fleetSize
		active, used int
		// selected is the number of groups that the proxy has named, 0 for none.
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
			// The first one carries the full copy.
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

// Guards against updates that grow unnoticed in the steady state of today's size.
func TestSteadyUpdateBytes(t *testing.T) {
	const most = 1500
	l := newBenchLeader(t, fleetSize{teams: 8, groups: 3, proxies: 11})
	data := encode(t, l.report(0, l.teams, l.addresses))
	l.exchange(t, t.Context(), 0, data)
	if got := len(l.exchange(t, t.Context(), 0, data)); got > most {
		t.Errorf("an update has %d bytes, at most %d are allowed", got, most)
	}
}

// BenchmarkChange measures one change applied on the leader, taken over by the
// policies and pushed to all proxies, encoding included.
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
			for i := range l.attendances {
				l.exchange(b, ctx, i, encode(b, l.report(i, nil, nil)))
			}
			put := &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: l.teams[0], Rate: 100, Burst: 50}}
			var size int
			for b.Loop() {
				l.apply(b, &controlpb.Command{Actor: "operator", Change: put})
				l.handleChanges(ctx)
				for _, a := range l.attendances {
					size = len(encode(b, <-a.updates))
				}
			}
			b.ReportMetric(float64(size), "push-bytes")
		})
	}
}

// BenchmarkTick measures the timers of the policies, which run each 50 ms.
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

// BenchmarkProbeResult measures what the leader's goroutine does for one probe.
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
