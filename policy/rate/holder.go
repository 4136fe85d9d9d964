package rate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// minReportInterval is the least time between reports, so that waiting requests do
	// not send one report each.
	minReportInterval = 10 * time.Millisecond
	// exhaustedReportInterval replaces minReportInterval while the bucket is empty. A
	// burst of a tenth of a second of rate then still lasts five reports.
	exhaustedReportInterval = 20 * time.Millisecond
	// exhaustedTTL bounds how long the allocator's statement that a bucket is empty
	// stays valid. While requests wait, a report every 20 ms renews it.
	exhaustedTTL = 150 * time.Millisecond
	// notUrgent is the value of urgentAt while no report is urgent.
	notUrgent = math.MaxInt64
)

// Holder holds a proxy's tokens. It is safe for concurrent use.
type Holder struct {
	// teams is replaced as a whole when a team is added, so that Take reads it
	// without a lock.
	teams atomic.Pointer[map[string]*teamTokens]
	addMu sync.Mutex
	// urgentAt is the time from which a report is urgent.
	urgentAt   atomic.Int64
	reportedAt atomic.Int64
	// streamStartedAt is the start of the stream; grants for earlier reports are ignored.
	streamStartedAt atomic.Int64
	lastGrant       grantTracker
	cfg             Config
}

// NewHolder returns a Holder without tokens. Its allocator must use the same
// configuration.
func NewHolder(cfg Config) *Holder {
	h := &Holder{cfg: cfg}
	h.teams.Store(&map[string]*teamTokens{})
	h.urgentAt.Store(notUrgent)
	h.reportedAt.Store(int64(-time.Hour))
	return h
}

// team returns a team's tokens and adds the team at its first use.
func (h *Holder) team(team string) *teamTokens {
	if t, ok := (*h.teams.Load())[team]; ok {
		return t
	}
	h.addMu.Lock()
	defer h.addMu.Unlock()
	current := *h.teams.Load()
	if t, ok := current[team]; ok {
		return t
	}
	next := make(map[string]*teamTokens, len(current)+1)
	for name, t := range current {
		next[name] = t
	}
	t := newTeamTokens(h.cfg)
	next[team] = t
	h.teams.Store(&next)
	return t
}

// Take uses one token and reports whether there was one.
func (h *Holder) Take(now time.Duration, team string) bool {
	t := h.team(team)
	t.mu.Lock()
	taken := t.take(now)
	urgent, interval := t.reportUrgent(), t.reportInterval(now)
	t.mu.Unlock()
	if urgent {
		h.scheduleUrgentReport(interval)
	}
	return taken
}

// scheduleUrgentReport makes the next report urgent once interval has passed since the
// last one.
func (h *Holder) scheduleUrgentReport(interval time.Duration) {
	at := h.reportedAt.Load() + int64(interval)
	for {
		current := h.urgentAt.Load()
		if current <= at || h.urgentAt.CompareAndSwap(current, at) {
			return
		}
	}
}

// Exhausted reports whether the allocator has recently reported the team's bucket as
// empty.
func (h *Holder) Exhausted(now time.Duration, team string) bool {
	t := h.team(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isExhausted(now)
}

// Urgent reports whether a report should be sent at once: requests wait, little of a
// grant is left, or unused tokens were revoked.
func (h *Holder) Urgent(now time.Duration) bool {
	return int64(now) >= h.urgentAt.Load()
}

// AddWaiting changes the number of requests that wait for a token.
func (h *Holder) AddWaiting(team string, delta int) {
	t := h.team(team)
	t.mu.Lock()
	t.waiting = max(0, t.waiting+int64(delta))
	t.mu.Unlock()
	if delta > 0 {
		h.scheduleUrgentReport(minReportInterval)
	}
}

// Report returns what the proxy uses, returns and wants. It returns unused tokens to
// the allocator, so it must be sent, in order with other reports of the stream.
func (h *Holder) Report(now time.Duration) []*controlpb.TokenDemand {
	h.reportedAt.Store(int64(now))
	h.urgentAt.Store(notUrgent)
	demands := h.lastGrant.reportEntry(now)
	for name, t := range *h.teams.Load() {
		t.mu.Lock()
		if d := t.buildReport(now); d != nil {
			d.Team = name
			demands = append(demands, d)
		}
		waiting, interval := t.waiting > 0, t.reportInterval(now)
		t.mu.Unlock()
		if waiting {
			h.scheduleUrgentReport(interval)
		}
	}
	return demands
}

// ApplyGrant adds a grant that answers the report sent at sentAt.
func (h *Holder) ApplyGrant(now, sentAt time.Duration, g *controlpb.TokenGrant) {
	if int64(sentAt) < h.streamStartedAt.Load() {
		// The report that started this stream has listed what the proxy holds.
		return
	}
	h.lastGrant.recordAnswer(now, g)
	if g.Team == "" {
		return
	}
	t := h.team(g.Team)
	t.mu.Lock()
	t.applyGrant(now, sentAt+time.Duration(g.LifetimeMs)*time.Millisecond, g)
	hasUnneeded := g.Exhausted && t.held > t.retainTarget(now)
	t.mu.Unlock()
	if hasUnneeded {
		// Other proxies wait for the revoked tokens. The allocator limits how often it
		// revokes.
		h.scheduleUrgentReport(0)
	}
}

// StartStream begins a new stream: totals restart, and grants of the earlier
// stream that arrive late are ignored.
func (h *Holder) StartStream(now time.Duration) {
	h.streamStartedAt.Store(int64(now))
	h.lastGrant.startStream()
	for _, t := range *h.teams.Load() {
		t.mu.Lock()
		t.startStream(now)
		t.mu.Unlock()
	}
	h.scheduleUrgentReport(0)
}
