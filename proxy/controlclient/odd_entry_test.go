package controlclient

import (
	"math"
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// oddAddresses are addresses that control once took in and that nobody can dial.
var oddAddresses = []string{"", ":1", "10.0.0.1:65536", "10.0.0.1:-1", "a\x00b:1", "nowhere", "\ufffd:1"}

func oddUpstream(address string) *controlpb.Upstream {
	return &controlpb.Upstream{Address: address, Group: "g", Place: "a\r\nb", State: 99, ConnectionLimit: math.MaxUint32}
}

// Guards against a proxy that ends, or follows control no longer, because of odd entries in the state or among
// the changes to it.
func TestOddEntriesDoNotStopTheView(t *testing.T) {
	control := startFakeControl(t, func(r *controlpb.Report) *controlpb.Update {
		update := fullUpdate(r, 1, group(healthy, 1))
		update.Full.Upstreams = map[string]*controlpb.Upstream{"a:1": {Address: "a:1", Group: "g"}}
		for i, address := range oddAddresses {
			update.Full.Upstreams["full"+address] = oddUpstream(address)
			announced := &controlpb.AnnounceUpstream{Service: "s", Upstream: oddUpstream("change" + address)}
			update.Changes = append(update.Changes, &controlpb.Change{Revision: uint64(i + 2), Command: &controlpb.Command{
				Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: announced},
			}})
		}
		return update
	})
	_, store := startClient(t, control.address)
	last := uint64(len(oddAddresses) + 1)
	eventually(t, "the proxy has the last change and serves", func() bool {
		s := store.Current()
		return s.Revision == last && s.MayServe(clock.Now()) && s.LeaseValid("g", 1, clock.Now())
	})
	if s := store.Current(); !s.Usable("a:1") || s.Usable("full:1") || s.Usable("change:1") {
		t.Error("the good upstream is not the only one that gets requests")
	}
}
