package load

import (
	"context"
	"crypto/rand"
	"strings"
	"sync"
	"syscall"
	"time"
)

// queueCapacity bounds the arrivals of one team that wait for a session. Arrivals
// beyond it are reported as unsent. A run whose targets answer stays far below it.
const queueCapacity = 1 << 16

// run is the state of one load run.
type run struct {
	config   Config
	profile  Profile
	id       string
	start    time.Time
	teams    []*teamState
	recorder recorder
}

// teamState is the state of a team during a run.
type teamState struct {
	Team
	index int
	queue chan arrival

	mu           sync.Mutex
	pinnedTarget int // index of the target, or -1 for all
	moveCount    uint64
}

func (t *teamState) currentTarget() (int, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pinnedTarget, t.moveCount
}

func (t *teamState) moveTo(target int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pinnedTarget = target
	t.moveCount++
}

func newRun(c Config) *run {
	// The id distinguishes the rows of several runs.
	r := &run{config: c, profile: c.Profile, id: strings.ToLower(rand.Text()[:8])}
	for i, t := range c.Profile.Teams {
		state := &teamState{Team: t, index: i, queue: make(chan arrival, queueCapacity), pinnedTarget: -1}
		if target, ok := c.PinnedTargets[t.Name]; ok {
			state.pinnedTarget = target
		}
		r.teams = append(r.teams, state)
	}
	return r
}

func (r *run) elapsed() time.Duration { return time.Since(r.start) }

// sleepUntil waits until at, relative to the start of the run. It returns false if
// ctx ends first.
func (r *run) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - r.elapsed())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// maxSleep bounds one blocking sleep, so that the end of ctx is noticed.
const maxSleep = 50 * time.Millisecond

// sleepPrecisely is sleepUntil with nanosleep. Timers of the Go runtime fire up to
// 1 ms late, which would count as latency.
func (r *run) sleepPrecisely(ctx context.Context, at time.Duration) bool {
	for ctx.Err() == nil {
		left := at - r.elapsed()
		if left <= 0 {
			return true
		}
		ts := syscall.NsecToTimespec(int64(min(left, maxSleep)))
		// A signal ends the sleep early; the loop then sleeps again.
		_ = syscall.Nanosleep(&ts, nil)
	}
	return false
}

// arrivalRate returns a team's requests per second as a function of time.
func (r *run) arrivalRate(t *teamState) func(time.Duration) float64 {
	rate := r.config.Rate * t.Weight
	if t.Name == r.config.BurstTeam {
		rate *= r.config.BurstFactor
	}
	return func(time.Duration) float64 { return rate }
}

// Run generates load on the targets, checks the acknowledged writes, and returns
// the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	r := newRun(c)
	before, err := fetchAllMetrics(ctx, c.MetricsURLs)
	if err != nil {
		return nil, err
	}
	events := r.execute(ctx)
	report := r.buildReport(events)
	after, err := fetchAllMetrics(ctx, c.MetricsURLs)
	if err != nil {
		return nil, err
	}
	report.ReplicaReads = replicaShares(c.ReadsMetric, before, after)
	if len(c.UpstreamGroups) == 0 {
		return report, nil
	}
	stored, err := r.readStored(ctx)
	if err != nil {
		return nil, err
	}
	report.Checks = checkRecords(r.id, r.recorder.records, stored)
	return report, nil
}

// execute runs sessions, arrivals and the event schedule until the duration has
// passed and every request has ended.
func (r *run) execute(ctx context.Context) []EventResult {
	sessions := r.openSessions(ctx)
	clockSessions := r.newClockSessions()
	r.start = time.Now()
	var workers, generators sync.WaitGroup
	for _, s := range sessions {
		workers.Go(func() { s.processQueue(ctx) })
	}
	for _, s := range clockSessions {
		workers.Go(func() { s.runClockUpdates(ctx) })
	}
	for _, t := range r.teams {
		generators.Go(func() { r.queueArrivals(ctx, t) })
	}
	events := make(chan []EventResult, 1)
	scheduleCtx, cancel := context.WithCancel(ctx)
	go func() { events <- r.runSchedule(scheduleCtx) }()
	generators.Wait()
	workers.Wait()
	cancel()
	return <-events
}

// openSessions connects all sessions before the run, so that the run does not start
// with a burst of new connections.
func (r *run) openSessions(ctx context.Context) []*session {
	ctx, cancel := context.WithTimeout(ctx, r.config.RequestTimeout)
	defer cancel()
	var sessions []*session
	var connecting sync.WaitGroup
	for _, t := range r.teams {
		for i := range r.config.SessionsPerTeam {
			s := newSession(r, t, i)
			sessions = append(sessions, s)
			// A session that cannot connect tries again with its first request,
			// which then records the failure.
			connecting.Go(func() { _ = s.connect(ctx) })
		}
	}
	connecting.Wait()
	return sessions
}

// queueArrivals queues the team's arrivals at their scheduled times.
func (r *run) queueArrivals(ctx context.Context, t *teamState) {
	defer close(t.queue)
	arrivals := newArrivals(r.config.Seed, t.index, r.profile.Mix, r.arrivalRate(t))
	for {
		a := arrivals.next()
		if a.at > r.config.Duration || !r.sleepPrecisely(ctx, a.at) {
			return
		}
		select {
		case t.queue <- a:
		default:
			r.recorder.add(record{team: t.index, kind: a.kind, outcome: Unsent, scheduled: a.at, dequeued: a.at, sent: a.at, done: a.at})
		}
	}
}
