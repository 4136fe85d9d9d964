package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/control/probe"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/policy/failover"
	"github.com/jayloom/jayloom/policy/rate"
	"github.com/jayloom/jayloom/policy/share"
)

const (
	// eventQueue is the number of events that may wait for the leader's goroutine.
	eventQueue = 1024
	// tickInterval drives the timers of the policies.
	tickInterval = 50 * time.Millisecond
	// attendanceLease bounds how long a proxy serves without hearing from control.
	attendanceLease = 5000 * time.Millisecond
	// primaryLease bounds how long a proxy acknowledges writes without hearing
	// from control.
	primaryLease = 2500 * time.Millisecond
)

// event is anything that the leader's goroutine handles.
type event interface{}

type (
	reportReceived struct {
		attendance *attendance
		report     *controlpb.Report
		at         time.Duration
	}
	attendanceEnded struct{ attendance *attendance }
	probed          struct{ result probe.Result }
	// ask runs a function on the leader's goroutine, for handlers that need a
	// consistent look at its state.
	ask struct {
		run  func()
		done chan struct{}
	}
)

// LeaderConfig is what NewLeader needs.
type LeaderConfig struct {
	Settings settings.Control
	Dialer   probe.Dialer
	Log      *logrus.Entry
}

// Leader owns what only the leading control VM decides and nobody replicates:
// attendance of proxies, request tokens, connection shares, upstream health and
// the steps of promotions. All fields below events belong to its goroutine.
type Leader struct {
	settings   settings.Control
	log        *logrus.Entry
	dialer     probe.Dialer
	replicator replica.Replicator
	store      *Store

	events  chan event
	stopped chan struct{}
	// changed wakes the goroutine after the store was changed.
	changed chan struct{}
	leading atomic.Bool

	mu struct {
		sync.Mutex
		// leadership holds changes that the goroutine has not handled yet.
		leadership []StoreEvent
	}

	term        uint64
	attending   map[string]*attendance // by proxy name
	lastReports map[string]time.Duration
	nextStream  uint64
	view        *controlpb.FleetState // newest state that the policies have seen
	tokens      *rate.Allocator
	shares      *share.Allocator
	groups      *failover.Machine
	watcher     *probe.Prober
	local       []*controlpb.Event // recent decisions that are not replicated
}

// NewLeader returns a leader that is to be bound and run.
func NewLeader(c LeaderConfig) *Leader {
	return &Leader{
		settings:    c.Settings,
		log:         c.Log,
		dialer:      c.Dialer,
		events:      make(chan event, eventQueue),
		stopped:     make(chan struct{}),
		changed:     make(chan struct{}, 1),
		attending:   map[string]*attendance{},
		lastReports: map[string]time.Duration{},
	}
}

// Notify is the store's callback; it never blocks.
func (l *Leader) Notify(e StoreEvent) {
	if e.LeadershipChanged {
		l.mu.Lock()
		l.mu.leadership = append(l.mu.leadership, e)
		l.mu.Unlock()
		if !e.Leading {
			// Handlers stop answering at once, the goroutine follows.
			l.leading.Store(false)
		}
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run handles events until ctx ends.
func (l *Leader) Run(ctx context.Context, replicator replica.Replicator, store *Store) {
	l.replicator = replicator
	l.store = store
	defer close(l.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.follow()
			return
		case <-l.changed:
			l.handleStore(ctx)
		case <-ticker.C:
			l.handleTick(ctx)
		case e := <-l.events:
			l.handle(ctx, e)
		}
	}
}

// post hands an event to the goroutine; it reports false when that has ended.
func (l *Leader) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.stopped:
		return false
	}
}

// inspect runs f on the goroutine and waits for it.
func (l *Leader) inspect(ctx context.Context, f func()) {
	request := ask{run: f, done: make(chan struct{})}
	if !l.post(request) {
		return
	}
	select {
	case <-request.done:
	case <-l.stopped:
	case <-ctx.Done():
	}
}

func (l *Leader) leads() bool {
	return l.leading.Load()
}

func (l *Leader) handle(ctx context.Context, e event) {
	switch typed := e.(type) {
	case reportReceived:
		l.handleReport(ctx, typed)
	case attendanceEnded:
		l.handleAttendanceEnded(typed.attendance)
	case probed:
		l.handleProbe(ctx, typed.result)
	case proposalDone:
		l.handleProposalDone(ctx, typed)
	case callDone:
		l.step(ctx, clock.Now(), typed.event)
	case ask:
		typed.run()
		close(typed.done)
	}
}

func (l *Leader) handleTick(ctx context.Context) {
	if !l.leads() {
		return
	}
	now := clock.Now()
	l.tokens.Expire(now)
	l.shares.Expire(now)
	l.step(ctx, now, failover.Tick{})
	l.pushGrants(now)
}

func (l *Leader) handleStore(ctx context.Context) {
	l.mu.Lock()
	pending := l.mu.leadership
	l.mu.leadership = nil
	l.mu.Unlock()
	for _, e := range pending {
		l.handleLeadership(ctx, e)
	}
	if l.leads() {
		l.handleChanges(ctx)
	}
}

func (l *Leader) handleLeadership(ctx context.Context, e StoreEvent) {
	if l.watcher != nil {
		l.follow()
	}
	if e.Leading {
		l.lead(ctx, e.Term)
	}
}

// lead starts from the worst case: whatever an earlier leader may have granted is
// taken as granted until it is reported or has lapsed.
func (l *Leader) lead(ctx context.Context, term uint64) {
	now := clock.Now()
	view := l.store.View()
	proxies := sortedKeys(view.Proxies)
	l.term = term
	l.view = nil
	l.tokens = rate.NewAllocator(rate.DefaultConfig())
	l.tokens.StartLeading(now, proxies)
	l.shares = share.NewAllocator(shareConfig(l.settings))
	l.shares.StartLeading(now, proxies)
	l.groups = failover.New(failoverConfig(l.settings))
	l.watcher = probe.New(l.dialer, milliseconds(l.settings.ProbeIntervalMs),
		milliseconds(l.settings.ProbeTimeoutMs), func(r probe.Result) { l.post(probed{r}) })
	leadershipGained.Inc()
	l.log.WithField("term", term).Info("leadership gained")
	l.leading.Store(true)
	l.step(ctx, now, failover.Elected{State: view})
	l.initialize(ctx, view)
	l.handleChanges(ctx)
}

// follow gives up everything that belongs to leadership.
func (l *Leader) follow() {
	l.leading.Store(false)
	if l.watcher == nil {
		return
	}
	// Probes post to this goroutine, so waiting for them here could block both.
	go l.watcher.Stop()
	l.watcher = nil
	for _, a := range l.attending {
		a.cancel()
	}
	clear(l.attending)
	clear(l.lastReports)
	leadershipLost.Inc()
	l.log.WithField("term", l.term).Info("leadership lost")
}

func failoverConfig(s settings.Control) failover.Config {
	config := failover.DefaultConfig()
	config.SuspectAfter = milliseconds(s.SuspectAfterMs)
	return config
}

func shareConfig(s settings.Control) share.Config {
	config := share.DefaultConfig()
	config.ReservedConnections = s.ReservedConnections
	return config
}

func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}
