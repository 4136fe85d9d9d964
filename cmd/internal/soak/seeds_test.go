package soak

import (
	"context"
	"testing"
	"time"
)

// Guards against a fleet in which nobody finds the leader: the settings name seeds without a
// disk, and all processes are killed, so that the seeds know nothing.
func TestSeedsWithoutDiskAfterLossOfAllProcesses(t *testing.T) {
	f := newFleet(t, 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.start(ctx)
	o := newOperator(f, &history{})
	o.start(ctx, t)
	f.changeSeeds(f.nodes[diskNodeCount:]...)
	for _, p := range f.nodes {
		p.kill()
	}
	for _, p := range f.nodes {
		p.start()
	}
	ctx, cancel = context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	for _, p := range f.nodes {
		for !p.isReady() {
			if ctx.Err() != nil {
				t.Fatalf("%s serves no callers %s after the start", p.node.Name, recoveryTime)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
}
