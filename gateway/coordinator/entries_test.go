package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
)

// goodAnnouncement returns an announcement that names an upstream to use.
func goodAnnouncement(id string) *controlpb.UpstreamAnnouncement {
	return &controlpb.UpstreamAnnouncement{
		Id: id, Service: "wax", Address: "10.0.0.1:5432", Place: "hafnarfj", Slots: 4, StartedUnixMs: 1_700_000_000_000, Sequence: 1,
	}
}

// announceAll passes announcements to the leader the way its own node does, without the network, and
// returns their errors.
func announceAll(l *Leader, all ...*controlpb.UpstreamAnnouncement) []error {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		l.Run(ctx)
		close(ended)
	}()
	server := NewServer(emptyDirectory{}, l)
	errs := make([]error, len(all))
	for i, a := range all {
		_, errs[i] = server.Announce(ctx, a)
	}
	cancel()
	<-ended
	return errs
}

// Guards against one odd announcement that ends the control stream of every node: protobuf refuses to
// encode text that is not UTF-8, and the leader's own node passes announcements on without encoding them.
func TestOddAnnouncementDoesNotStopTheTopology(t *testing.T) {
	for name, change := range map[string]func(*controlpb.UpstreamAnnouncement){
		"id":      func(a *controlpb.UpstreamAnnouncement) { a.Id = "i-\xff" },
		"service": func(a *controlpb.UpstreamAnnouncement) { a.Service = "wax\xff" },
		"address": func(a *controlpb.UpstreamAnnouncement) { a.Address = "10.0.0.1\xff:5432" },
		"place":   func(a *controlpb.UpstreamAnnouncement) { a.Place = "hafnarfj\xff" },
	} {
		l, _ := newTestLeader(t)
		odd := goodAnnouncement("odd")
		change(odd)
		errs := announceAll(l, odd, goodAnnouncement("good"))
		if errs[0] == nil || errs[1] != nil {
			t.Errorf("%s: the odd announcement returned %v, the good one %v", name, errs[0], errs[1])
		}
		current := l.newTopology()
		if _, err := proto.Marshal(current); err != nil {
			t.Errorf("%s: no node can be sent the topology: %v", name, err)
		}
		if len(current.Upstreams) != 1 || current.Upstreams[0].Id != "good" {
			t.Errorf("%s: the topology has %v", name, current.Upstreams)
		}
	}
}

// oddTopology returns the topology of an earlier leader that believed odd entries, and one good one.
func oddTopology() *controlpb.Topology {
	t := &controlpb.Topology{
		Revision: 5,
		Upstreams: []*controlpb.TopologyUpstream{
			{Id: "good", Service: "wax", Address: "10.0.0.1:1", Slots: 3},
			{Id: "i-1\r\nQUERY - PAUSE 9", Service: "wax", Address: "10.0.0.1:2"},
			{Id: "no service", Address: "10.0.0.1:3"},
			{Id: "port", Service: "wax", Address: "10.0.0.1:65536"},
			{Id: "blank", Service: "wax and wane", Address: "10.0.0.1:4"},
			{Service: "wax", Address: "10.0.0.1:5"},
			{Id: "place", Service: "wax", Address: "10.0.0.1:6", Place: "a\x00"},
		},
		Primaries: []*controlpb.TopologyPrimary{
			{Service: "wax", Upstream: "good", Term: 4}, {Service: "wane\n", Upstream: "good", Term: 1},
			{Service: "wane", Upstream: "i 1", Term: 1}, {Service: "", Upstream: "good", Term: 1},
		},
	}
	return t
}

// Guards against an odd entry that an earlier leader believed, saved or sent to nodes: it must neither be
// used nor keep the leader from using the others.
func TestOddEntriesOfEarlierLeaderAreSkipped(t *testing.T) {
	l, _ := newTestLeader(t)
	l.store.Apply(1, &controlpb.Command{Change: &controlpb.Command_PutTopology{PutTopology: oddTopology()}})
	l.startLeading(1)
	for _, from := range []string{"saved", "node"} {
		current := l.newTopology()
		if len(current.Upstreams) != 1 || current.Upstreams[0].Id != "good" {
			t.Errorf("%s: the topology has %v", from, current.Upstreams)
		}
		if len(current.Primaries) != 1 || current.Primaries[0].Upstream != "good" || len(l.groups) != 1 {
			t.Errorf("%s: the topology has primaries %v, there are %d groups", from, current.Primaries, len(l.groups))
		}
		l.store.Apply(2, &controlpb.Command{Change: &controlpb.Command_PutTopology{PutTopology: &controlpb.Topology{}}})
		l.startLeading(2)
		startStream(l, "n1", &controlpb.NodeReport{Sequence: 1, TopologyRevision: 5, Topology: oddTopology()})
	}
}

// Guards against orders for a service that no configuration names, which an entry of another writer made
// up: the infrastructure accepts few orders, and others wait for theirs.
func TestMadeUpServiceGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		orders := &recordingPromoter{}
		l, _ := newPromotingLeader(orders, 3)
		if _, err := l.putCatalog(ctx, waxCatalog(3)); err != nil {
			t.Fatal(err)
		}
		drainEvents(l)
		for second := range uint64(60) {
			for _, role := range []string{"primary", "replica"} {
				a := goodAnnouncement("made-up-" + role)
				a.Service, a.Sequence, a.Primary = "nowhere", second+1, role == "primary"
				l.handle(ctx, announcementReceived{a, make(chan struct{})})
			}
			time.Sleep(time.Second)
			l.tick(ctx)
			drainEvents(l)
		}
		synctest.Wait()
		if len(orders.fences) > 0 {
			t.Errorf("%d orders were sent", len(orders.fences))
		}
		l.stopLeading()
	})
}
