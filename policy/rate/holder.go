package rate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// reportGap is the least time between reports, so that waiting requests do not
	// send one report each.
	reportGap = 10 * time.Millisecond
	// exhaustedReportGap applies while the bucket is empty. A burst of a tenth of a
	// second of rate then still lasts five reports.
	exhaustedReportGap = 20 * time.Millisecond
	// exhaustedFor bounds how long the owner's word is believed that a bucket is
	// empty. While requests wait, reports leave every 20 ms and renew it.
	exhaustedFor = 150 * time.Millisecond
	// notUrgent is the value of urgentAt while nothing is urgent.
	notUrgent = math.MaxInt64
)

// Holder holds a proxy's tokens. It is safe for concurrent use.
type Holder struct {
	// teams is replaced as a whole when a team is added, so that Take reads it
	// without a lock.
	teams atomic.Pointer[map[string]*holding]
	add   sync.Mutex
	// urgentAt is the time from which a report is urgent.
	urgentAt   atomic.Int64
	reportedAt atomic.Int64
	// streamAt is the start of the stream; grants for earlier reports are refused.
	streamAt atomic.Int64
	quiet    quietTime
	cfg      Config
	// answeredAt is when an owner last answered, whether it granted tokens or not.
	answeredAt atomic.Int64
}

// NewHolder returns a Holder without tokens. It keeps what an owner with the same
// configuration grants.
func NewHolder(cfg Config) *Holder {
	h := &Holder{cfg: cfg}
	h.teams.Store(&map[string]*holding{})
	h.urgentAt.Store(notUrgent)
	h.reportedAt.Store(int64(-time.Hour))
	return h
}

// holding returns a team's tokens, and adds the team at its first use.
func (h *Holder) holding(team string) *holding {
	if t, ok := (*h.teams.Load())[team]; ok {
		return t
	}
	h.add.Lock()
	defer h.add.Unlock()
	current := *h.teams.Load()
	if t, ok := current[team]; ok {
		return t
	}
	next := make(map[string]*holding, len(current)+1)
	for name, t := range current {
		next[name] = t
	}
	t := newHolding(h.cfg)
	next[team] = t
	h.teams.Store(&next)
	return t
}

// Take uses one token and tells whether there was one.
func (h *Holder) Take(now time.Duration, team string) bool {
	t := h.holding(team)
	t.mu.Lock()
	taken := t.take(now) || t.takeStandby(now, time.Duration(h.answeredAt.Load()))
	urgent, gap := t.urgent(), t.gap(now)
	t.mu.Unlock()
	if urgent {
		h.raise(gap)
	}
	return taken
}

// Refund gives back a token whose request has not run. It is kept for a moment, for the
// request that follows.
func (h *Holder) Refund(now time.Duration, team string) {
	t := h.holding(team)
	t.mu.Lock()
	t.giveToken(now)
	t.mu.Unlock()
}

// raise makes the next report urgent once a gap since the last one has passed.
func (h *Holder) raise(gap time.Duration) {
	at := h.reportedAt.Load() + int64(gap)
	for {
		current := h.urgentAt.Load()
		if current <= at || h.urgentAt.CompareAndSwap(current, at) {
			return
		}
	}
}

// RecordAnswer notes that the owner has answered a report.
func (h *Holder) RecordAnswer(now time.Duration) {
	h.answeredAt.Store(int64(now))
}

// Exhausted tells whether the owner has said lately that the team's bucket is empty.
func (h *Holder) Exhausted(now time.Duration, team string) bool {
	t := h.holding(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isExhausted(now)
}

// Urgent tells whether a report is due at once: requests wait, little of a grant is
// left, or unused tokens were recalled.
func (h *Holder) Urgent(now time.Duration) bool {
	return int64(now) >= h.urgentAt.Load()
}

// AddWaiting changes the number of requests that wait for a token.
func (h *Holder) AddWaiting(team string, delta int) {
	t := h.holding(team)
	t.mu.Lock()
	t.waiting = max(0, t.waiting+int64(delta))
	t.mu.Unlock()
	if delta > 0 {
		h.raise(reportGap)
	}
}

// Report returns what the proxy uses, returns and wants. It returns unused tokens,
// so it must be sent, in order with other reports of the stream.
func (h *Holder) Report(now time.Duration) []*controlpb.TokenDemand {
	h.reportedAt.Store(int64(now))
	h.urgentAt.Store(notUrgent)
	demands := h.quiet.entry(now)
	for name, t := range *h.teams.Load() {
		t.mu.Lock()
		if d := t.report(now); d != nil {
			d.Team = name
			demands = append(demands, d)
		}
		waiting, gap := t.waiting > 0, t.gap(now)
		t.mu.Unlock()
		if waiting {
			h.raise(gap)
		}
	}
	return demands
}

// ApplyGrant takes over a grant that answers the report sent at sentAt.
func (h *Holder) ApplyGrant(now, sentAt time.Duration, g *controlpb.TokenGrant) {
	if int64(sentAt) < h.streamAt.Load() {
		// The report that started this stream has stated what the proxy holds.
		return
	}
	h.quiet.answered(now, g)
	if g.Team == "" {
		return
	}
	t := h.holding(g.Team)
	t.mu.Lock()
	t.grant(now, sentAt+time.Duration(g.LifetimeMs)*time.Millisecond, g)
	idle := g.Exhausted && t.held > t.keep(now)
	t.mu.Unlock()
	if idle {
		// Others wait for what was recalled; the owner bounds how often it recalls.
		h.raise(0)
	}
}

// StartStream begins a new stream: totals restart, and grants of the earlier
// stream that arrive late are refused.
func (h *Holder) StartStream(now time.Duration) {
	h.streamAt.Store(int64(now))
	h.quiet.startStream()
	for _, t := range *h.teams.Load() {
		t.mu.Lock()
		t.startStream(now)
		t.mu.Unlock()
	}
	h.raise(0)
}
