package controlclient

import (
	"strings"
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// Guards against a proxy that follows control no longer once the state is larger than a gRPC client
// receives by default: each new stream ends at the same message.
func TestClientReceivesLargeState(t *testing.T) {
	const bytes = 5 << 20
	control := startFakeControl(t, func(r *controlpb.Report) *controlpb.Update {
		update := fullUpdate(r, 1, group(healthy, 1))
		update.Full.Upstreams = map[string]*controlpb.Upstream{
			"a:1": {Address: "a:1", Group: "g"},
			"a:2": {Address: "a:2", Group: "g", Place: strings.Repeat("x", bytes)},
		}
		return update
	})
	_, store := startClient(t, control.address)
	eventually(t, "the proxy holds the serving lease", func() bool { return store.Current().MayServe(clock.Now()) })
	if !store.Current().Usable("a:1") {
		t.Error("the proxy lacks the good upstream")
	}
}
