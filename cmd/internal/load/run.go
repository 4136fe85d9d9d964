package load

import (
	"context"
	"crypto/rand"
	"strings"
	"sync"
	"syscall"
	"time"
)

// queueLength bounds the arrivals of one team that wait for a session. What does
// not fit is reported as unsent; it is far above what a run that answers builds up.
const queueLength = 1 << 16

// run is one run in progress.
type run struct {
	config   Config
	profile  Profile
	id       string
	start    time.Time
	teams    []*teamState
	recorder recorder
}

// teamState is a team during a run.
type teamState struct {
	Team
	index int
	queue chan arrival

	mu     sync.Mutex
	pinned int // a target, or -1
	moves  uint64
}

func (t *teamState) target() (int, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pinned, t.moves
}

func (t *teamState) move(target int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pinned = target
	t.moves++
}

func newRun(c Config) *run {
	// The id keeps the rows of several runs apart.
	r := &run{config: c, profile: c.Profile, id: strings.ToLower(rand.Text()[:8])}
	for i, t := range c.Profile.Teams {
		state := &teamState{Team: t, index: i, queue: make(chan arrival, queueLength), pinned: -1}
		if target, ok := c.PinnedTargets[t.Name]; ok {
			state.pinned = target
		}
		r.teams = append(r.teams, state)
	}
	return r
}

func (r *run) elapsed() time.Duration { return time.Since(r.start) }

// sleepUntil waits for a time of the run; it is false if ctx ended before.
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

// sleepSlice bounds one blocking sleep, after which ctx is looked at.
const sleepSlice = 50 * time.Millisecond

// sleepPrecisely is sleepUntil by nanosleep. Timers of the Go runtime wake up to
// 1 ms late, which would be counted as latency.
func (r *run) sleepPrecisely(ctx context.Context, at time.Duration) bool {
	for ctx.Err() == nil {
		left := at - r.elapsed()
		if left <= 0 {
			return true
		}
		ts := syscall.NsecToTimespec(int64(min(left, sleepSlice)))
		// A signal ends the sleep early; the loop then sleeps again.
		_ = syscall.Nanosleep(&ts, nil)
	}
	return false
}

// rate returns a team's requests per second.
func (r *run) rate(t *teamState) func(time.Duration) float64 {
	rate := r.config.Rate * t.Weight
	if t.Name == r.config.BurstTeam {
		rate *= r.config.BurstFactor
	}
	return func(time.Duration) float64 { return rate }
}

// Run puts the load on the targets, checks what was acknowledged, and reports.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	r := newRun(c)
	before, err := readMetrics(ctx, c.MetricsURLs)
	if err != nil {
		return nil, err
	}
	events := r.drive(ctx)
	report := r.report(events)
	after, err := readMetrics(ctx, c.MetricsURLs)
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
	report.Checks = check(r.id, r.recorder.records, stored)
	return report, nil
}

// drive runs sessions, arrivals and the schedule until the duration has passed
// and every request has ended.
func (r *run) drive(ctx context.Context) []EventResult {
	all := r.openSessions(ctx)
	clocks := r.clockSessions()
	r.start = time.Now()
	var sessions, generators sync.WaitGroup
	for _, s := range all {
		sessions.Go(func() { s.serve(ctx) })
	}
	for _, s := range clocks {
		sessions.Go(func() { s.updateClock(ctx) })
	}
	for _, t := range r.teams {
		generators.Go(func() { r.generate(ctx, t) })
	}
	events := make(chan []EventResult, 1)
	during, cancel := context.WithCancel(ctx)
	go func() { events <- r.disturb(during) }()
	generators.Wait()
	sessions.Wait()
	cancel()
	return <-events
}

// openSessions connects all sessions before the run, so that its start shows no
// rush of new connections.
func (r *run) openSessions(ctx context.Context) []*session {
	ctx, cancel := context.WithTimeout(ctx, r.config.RequestTimeout)
	defer cancel()
	var all []*session
	var opening sync.WaitGroup
	for _, t := range r.teams {
		for i := range r.config.SessionsPerTeam {
			s := newSession(r, t, i)
			all = append(all, s)
			// A session that cannot connect tries again with its first request,
			// where the failure counts.
			opening.Go(func() { _ = s.connect(ctx) })
		}
	}
	opening.Wait()
	return all
}

// generate queues the team's arrivals at their times.
func (r *run) generate(ctx context.Context, t *teamState) {
	defer close(t.queue)
	arrivals := newArrivals(r.config.Seed, t.index, r.profile.Mix, r.rate(t))
	for {
		a := arrivals.next()
		if a.at > r.config.Duration || !r.sleepPrecisely(ctx, a.at) {
			return
		}
		select {
		case t.queue <- a:
		default:
			r.recorder.add(record{team: t.index, kind: a.kind, outcome: Unsent, at: a.at, taken: a.at, sent: a.at, done: a.at})
		}
	}
}
