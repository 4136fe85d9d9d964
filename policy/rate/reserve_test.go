package rate

import (
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TestReserveLastsThroughAnElection guards against a team far inside its rate that
// waits for the next owner, because its proxy held tokens for 250 ms only.
func TestReserveLastsThroughAnElection(t *testing.T) {
	w := newWorld(1, 11, 400, 400)
	w.lead(400, 400)
	w.run(3*time.Second, func() {})
	load := func() {
		if w.now%(10*time.Millisecond) == 0 {
			w.request(3)
		}
	}
	w.run(3*time.Second, load)
	before := len(w.waits)
	w.depose()
	w.run(time.Second, load)
	if waiting := len(w.nodes[3].waiting); waiting > 0 || len(w.waits) > before {
		t.Errorf("%d requests wait, %d have waited", waiting, len(w.waits)-before)
	}
	if w.overshoot > 0 {
		t.Errorf("%d tokens above rate and burst", w.overshoot)
	}
}

// TestTokensStayWithoutAnOwner guards against tokens that are returned in the first
// report of a stream, which nobody reads during an election.
func TestTokensStayWithoutAnOwner(t *testing.T) {
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
