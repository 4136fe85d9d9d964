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
	// plannedEach is how often a seed plays planned work only: every tenth.
	plannedEach = 10
	// catchUp is how long a disk that was lost still counts as lost.
	catchUp = 4 * time.Second
	// meanGap is the mean time between the starts of two faults.
	meanGap = 400 * time.Millisecond
	// longest is the longest a fault lasts.
	longest = 4 * time.Second
)

// fault is something that goes wrong for a while. It returns when it is over.
type fault struct {
	name string
	// planned work may cut no request.
	planned bool
	run     func(s *schedule, r *rand.Rand, lasts time.Duration)
}

var faults = []fault{
	{"node_killed", false, (*schedule).killNode},
	{"node_stopped", false, (*schedule).stopNode},
	{"nodes_killed_together", false, (*schedule).killAll},
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
	{"settings_reread", true, (*schedule).hangUp},
	{"configuration_changed", true, (*schedule).changeConfiguration},
	{"operators_race", true, (*schedule).raceOperators},
	{"key_withdrawn", true, (*schedule).withdrawKey},
}

// schedule plays faults that a seed has drawn. They overlap.
type schedule struct {
	fleet     *fleet
	operator  *operator
	random    *rand.Rand
	unplanned bool
	running   sync.WaitGroup
	played    map[string]int
	// busy serializes what starts and ends the process of a node.
	busy map[*process]*sync.Mutex
	// disks is held while a disk is lost, because one may be at a time.
	disks sync.Mutex
}

func newSchedule(f *fleet, o *operator, seed int64) *schedule {
	s := &schedule{
		fleet: f, operator: o, random: rand.New(rand.NewSource(seed)), unplanned: seed%plannedEach != 0,
		played: map[string]int{}, busy: map[*process]*sync.Mutex{},
	}
	for _, p := range f.nodes {
		s.busy[p] = &sync.Mutex{}
	}
	return s
}

// play starts faults for a time and returns when all are over and mended.
func (s *schedule) play(ctx context.Context, length time.Duration) {
	candidates := faults
	if !s.unplanned {
		candidates = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !f.planned })
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := candidates[s.random.Intn(len(candidates))]
		// Each fault draws from a seed of its own, so that its end does not change others.
		own := rand.New(rand.NewSource(s.random.Int63()))
		lasts := time.Duration(own.Int63n(int64(longest)))
		s.played[f.name]++
		s.running.Go(func() { f.run(s, own, lasts) })
		wait(ctx, time.Duration(s.random.ExpFloat64()*float64(meanGap)))
	}
	s.running.Wait()
	for _, p := range s.fleet.nodes {
		p.relay.Heal()
	}
	for _, u := range s.fleet.upstreams {
		u.relay.Heal()
	}
}

func (s *schedule) summary() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(s.played)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, s.played[name]))
	}
	return strings.Join(parts, ", ")
}

// restart ends the process of a node with a signal and starts it again.
func (s *schedule) restart(p *process, sig syscall.Signal, down time.Duration, meanwhile func()) {
	s.busy[p].Lock()
	defer s.busy[p].Unlock()
	p.end(sig)
	if meanwhile != nil {
		meanwhile()
	}
	time.Sleep(down)
	p.start()
}

func (s *schedule) killNode(r *rand.Rand, lasts time.Duration) {
	s.restart(s.fleet.randomNode(r), syscall.SIGKILL, max(restartPause, lasts), nil)
}

func (s *schedule) killAll(*rand.Rand, time.Duration) {
	var all sync.WaitGroup
	for _, p := range s.fleet.nodes {
		all.Go(func() { s.restart(p, syscall.SIGKILL, restartPause, nil) })
	}
	all.Wait()
}

func (s *schedule) terminateNode(r *rand.Rand, _ time.Duration) {
	s.restart(s.fleet.randomNode(r), syscall.SIGTERM, restartPause, nil)
}

// loseDisk empties the disk of a node. No other one may be lost until it has caught up.
func (s *schedule) loseDisk(r *rand.Rand, lasts time.Duration) {
	if !s.disks.TryLock() {
		return
	}
	defer s.disks.Unlock()
	p := s.fleet.nodes[r.Intn(cores)]
	s.restart(p, syscall.SIGKILL, max(restartPause, lasts), p.loseDisk)
	s.untilCoreIsReady()
	time.Sleep(catchUp)
}

// untilCoreIsReady waits until all nodes with a disk serve: a disk counts as back only then.
func (s *schedule) untilCoreIsReady() {
	for {
		ready := 0
		for _, p := range s.fleet.nodes[:cores] {
			if p.ready() {
				ready++
			}
		}
		if ready == cores {
			return
		}
		time.Sleep(restartPause)
	}
}

func (s *schedule) stopNode(r *rand.Rand, lasts time.Duration) {
	p := s.fleet.randomNode(r)
	s.busy[p].Lock()
	defer s.busy[p].Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	p.signal(syscall.SIGCONT)
}

func direction(r *rand.Rand) relay.Direction {
	return []relay.Direction{relay.Up, relay.Down, relay.Both}[r.Intn(3)]
}

func silence(l *relay.Relay, r *rand.Rand, lasts time.Duration) {
	if err := l.Cut(direction(r)); err == nil {
		time.Sleep(lasts)
		l.Heal()
	}
}

func (s *schedule) silenceNode(r *rand.Rand, lasts time.Duration) {
	silence(s.fleet.randomNode(r).relay, r, lasts)
}

func (s *schedule) delayNode(r *rand.Rand, lasts time.Duration) {
	l := s.fleet.randomNode(r).relay
	if err := l.Delay(direction(r), time.Duration(r.Int63n(int64(300*time.Millisecond)))); err == nil {
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
	silence(s.randomServer(r).relay, r, lasts)
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

func (s *schedule) hangUp(r *rand.Rand, _ time.Duration) {
	s.fleet.randomNode(r).signal(syscall.SIGHUP)
}

func (s *schedule) changeConfiguration(*rand.Rand, time.Duration) {
	s.operator.change(func(*plan) {})
}

func (s *schedule) raceOperators(*rand.Rand, time.Duration) {
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() { s.operator.change(func(*plan) {}) })
	}
	both.Wait()
}

func (s *schedule) withdrawKey(_ *rand.Rand, lasts time.Duration) {
	s.operator.change(func(p *plan) { p.spareKey = false })
	time.Sleep(lasts)
	s.operator.change(func(p *plan) { p.spareKey = true })
}
