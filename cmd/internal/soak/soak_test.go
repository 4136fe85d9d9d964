// Package soak runs jayloom-node as separate processes on one machine, injects faults from
// outside them by a random schedule, and checks what must always hold from what callers,
// servers, operators and the infrastructure have seen.
package soak

import (
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	firstSeed = flag.Int64("soak.seed", 0, "play this seed, or with -soak.seeds the first of them; 0 plays the regression cases")
	seedCount = flag.Int64("soak.seeds", 1, "number of seeds to play")
	faultTime = flag.Duration("soak.time", 8*time.Second, "how long faults are injected in each run")
	nodeCount = flag.Int("soak.nodes", 5, "number of nodes; three of them hold control state")
	network   = flag.Int("soak.net", 7, "second number of the loopback addresses, for runs side by side")
	keepLogs  = flag.String("soak.logs", "", "folder that keeps the logs of the nodes")
)

// binary is the path of jayloom-node.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		log.Fatal(err)
	}
	binary = filepath.Join(folder, "jayloom-node")
	build := exec.Command("go", "build", "-o", binary, "github.com/jayloom/jayloom/cmd/jayloom-node")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		log.Fatal(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// regressions are seeds that a run has failed with, each with its cause, and one that plays
// planned work only.
var regressions = []int64{
	// Planned work only: restarts and configurations may cut nothing.
	plannedEach,
}

// Guards the promises of the system against faults that overlap. The seed decides on the
// faults and their times; the interleaving of processes differs from run to run.
func TestSoak(t *testing.T) {
	seeds := regressions
	if *firstSeed != 0 {
		seeds = nil
		for i := range *seedCount {
			seeds = append(seeds, *firstSeed+i)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// Times of a run.
const (
	// startTime is for the first election, configuration and announcements.
	startTime = 30 * time.Second
	// warmTime is how long callers run before the first fault.
	warmTime = 2 * time.Second
	// recoverTime is the stated time after which requests are served again.
	recoverTime = 12 * time.Second
	// probeTime is how long service is measured after it.
	probeTime = 2 * time.Second
)

func soak(t *testing.T, seed int64) {
	f := newFleet(t, seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.start(ctx)
	h := &history{}
	f.group.OnExecution(h.ran)
	o := newOperator(f, h)
	o.begin(ctx, t)
	stopCallers := startCallers(ctx, f, h, seed)
	wait(ctx, warmTime)
	s := newSchedule(f, o, seed)
	h.faultsBegan = time.Now()
	s.play(ctx, *faultTime)
	h.faultsEnded = time.Now()
	wait(ctx, recoverTime+probeTime)
	h.ended = time.Now()
	stopCallers()
	o.end(ctx, t)
	h.log = f.group.Commits()
	h.orders = f.infrastructure.PromotionOrders()
	h.exits = f.unexpectedExits()
	h.cutsAllowed = s.unplanned
	t.Logf("seed %d: %d attempts, %d served, %d runs, %d commits, %d orders to promote, faults: %s",
		seed, len(h.attempts), h.served(), len(h.runs), len(h.log), len(h.orders), s.summary())
	for _, violation := range h.violations() {
		t.Error(violation)
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
