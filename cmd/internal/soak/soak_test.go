// Package soak runs jayloom-node as separate processes on one machine, injects faults from
// outside by a random schedule, and checks the system's guarantees against what callers,
// servers, operators and the infrastructure observe.
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
	firstSeed     = flag.Int64("soak.seed", 0, "play this seed, or with -soak.seeds the first of them; 0 plays the regression cases")
	seedCount     = flag.Int64("soak.seeds", 1, "number of seeds to play")
	faultTime     = flag.Duration("soak.time", 8*time.Second, "how long faults are injected in each run")
	nodeCount     = flag.Int("soak.nodes", 5, "number of nodes; three of them hold control state")
	networkNumber = flag.Int("soak.net", 7, "second number of the loopback addresses, for runs side by side")
	keepLogs      = flag.String("soak.logs", "", "folder that keeps the logs of the nodes")
)

// nodeBinary is the path of the jayloom-node binary.
var nodeBinary string

func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		log.Fatal(err)
	}
	nodeBinary = filepath.Join(folder, "jayloom-node")
	build := exec.Command("go", "build", "-o", nodeBinary, "github.com/jayloom/jayloom/cmd/jayloom-node")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		log.Fatal(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// regressionSeeds are seeds of failed runs, each with its cause, and one that injects
// planned work only.
var regressionSeeds = []int64{
	// Planned work only: restarts and configuration changes must leave no request unanswered.
	plannedSeedInterval,
}

// Guards against broken guarantees under overlapping faults. The seed determines the faults
// and their times; the interleaving of processes differs from run to run.
func TestSoak(t *testing.T) {
	for _, seed := range seedsOr(regressionSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// exceededRateSeeds are seeds of runs in which a team exceeded its rate, with what is known of the cause (issue 19).
var exceededRateSeeds = []int64{
	// 191 operations where 152 are allowed: the leader was lost 0.5 s after the team began, and 4 s later all nodes
	// were killed, with what they knew of its use.
	21006,
	// 155 operations where 152 are allowed: no leader for 2.4 s.
	21017,
}

// Guards against a team that exceeds its rate while there is no leader.
func TestSoakOfExceededRates(t *testing.T) {
	for _, seed := range exceededRateSeeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// seedsOr returns the seeds that the flags name, or the given ones if they name none.
func seedsOr(regression []int64) []int64 {
	if *firstSeed == 0 {
		return regression
	}
	var seeds []int64
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+i)
	}
	return seeds
}

// Phases of a run.
const (
	// startTimeout bounds the first election, configuration and announcements.
	startTimeout = 30 * time.Second
	// warmUpTime is how long callers run before the first fault.
	warmUpTime = 2 * time.Second
	// recoveryTime is the required time within which requests are served again after the
	// last fault.
	recoveryTime = 12 * time.Second
	// measureTime is how long the served attempts are counted after recoveryTime.
	measureTime = 2 * time.Second
)

func runSeed(t *testing.T, seed int64) {
	runSeedWith(t, seed, func(context.Context, *fleet, *operator) {})
}

// runSeedWith plays a seed. It calls meanwhile beside the faults, with a context that ends with them.
func runSeedWith(t *testing.T, seed int64, meanwhile func(context.Context, *fleet, *operator)) (*fleet, *history) {
	f := newFleet(t, seed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.start(ctx)
	h := &history{}
	h.observe(f.group)
	o := newOperator(f, h)
	o.start(ctx, t)
	stopCallers := startCallers(ctx, f, h, workloads, seed)
	sleep(ctx, warmUpTime)
	s := newSchedule(f, o, seed)
	h.faultsStartedAt = time.Now()
	s.injectFaultsBeside(ctx, *faultTime, meanwhile)
	h.faultsEndedAt = time.Now()
	sleep(ctx, recoveryTime+measureTime)
	h.endedAt = time.Now()
	stopCallers()
	o.readFinalVersion(ctx, t)
	h.commits = f.group.Commits()
	h.promotionOrders = f.infrastructure.PromotionOrders()
	h.unexpectedExits = f.unexpectedExits()
	h.cutsAllowed = s.allowsUnplanned
	t.Logf("seed %d: %d attempts, %d served, %d runs (%d prepared), %d commits, %d orders to promote, faults: %s",
		seed, len(h.attempts), h.succeededCount(), len(h.executions), h.executedCount(), len(h.commits), len(h.promotionOrders), s.summary())
	for _, violation := range h.violations() {
		t.Error(violation)
	}
	return f, h
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
