package main

import (
	"testing"
	"time"

	"github.com/jayloom/jayloom/platform"
)

// Guards against a node out of touch that serves beyond the bound of a revocation or of the drain of a data centre, and
// against a lease that a very short bound makes shorter than a change of leader.
func TestLeaseIsWithinBothBounds(t *testing.T) {
	settings := &platform.Settings{MaxRevocationDelay: 5 * time.Second, DrainTime: 3500 * time.Millisecond}
	if got, want := leaseDuration(settings), 2800*time.Millisecond; got != want {
		t.Errorf("drain of an upstream: %s, want %s", got, want)
	}
	for _, c := range []struct{ revocation, drain, want time.Duration }{
		{5 * time.Second, 0, 4 * time.Second},
		{5 * time.Second, 10 * time.Second, 4 * time.Second},
		{5 * time.Second, 4 * time.Second, 3200 * time.Millisecond},
		{5 * time.Second, time.Second, 2400 * time.Millisecond},
	} {
		if got := leaseDuration(&platform.Settings{MaxRevocationDelay: c.revocation, PlaceDrainTime: c.drain}); got != c.want {
			t.Errorf("revocation %s, drain %s: %s, want %s", c.revocation, c.drain, got, c.want)
		}
	}
}
