package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jayloom/jayloom/standin/relay"
)

const (
	// plannedSeedInterval makes every tenth seed inject planned work only.
	plannedSeedInterval = 10
	// diskRecoveryTime is how long a lost disk still counts as lost after all nodes with a
	// disk are ready again.
	diskRecoveryTime = 4 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 400 * time.Millisecond
	// maxFaultDuration is the longest time that a fault lasts.
	maxFaultDuration = 4 * time.Second
)

// fault is a disturbance that run injects; run returns when it is over.
type fault struct {
	name string
	// planned marks maintenance work, which must leave no request unanswered.
	planned bool
	run     func(s *schedule, r *rand.Rand, duration time.Duration)
}

var faults = []fault{
	{"node_killed", false, (*schedule).killNode},
	{"node_stopped", false, (*schedule).stopNode},
	{"nodes_killed_together", false, (*schedule).killAllNodes},
	{"node_terminated", true, (*schedule).terminateNode},
	{"node_lost_disk", false, (*schedule).loseDisk},
	{"node_silenced", false, (*schedule).silenceNode},
	{"node_delayed", false, (*schedule).delayNode},
	{"node_connections_reset", false, (*schedule).resetNode},
	{"server_crashed", false, (*schedule).crashServer},
	{"server_silenced", false, (*schedule).silenceServer},
	{"server_connections_reset", false, (*schedule).resetServer},
	{"server_answers_lost", false, (*schedule).loseAnswers},
	{"replica_lags", false, (*schedule).lagReplica},
	{"orders_late", false, (*schedule).delayOrders},
	{"settings_reread", true, (*schedule).rereadSettings},
	{"seeds_changed", true, (*schedule).changeSeeds},
	{"configuration_changed", true, (*schedule).changeConfiguration},
	{"operators_race", true, (*schedule).raceOperators},
	{"key_withdrawn", true, (*schedule).withdrawKey},
}

// schedule injects overlapping faults in an order and at times that a seed determines.
type schedule struct {
	fleet           *fleet
	operator        *operator
	random          *rand.Rand
	allowsUnplanned bool
	running         sync.WaitGroup
	faultCounts     map[string]int
	// processLocks serializes the faults that start, stop or pause the process of a node.
	processLocks map[*process]*sync.Mutex
	// diskLossLock is held while a disk is lost: only one loss at a time is tolerated.
	diskLossLock sync.Mutex
}

func newSchedule(f *fleet, o *operator, seed int64) *schedule {
	s := &schedule{
		fleet: f, operator: o, random: rand.New(rand.NewSource(seed)), allowsUnplanned: seed%plannedSeedInterval != 0,
		faultCounts: map[string]int{}, processLocks: map[*process]*sync.Mutex{},
	}
	for _, p := range f.nodes {
		s.processLocks[p] = &sync.Mutex{}
	}
	return s
}

// injectFaults starts faults for the given time and returns when all are over and the
// relays are healed.
func (s *schedule) injectFaults(ctx context.Context, length time.Duration) {
	candidates := faults
	if !s.allowsUnplanned {
		candidates = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !f.planned })
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := candidates[s.random.Intn(len(candidates))]
		// Each fault has its own random source, so that how many numbers it draws does not
		// change the other faults.
		faultRandom := rand.New(rand.NewSource(s.random.Int63()))
		duration := time.Duration(faultRandom.Int63n(int64(maxFaultDuration)))
		s.faultCounts[f.name]++
		s.running.Go(func() { f.run(s, faultRandom, duration) })
		sleep(ctx, time.Duration(s.random.ExpFloat64()*float64(meanFaultInterval)))
	}
	s.running.Wait()
	for _, p := range s.fleet.nodes {
		p.relay.Heal()
	}
	for _, u := range s.fleet.upstreams {
		u.relay.Heal()
	}
}

// injectFaultsBeside injects faults while meanwhile runs, and returns when both are over.
func (s *schedule) injectFaultsBeside(ctx context.Context, length time.Duration, meanwhile func(context.Context, *fleet, *operator)) {
	ctx, cancel := context.WithCancel(ctx)
	var beside sync.WaitGroup
	beside.Go(func() { meanwhile(ctx, s.fleet, s.operator) })
	s.injectFaults(ctx, length)
	cancel()
	beside.Wait()
}

func (s *schedule) summary() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(s.faultCounts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, s.faultCounts[name]))
	}
	return strings.Join(parts, ", ")
}

// restart stops the process of a node with a signal, calls meanwhile, and starts the
// process again after the given downtime.
func (s *schedule) restart(p *process, sig syscall.Signal, down time.Duration, meanwhile func()) {
	s.processLocks[p].Lock()
	defer s.processLocks[p].Unlock()
	p.stop(sig)
	if meanwhile != nil {
		meanwhile()
	}
	time.Sleep(down)
	p.start()
}

func (s *schedule) killNode(r *rand.Rand, lasts time.Duration) {
	s.restart(s.fleet.randomNode(r), syscall.SIGKILL, max(restartDelay, lasts), nil)
}

func (s *schedule) killAllNodes(*rand.Rand, time.Duration) {
	var all sync.WaitGroup
	for _, p := range s.fleet.nodes {
		all.Go(func() { s.restart(p, syscall.SIGKILL, restartDelay, nil) })
	}
	all.Wait()
}

func (s *schedule) terminateNode(r *rand.Rand, _ time.Duration) {
	s.restart(s.fleet.randomNode(r), syscall.SIGTERM, restartDelay, nil)
}

// loseDisk empties the disk of a node. No other disk is lost until the node has caught up.
func (s *schedule) loseDisk(r *rand.Rand, lasts time.Duration) {
	if !s.diskLossLock.TryLock() {
		return
	}
	defer s.diskLossLock.Unlock()
	p := s.fleet.nodes[r.Intn(diskNodeCount)]
	s.restart(p, syscall.SIGKILL, max(restartDelay, lasts), p.removeData)
	s.waitForDiskNodes()
	time.Sleep(diskRecoveryTime)
}

// waitForDiskNodes waits until all nodes with a disk are ready: only then a lost disk
// counts as replaced.
func (s *schedule) waitForDiskNodes() {
	for {
		ready := 0
		for _, p := range s.fleet.nodes[:diskNodeCount] {
			if p.isReady() {
				ready++
			}
		}
		if ready == diskNodeCount {
			return
		}
		time.Sleep(restartDelay)
	}
}

func (s *schedule) stopNode(r *rand.Rand, lasts time.Duration) {
	p := s.fleet.randomNode(r)
	s.processLocks[p].Lock()
	defer s.processLocks[p].Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	p.signal(syscall.SIGCONT)
}

func randomDirection(r *rand.Rand) relay.Direction {
	return []relay.Direction{relay.Up, relay.Down, relay.Both}[r.Intn(3)]
}

func silenceRelay(l *relay.Relay, r *rand.Rand, lasts time.Duration) {
	if err := l.Cut(randomDirection(r)); err == nil {
		time.Sleep(lasts)
		l.Heal()
	}
}

func (s *schedule) silenceNode(r *rand.Rand, lasts time.Duration) {
	silenceRelay(s.fleet.randomNode(r).relay, r, lasts)
}

func (s *schedule) delayNode(r *rand.Rand, lasts time.Duration) {
	l := s.fleet.randomNode(r).relay
	if err := l.Delay(randomDirection(r), time.Duration(r.Int63n(int64(300*time.Millisecond)))); err == nil {
		time.Sleep(lasts)
		l.Heal()
	}
}

func (s *schedule) resetNode(r *rand.Rand, _ time.Duration) {
	s.fleet.randomNode(r).relay.Drop()
}

func (s *schedule) randomServer(r *rand.Rand) *upstream {
	return s.fleet.upstreams[r.Intn(len(s.fleet.upstreams))]
}

func (s *schedule) crashServer(r *rand.Rand, lasts time.Duration) {
	u := s.randomServer(r)
	if u.Stopped() {
		return
	}
	u.Stop()
	time.Sleep(lasts)
	if err := u.Start(); err != nil {
		s.fleet.t.Error(err)
	}
}

func (s *schedule) silenceServer(r *rand.Rand, lasts time.Duration) {
	silenceRelay(s.randomServer(r).relay, r, lasts)
}

func (s *schedule) resetServer(r *rand.Rand, _ time.Duration) {
	s.randomServer(r).relay.Drop()
}

func (s *schedule) loseAnswers(r *rand.Rand, lasts time.Duration) {
	u := s.randomServer(r)
	u.SetAnswerLoss(0.2)
	time.Sleep(lasts)
	u.SetAnswerLoss(0)
}

func (s *schedule) lagReplica(r *rand.Rand, lasts time.Duration) {
	u := s.randomServer(r)
	u.SetLag(time.Duration(r.Int63n(int64(2 * time.Second))))
	time.Sleep(lasts)
	u.SetLag(replicaLag)
}

func (s *schedule) delayOrders(r *rand.Rand, lasts time.Duration) {
	s.fleet.infrastructure.SetLatePromotions(0.5, time.Duration(2+r.Intn(4))*time.Second)
	time.Sleep(lasts)
	s.fleet.infrastructure.SetLatePromotions(0, 0)
}

func (s *schedule) rereadSettings(r *rand.Rand, _ time.Duration) {
	s.fleet.randomNode(r).signal(syscall.SIGHUP)
}

// changeSeeds lists some nodes, with or without a disk, as the seeds.
func (s *schedule) changeSeeds(r *rand.Rand, _ time.Duration) {
	var seeds []*process
	for _, i := range r.Perm(len(s.fleet.nodes))[:min(diskNodeCount, len(s.fleet.nodes))] {
		seeds = append(seeds, s.fleet.nodes[i])
	}
	s.fleet.changeSeeds(seeds...)
}

func (s *schedule) changeConfiguration(*rand.Rand, time.Duration) {
	s.operator.changeConfiguration(func(*plan) {})
}

func (s *schedule) raceOperators(*rand.Rand, time.Duration) {
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() { s.operator.changeConfiguration(func(*plan) {}) })
	}
	both.Wait()
}

func (s *schedule) withdrawKey(_ *rand.Rand, lasts time.Duration) {
	s.operator.changeConfiguration(func(p *plan) { p.spareKey = false })
	time.Sleep(lasts)
	s.operator.changeConfiguration(func(p *plan) { p.spareKey = true })
}
