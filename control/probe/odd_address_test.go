package probe

import (
	"testing"
	"time"

	"github.com/jayloom/jayloom/base/settings"
)

// Guards against an odd address in the state that ends the process or holds up the probes of others. A
// group adopts no primary before each of its upstreams has the result of a probe.
func TestOddAddressFailsOnlyItsProbe(t *testing.T) {
	const timeout = 200 * time.Millisecond
	odd := []string{"", ":1", "127.0.0.1", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:99999999999999999999", "0.0.0.0:1", "[::]:1",
		"/nowhere:1", "a\x00b:1", "a' host='b:1", "a,127.0.0.1:1", "\ufffd:1", "[fe80::1%nowhere]:1", "127.0.0.1:1"}
	targets := make([]Target, len(odd))
	for i, address := range odd {
		targets[i] = Target{Address: address, Service: "s\x00user\x00x"}
	}
	results := make(chan Result, 16*len(odd))
	account := settings.UpstreamAccount{User: "jayloom"}
	prober := New(Postgres{Account: account}, time.Minute, timeout, func(r Result) { results <- r })
	defer prober.Stop()
	prober.SetTargets(targets)
	probed := map[string]bool{}
	deadline := time.After(30 * time.Second)
	for len(probed) < len(odd) {
		select {
		case r := <-results:
			probed[r.Address] = true
			if r.Reachable {
				t.Errorf("%q counts as reachable", r.Address)
			}
		case <-deadline:
			t.Fatalf("%d of %d addresses have a result", len(probed), len(odd))
		}
	}
}
