package admission

import "time"

const (
	// minPause and maxPause bound the mean pause after an upstream shed work. The time in which a full queue of an
	// upstream drains by a third lies between them.
	minPause = 30 * time.Millisecond
	maxPause = 120 * time.Millisecond
	// pauseSpread is the width of the interval from which a pause is drawn, as a fraction of its mean. Nodes that
	// were refused at the same moment then return at different ones.
	pauseSpread = 1.0
	// raiseInterval is the time in which several refusals count as one.
	raiseInterval = 50 * time.Millisecond
)

// Backoff decides how long a node offers nothing to an upstream that shed work. A pause concerns the priority of the
// request that was shed and, twice as long, all lower ones, so the least urgent leave room first although no node
// sees the requests of the others.
type Backoff struct {
	mean     time.Duration
	raisedAt time.Duration
	until    [priorityLevels]time.Duration
}

// Shed records that the upstream refused a request as busy. random is uniform in [0, 1).
func (b *Backoff) Shed(now time.Duration, priority uint32, random float64) {
	b.raise(now)
	pause := spread(b.mean, random)
	own := level(priority)
	b.until[own] = max(b.until[own], now+pause)
	for i := own + 1; i < priorityLevels; i++ {
		b.until[i] = max(b.until[i], now+2*pause)
	}
}

// raise doubles the mean pause.
func (b *Backoff) raise(now time.Duration) {
	switch {
	case b.mean == 0:
		b.mean, b.raisedAt = minPause, now
	case now-b.raisedAt >= raiseInterval:
		b.mean, b.raisedAt = min(maxPause, 2*b.mean), now
	}
}

// Accepted records that the upstream ran a request.
func (b *Backoff) Accepted() {
	b.mean /= 2
	if b.mean < minPause {
		b.mean = 0
	}
}

// Until returns the time before which nothing of a priority is offered.
func (b *Backoff) Until(priority uint32) time.Duration {
	return b.until[level(priority)]
}

// NextEnd returns the end of the pause that ends first, or 0 if there is none.
func (b *Backoff) NextEnd(now time.Duration) time.Duration {
	next := time.Duration(0)
	for _, until := range b.until {
		if until > now && (next == 0 || until < next) {
			next = until
		}
	}
	return next
}

// Pause grows while an upstream goes on refusing connections, and varies.
type Pause struct {
	mean  time.Duration
	until time.Duration
}

const (
	minDialPause = 40 * time.Millisecond
	maxDialPause = 320 * time.Millisecond
)

// Refused records that the upstream had no connection left. random is uniform in [0, 1).
func (p *Pause) Refused(now time.Duration, random float64) {
	p.mean = min(maxDialPause, max(minDialPause, 2*p.mean))
	p.until = now + spread(p.mean, random)
}

// Accepted records that the upstream accepted a connection.
func (p *Pause) Accepted() {
	p.mean, p.until = 0, 0
}

// Until returns the time before which no connection is opened.
func (p *Pause) Until() time.Duration { return p.until }

// spread returns a pause around a mean.
func spread(mean time.Duration, random float64) time.Duration {
	return time.Duration(float64(mean) * (1 + pauseSpread*(random-0.5)))
}
