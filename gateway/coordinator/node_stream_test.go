package coordinator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

// Guards against nodes that do not receive a new configuration, and against an old version that
// replaces a newer one.
func TestNodesReceiveConfiguration(t *testing.T) {
	l, _ := newTestLeader(t)
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 7})
	for _, version := range []uint64{3, 2} {
		if held, err := l.putCatalog(context.Background(), waxCatalog(version)); err != nil || held != 3 {
			t.Fatalf("put %d: %d in force, %v", version, held, err)
		}
	}
	drainEvents(l)
	u := latestUpdate(t, a)
	if u == nil || u.Catalog.GetVersion() != 3 || u.Sequence != 7 {
		t.Fatalf("node received %v", u)
	}
	if len(u.Catalog.Document) > 0 {
		t.Error("the operator's document was sent to a node")
	}
	if _, err := l.putCatalog(context.Background(), &controlpb.Catalog{Version: 4, Routes: waxCatalog(1).Routes}); err == nil {
		t.Error("a route to an unknown service was accepted")
	}
}

// Guards against nodes that continue to use an upstream after it has announced that it is
// draining, and against a new leader that removes the upstreams that nodes already know.
func TestNodesReceiveUpstreams(t *testing.T) {
	l, _ := newTestLeader(t)
	earlier := &controlpb.Topology{
		Revision: 5, Upstreams: []*controlpb.TopologyUpstream{{Id: "old", Service: "wax", Address: "10.0.0.1:1"}},
		Primaries: []*controlpb.TopologyPrimary{{Service: "wax", Upstream: "old", Term: 4}},
	}
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1, TopologyRevision: 5, Topology: earlier})
	b := startStream(l, "n2", &controlpb.NodeReport{Sequence: 1})
	done := make(chan struct{})
	l.handle(context.Background(), announcementReceived{&controlpb.UpstreamAnnouncement{
		Id: "new", Service: "wax", Address: "10.0.0.2:1", StartedUnixMs: 1, Sequence: 1,
		Phase: controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING,
	}, done})
	<-done
	l.tick(context.Background())
	for _, u := range []*controlpb.NodeUpdate{latestUpdate(t, a), latestUpdate(t, b)} {
		got := map[string]bool{}
		for _, upstream := range u.GetTopology().GetUpstreams() {
			got[upstream.Id] = upstream.Draining
		}
		if diff := cmp.Diff(map[string]bool{"old": false, "new": true}, got); diff != "" {
			t.Error(diff)
		}
	}
	if id, term, _ := l.groups["wax"].machine.Primary(); id != "old" || term != 4 {
		t.Errorf("primary %s of term %d", id, term)
	}
}

// Load pattern: all VMs lose power, so that no node knows any upstream. Guards against a leader
// that keeps callers waiting until each upstream has announced itself again
// (paplate-riga-grown trouble-2), and against one that commits an unchanged topology repeatedly.
func TestNextLeaderKnowsSavedUpstreams(t *testing.T) {
	l, _ := newTestLeader(t)
	startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	l.handle(context.Background(), announcementReceived{&controlpb.UpstreamAnnouncement{
		Id: "p", Service: "wax", Address: "10.0.0.2:1", StartedUnixMs: 1, Sequence: 1, Primary: true,
	}, make(chan struct{})})
	l.groups["wax"].machine.Adopt(clock.Now(), "p", 4)
	tickUntilSaved(l)
	committed := l.store.current().Topology
	l.topologySaveStartedAt -= minTopologySaveInterval
	tickUntilSaved(l)
	if again := l.store.current().Topology; again != committed {
		t.Errorf("an unchanged topology was committed again: %v, %v", committed, again)
	}
	l.startLeading(2)
	u := latestUpdate(t, startStream(l, "n2", &controlpb.NodeReport{Sequence: 1}))
	if got := u.GetTopology(); len(got.GetUpstreams()) != 1 || got.Upstreams[0].Address != "10.0.0.2:1" ||
		len(got.Primaries) != 1 || got.Primaries[0].Upstream != "p" || got.Primaries[0].Term != 4 {
		t.Errorf("the next leader sent %v", got)
	}
}

// tickUntilSaved runs a tick and waits for the commit of the topology that it may have started.
func tickUntilSaved(l *Leader) {
	l.tick(context.Background())
	for l.savingTopology {
		l.handle(context.Background(), <-l.events)
	}
}

// Guards against connections being divided among too few nodes: a new leader must count the nodes
// that have not reconnected, and every leader those that were lost without a last report.
func TestFleetSizeIncludesLostNodes(t *testing.T) {
	l, _ := newTestLeader(t)
	for _, name := range []string{"n1", "n2", "n3"} {
		l.store.Apply(1, &controlpb.Command{Change: &controlpb.Command_RegisterNode{RegisterNode: &controlpb.NodeMember{Name: name}}})
	}
	drainEvents(l)
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	if u := latestUpdate(t, a); u.Nodes != 3 {
		t.Errorf("%d nodes after the change of leader, want 3", u.Nodes)
	}
	b := startStream(l, "n2", &controlpb.NodeReport{Sequence: 1})
	c := startStream(l, "n3", &controlpb.NodeReport{Sequence: 1})
	l.leadingSince -= reconnectPeriod
	l.handle(context.Background(), streamEnded{b})
	l.handle(context.Background(), reportReceived{c, &controlpb.NodeReport{Node: "n3", Sequence: 2, Leaving: true}})
	if got := l.fleetSize(clock.Now()); got != 2 {
		t.Errorf("%d nodes, want 2: one is connected, one was lost, one has left", got)
	}
	if got := l.fleetSize(clock.Now() + lostNodeRetention + time.Second); got != 1 {
		t.Errorf("%d nodes after lostNodeRetention, want 1", got)
	}
}

// Guards against positions in updates that answer no report, for which the node cannot tell the
// age.
func TestPositionsAnswerReportsOnly(t *testing.T) {
	l, _ := newTestLeader(t)
	g := l.groupOf(clock.Now(), "wax")
	g.primaryPosition = measuredPosition{"p", position.Position{Term: 1, Number: 7}, clock.Now()}
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	if u := latestUpdate(t, a); len(u.Positions) != 1 || u.Positions[0].AgeMs == 0 {
		t.Errorf("answer: %v", u.Positions)
	}
	l.pushAll()
	if u := latestUpdate(t, a); len(u.Positions) != 0 {
		t.Errorf("push: %v", u.Positions)
	}
}

// Load pattern: each node reports many times a second because callers wait for tokens.
// Guards against answers that repeat all positions, which were most of the traffic between
// nodes, and against losing a node's last view of the primaries.
func TestAnswersToUrgentReportsOmitPositions(t *testing.T) {
	l, _ := newTestLeader(t)
	g := l.groupOf(clock.Now(), "wax")
	g.primaryPosition = measuredPosition{"p", position.Position{Term: 1, Number: 7}, clock.Now()}
	g.machine.Adopt(clock.Now(), "p", 1)
	views := []*controlpb.PrimaryView{{Service: "wax", Upstream: "p", FailingMs: 2000}}
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1, Regular: true, Primaries: views})
	latestUpdate(t, a)
	l.handle(context.Background(), reportReceived{a, &controlpb.NodeReport{Sequence: 2}})
	if u := latestUpdate(t, a); u.Sequence != 2 || len(u.Positions) != 0 {
		t.Errorf("answer to the second report: %v", u)
	}
	if r := l.primaryReports(clock.Now()).on("wax"); r.LongFailing != 1 {
		t.Errorf("reachability of the primary: %+v", r)
	}
	a.positionsSentAt -= positionsInterval
	l.handle(context.Background(), reportReceived{a, &controlpb.NodeReport{Sequence: 3}})
	if u := latestUpdate(t, a); len(u.Positions) != 1 {
		t.Errorf("answer after the interval: %v", u)
	}
}

// Load pattern: a change of leader with 300 nodes. Guards against a topology from every node, which
// filled the links of the leader and of the nodes (litbrot-ops-large scale-1), and against a change
// that only nodes know and the leader does not ask for.
func TestOneNodeIsAskedForTheTopology(t *testing.T) {
	l, _ := newTestLeader(t)
	l.startLeading(3)
	known := uint64(2*revisionsPerTerm + 7)
	asked := []*nodeStream{}
	for i := range 300 {
		s := startStream(l, fmt.Sprintf("n%d", i), &controlpb.NodeReport{Sequence: 1, TopologyRevision: known})
		if latestUpdate(t, s).GetTopologyWanted() {
			asked = append(asked, s)
		}
	}
	if len(asked) != 1 {
		t.Fatalf("%d nodes were asked, want 1", len(asked))
	}
	l.handle(context.Background(), reportReceived{asked[0], &controlpb.NodeReport{Sequence: 2, Topology: &controlpb.Topology{
		Revision: known, Upstreams: []*controlpb.TopologyUpstream{{Id: "u", Service: "wax", Address: "10.0.0.1:1"}},
	}}})
	publish(l)
	if got := l.currentTopology().Upstreams; len(got) != 1 || got[0].Id != "u" {
		t.Errorf("the adopted topology has %v", got)
	}
	l.topologyAskedAt -= topologyAnswerTime
	if s := startStream(l, "late", &controlpb.NodeReport{Sequence: 1, TopologyRevision: known}); latestUpdate(t, s).GetTopologyWanted() {
		t.Error("a node was asked for a topology that was adopted")
	}
}

// Guards against a node that is cut off from its topology because the node that was asked for it
// has been lost.
func TestAnotherNodeIsAskedForTheTopology(t *testing.T) {
	l, _ := newTestLeader(t)
	l.startLeading(3)
	known := uint64(2*revisionsPerTerm + 7)
	lost := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1, TopologyRevision: known})
	l.handle(context.Background(), streamEnded{lost})
	l.topologyAskedAt -= topologyAnswerTime
	if s := startStream(l, "n2", &controlpb.NodeReport{Sequence: 1, TopologyRevision: known}); !latestUpdate(t, s).GetTopologyWanted() {
		t.Error("no other node was asked")
	}
}

// Guards against a report of a replaced stream, still in the queue, that ends the newer stream of
// the same node.
func TestReportOfReplacedStreamIsIgnored(t *testing.T) {
	l, _ := newTestLeader(t)
	replaced := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	newer := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	l.handle(context.Background(), reportReceived{replaced, &controlpb.NodeReport{Node: "n1", Sequence: 2}})
	l.handle(context.Background(), streamEnded{replaced})
	if len(l.streams) != 1 || !l.streams[newer] || l.streamOf["n1"] != newer {
		t.Error("the newer stream was removed")
	}
}

// Load pattern: one team uses many times its rate at once. Guards against nodes that learn its
// limit only with the answers to their next reports.
func TestSharpLimitIsPushedToAllNodes(t *testing.T) {
	l, _ := newTestLeader(t)
	if _, err := l.putCatalog(context.Background(), waxCatalog(3)); err != nil {
		t.Fatal(err)
	}
	drainEvents(l)
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	b := startStream(l, "n2", &controlpb.NodeReport{Sequence: 1})
	latestUpdate(t, b)
	l.handle(context.Background(), reportReceived{a, &controlpb.NodeReport{Sequence: 2, Usage: []*controlpb.TeamUsage{
		{Team: "melt", AdmittedTotal: 80, ArrivedTotal: 80},
	}}})
	u := latestUpdate(t, b)
	if got := u.GetThrottles(); len(got) != 1 || got[0].Team != "melt" || got[0].AdmitPermille > 500 {
		t.Errorf("the other node was sent %v", got)
	}
}

// Load pattern: 300 nodes report on 20 primaries four times a second. Guards against reports and
// answers that repeat names, which were most of the traffic between places, and against a position
// that is resolved in another topology than it was meant for.
func TestPrimariesAreNamedByPosition(t *testing.T) {
	l, _ := newTestLeader(t)
	for _, service := range []string{"wax", "lots"} {
		g := l.groupOf(clock.Now(), service)
		g.machine.Adopt(clock.Now(), "p-"+service, 4)
		g.primaryPosition = measuredPosition{"p-" + service, position.Position{Term: 4, Number: 7}, clock.Now()}
	}
	l.registry.IncrementRevision()
	publish(l)
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	u := latestUpdate(t, a)
	for _, p := range u.Positions {
		if p.PrimaryIndex == 0 || p.Service != "" || p.Upstream != "" {
			t.Errorf("position %v is named", p)
		}
	}
	report := &controlpb.NodeReport{
		Sequence: 2, Regular: true, TopologyRevision: u.Topology.Revision, AnsweredPrimaries: []uint32{1, 9},
	}
	l.handle(context.Background(), reportReceived{a, report})
	if r := l.primaryReports(clock.Now()).on("wax"); r.Reaching != 1 || r.Nodes != 1 {
		t.Errorf("reachability of the primary that has answered: %+v", r)
	}
	if r := l.primaryReports(clock.Now()).on("lots"); r.Reaching != 0 || r.Nodes != 1 {
		t.Errorf("reachability of the other one: %+v", r)
	}
	report.TopologyRevision--
	l.handle(context.Background(), reportReceived{a, report})
	if r := l.primaryReports(clock.Now()).on("wax"); r.Reaching != 0 {
		t.Errorf("positions in an unknown topology were used: %+v", r)
	}
	g := l.groups["wax"]
	g.primaryPosition.upstream = "new"
	for _, p := range l.primaryPositions(clock.Now(), a) {
		if p.Service == "wax" && (p.PrimaryIndex != 0 || p.Upstream != "new") {
			t.Errorf("position of a primary that is not in the topology: %v", p)
		}
	}
}

// Load pattern: 300 nodes and 600 database groups, of which each node uses a few. Guards against
// answers with the positions of all groups, and against a node that is not told those it reads from,
// which then all go to the primary.
func TestPositionsOfGroupsThatAreRead(t *testing.T) {
	const groups = 600
	l, _ := newTestLeader(t)
	for i := range groups {
		service := fmt.Sprintf("wax%03d", i)
		g := l.groupOf(clock.Now(), service)
		g.machine.Adopt(clock.Now(), "p-"+service, 4)
		g.primaryPosition = measuredPosition{"p-" + service, position.Position{Term: 4, Number: 7}, clock.Now()}
	}
	l.registry.IncrementRevision()
	publish(l)
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1, Regular: true, ReadServices: []string{"wax007", "unknown"}})
	first := latestUpdate(t, a)
	if len(first.Positions) != 1 || first.Topology.Primaries[first.Positions[0].PrimaryIndex-1].Service != "wax007" {
		t.Errorf("the first answer has %v", first.Positions)
	}
	a.positionsSentAt -= positionsInterval
	l.handle(context.Background(), reportReceived{a, &controlpb.NodeReport{
		Sequence: 2, Regular: true, TopologyRevision: first.Topology.Revision, ReadPrimaries: []uint32{5, 8},
	}})
	next := latestUpdate(t, a)
	var got []uint32
	for _, p := range next.Positions {
		got = append(got, p.PrimaryIndex)
	}
	slices.Sort(got)
	if !slices.Equal(got, []uint32{6, 9}) {
		t.Errorf("positions %v, want those of the primaries 6 and 9", got)
	}
}

// Load pattern: after a change of leader 60 upstreams announce themselves again within 1.2 s. Guards
// against a topology for 300 nodes with each of them though nothing has changed that nodes know.
func TestConfirmedUpstreamsAreNotSentAgain(t *testing.T) {
	l, _ := newTestLeader(t)
	l.adoptTopology(clock.Now(), &controlpb.Topology{
		Revision: 1, Upstreams: []*controlpb.TopologyUpstream{{Id: "u", Service: "wax", Address: "10.0.0.1:1"}},
	})
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	l.tick(context.Background())
	latestUpdate(t, a)
	announce := func(sequence uint64, phase controlpb.UpstreamPhase) *controlpb.NodeUpdate {
		l.handle(context.Background(), announcementReceived{&controlpb.UpstreamAnnouncement{
			Id: "u", Service: "wax", Address: "10.0.0.1:1", StartedUnixMs: 7, Sequence: sequence, Phase: phase,
		}, make(chan struct{})})
		l.tick(context.Background())
		return latestUpdate(t, a)
	}
	if u := announce(1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY); u.GetTopology() != nil || u.GetTopologyChange() != nil {
		t.Errorf("the confirmed upstream was sent again: %v", u)
	}
	u := announce(2, controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING)
	if sent := u.GetTopologyChange().GetChanged().GetUpstreams(); len(sent) != 1 || !sent[0].Draining {
		t.Errorf("the draining upstream was not sent: %v", u)
	}
}

// Load pattern: a burst in which the limits of many teams fall one after the other. Guards against a
// push to all of hundreds of nodes for each of them.
func TestLoweredLimitsArePushedTogether(t *testing.T) {
	l, _ := newTestLeader(t)
	c := waxCatalog(3)
	for i := range 40 {
		c.Teams = append(c.Teams, &controlpb.CatalogTeam{Name: fmt.Sprintf("t%d", i), Keys: []string{fmt.Sprintf("k%d", i)}, Rate: 10, Burst: 10})
	}
	if _, err := l.putCatalog(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	drainEvents(l)
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	b := startStream(l, "n2", &controlpb.NodeReport{Sequence: 1})
	latestUpdate(t, b)
	l.fallsPushedAt = clock.Now() + time.Hour
	for i := range 40 {
		l.handle(context.Background(), reportReceived{a, &controlpb.NodeReport{Sequence: uint64(2 + i), Usage: []*controlpb.TeamUsage{
			{Team: fmt.Sprintf("t%d", i), AdmittedTotal: 80, ArrivedTotal: 80},
		}}})
		latestUpdate(t, a)
	}
	if pushed := len(b.updates); pushed > 0 {
		t.Errorf("%d updates were pushed before the interval was over", pushed)
	}
	l.fallsPushedAt = clock.Now() - fallPushInterval
	l.tick(context.Background())
	limited := map[string]bool{}
	for len(b.updates) > 0 {
		for _, h := range (<-b.updates).Throttles {
			limited[h.Team] = true
		}
	}
	if len(limited) != 40 {
		t.Errorf("the other node knows of %d limited teams, want 40", len(limited))
	}
}
