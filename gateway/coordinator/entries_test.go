package coordinator

import (
	"context"
	"testing"

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
