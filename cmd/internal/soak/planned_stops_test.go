package soak

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// minStoppedNodes and maxStoppedNodes bound the number of nodes of a run.
	minStoppedNodes = 3
	maxStoppedNodes = 5
	// serverSlots and the work times make servers slow enough for queues at nodes and servers.
	serverSlots = 3
	minWork     = 8 * time.Millisecond
	maxWork     = 40 * time.Millisecond
	// longTransaction and maxPause make some transactions last until the connections are closed.
	// maxPause is below the idle timeout of transactions, 3 s.
	longTransaction = 10
	maxPause        = 2800 * time.Millisecond
	// maxStopGap is the longest time between two stops of a series.
	maxStopGap = 1500 * time.Millisecond
	// minSeriesInterval and maxSeriesInterval bound the time between the starts of two series.
	// A series takes up to 13 s, so that they overlap.
	minSeriesInterval = 5 * time.Second
	maxSeriesInterval = 8 * time.Second
	// minUptime is the time between a start of a node and its next stop.
	minUptime = time.Second
	// besideShare is the fraction of stops beside which the configuration changes, and of those
	// beside which a node gets a SIGHUP.
	besideShare = 0.3
	// maxBesideDelay is the longest time between a stop and what is done beside it.
	maxBesideDelay = 5 * time.Second
	// settleTime is how long after the last attempt a server may still get a statement.
	settleTime = time.Second
)

// stopWorkloads are the workloads of these runs: single statements and short transactions, which
// fill the queues, and transactions with pauses, which are open when their node stops.
var stopWorkloads = []workload{
	{"intake", largeTeam, largeKey, 0.6, 0.2, 14, shortTransaction, 0},
	{"intake", largeTeam, largeKey, 0.5, 0.9, 18, longTransaction, maxPause},
	{"lots", largeTeam, largeKey, 0.3, 0.2, 6, shortTransaction, 0},
	{"lots", largeTeam, spareKey, 0.3, 0.9, 10, longTransaction, maxPause},
	{"codes", largeTeam, largeKey, 0, 0.1, 4, shortTransaction, 0},
	{"codes", largeTeam, largeKey, 0, 0.9, 6, longTransaction, maxPause},
	{"lots", smallTeam, smallKey, 0.1, 0, 2, shortTransaction, 0},
}

// plannedStopSeeds are the seeds that CI plays.
var plannedStopSeeds = []int64{3}

// plannedStopChecks are the checks that hold while nothing but planned work is done.
var plannedStopChecks = []func(*index) []string{
	checkOrigin, checkResults, checkExactlyOnce, checkRefusals, checkFreshness, checkTransactions, checkPrepared, checkSetups,
	checkKeys, checkRate, checkConfiguration, checkFenceHolders, checkSentAfterDisconnect,
}

// plannedStopViolations returns what plannedStopChecks find, and every cut: the times of each
// may tell another cause.
func (x *index) plannedStopViolations() []string {
	return append(checkCuts(x), x.violationsOf(plannedStopChecks)...)
}

// Guards against a request that a server runs and that gets no answer, since its node was
// stopped by SIGTERM: nodes with requests in their queues and open transactions are stopped in
// series that overlap (issue 30).
func TestPlannedStopsCutNoRequest(t *testing.T) {
	for _, seed := range seedsOr(plannedStopSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runPlannedStops(t, seed) })
	}
}

func runPlannedStops(t *testing.T, seed int64) {
	random := rand.New(rand.NewSource(seed))
	l := layout{nodes: minStoppedNodes + random.Intn(maxStoppedNodes-minStoppedNodes+1), disks: diskNodeCount, maxLost: 1}
	f := newFleetOf(t, l, fmt.Sprintf("stops-seed-%d", seed))
	for _, s := range f.group.Servers() {
		s.SetSlots(serverSlots, minWork, maxWork)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.start(ctx)
	h := &history{}
	h.observe(f.group)
	o := newOperator(f, h)
	o.start(ctx, t)
	stopCallers := startCallers(ctx, f, h, stopWorkloads, seed)
	sleep(ctx, warmUpTime)
	newSchedule(f, o, seed).stopInSeries(ctx, *faultTime)
	stopCallers()
	sleep(ctx, settleTime)
	h.endedAt = time.Now()
	o.readFinalVersion(ctx, t)
	h.recordFleet(f)
	x := newIndex(h)
	t.Logf("seed %d: %d nodes, %d stops (%d ended by SIGKILL), %d configurations, %d attempts, %d served, %d runs (%d prepared), %s, %s", seed,
		len(f.nodes), len(h.stops), h.killedCount(), len(h.configurations), len(h.attempts), h.succeededCount(), len(h.executions), h.executedCount(), x.waitSummary(), x.cutSummary())
	for _, violation := range append(h.unexpectedExits, x.plannedStopViolations()...) {
		t.Error(violation)
	}
}

// recordFleet records what servers, infrastructure and processes show when the run is over.
func (h *history) recordFleet(f *fleet) {
	h.commits = f.group.Commits()
	h.promotionOrders = f.infrastructure.PromotionOrders()
	h.unexpectedExits = f.unexpectedExits()
	h.cutLines = f.readCutLines()
	for _, p := range f.nodes {
		p.mu.Lock()
		h.stops = append(h.stops, p.stops...)
		p.mu.Unlock()
	}
}

// killedCount returns the number of stops that ended with SIGKILL.
func (h *history) killedCount() int {
	n := 0
	for _, s := range h.stops {
		if s.killed {
			n++
		}
	}
	return n
}

// stopInSeries begins series of stops for the given time and returns when all nodes run again.
func (s *schedule) stopInSeries(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		order := s.random.Perm(len(s.fleet.nodes))
		seriesRandom := rand.New(rand.NewSource(s.random.Int63()))
		s.running.Go(func() { s.stopEach(ctx, order, seriesRandom) })
		sleep(ctx, minSeriesInterval+time.Duration(s.random.Int63n(int64(maxSeriesInterval-minSeriesInterval))))
	}
	s.running.Wait()
}

// stopEach stops each node and starts it again, with a gap between the stops that is shorter
// than a stop.
func (s *schedule) stopEach(ctx context.Context, order []int, r *rand.Rand) {
	var all sync.WaitGroup
	for _, i := range order {
		p, other := s.fleet.nodes[i], s.fleet.randomNode(r)
		all.Go(func() { s.stopAndStart(ctx, p) })
		delay := time.Duration(r.Int63n(int64(maxBesideDelay)))
		if r.Float64() < besideShare {
			all.Go(func() { sleep(ctx, delay); s.operator.changeConfiguration(func(*plan) {}) })
		}
		if r.Float64() < besideShare {
			all.Go(func() { sleep(ctx, delay); p.reread(); other.reread() })
		}
		sleep(ctx, time.Duration(r.Int63n(int64(maxStopGap))))
	}
	all.Wait()
}

func (s *schedule) stopAndStart(ctx context.Context, p *process) {
	s.processLocks[p].Lock()
	defer s.processLocks[p].Unlock()
	p.stop(syscall.SIGTERM)
	sleep(ctx, restartDelay)
	p.start()
	sleep(ctx, minUptime)
}

// reread sends SIGHUP to a process that stops or is ready. One that starts may not handle the
// signal yet and would end by it.
func (p *process) reread() {
	p.mu.Lock()
	stopping := p.exitExpected
	p.mu.Unlock()
	if stopping || p.isReady() {
		p.signal(syscall.SIGHUP)
	}
}
