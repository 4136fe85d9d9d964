package rate

import (
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TestReserveCoversElection guards against requests of a team far inside its rate that
// wait for the next leader because their proxy held tokens for 250 ms only.
func TestReserveCoversElection(t *testing.T) {
	sim := newSimulation(1, 11, 400, 400)
	sim.electLeader(400, 400)
	sim.run(3*time.Second, func() {})
	load := func() {
		if sim.now%(10*time.Millisecond) == 0 {
			sim.request(3)
		}
	}
	sim.run(3*time.Second, load)
	before := len(sim.waits)
	sim.loseLeader()
	sim.run(time.Second, load)
	if waiting := len(sim.nodes[3].waiting); waiting > 0 || len(sim.waits) > before {
		t.Errorf("%d requests wait, %d have waited", waiting, len(sim.waits)-before)
	}
	if sim.overshoot > 0 {
		t.Errorf("%d tokens above rate and burst", sim.overshoot)
	}
}

// TestTokensAreKeptWithoutLeader guards against tokens that are returned in the first
// report of a stream, which nobody reads during an election.
func TestTokensAreKeptWithoutLeader(t *testing.T) {
	h := NewHolder(DefaultConfig())
	h.StartStream(0)
	h.Report(0)
	h.ApplyGrant(0, 0, &controlpb.TokenGrant{Team: teamName, Tokens: 50, LifetimeMs: 2500})
	now := 2 * time.Second
	for range 3 {
		h.StartStream(now)
		h.Report(now)
		now += 50 * time.Millisecond
	}
	taken := 0
	for h.Take(now, teamName) {
		taken++
	}
	if taken != 50 {
		t.Errorf("%d of 50 tokens are left", taken)
	}
}
