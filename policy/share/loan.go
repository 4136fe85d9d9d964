package share

import "time"

// loan is what one stream of a proxy may have of an upstream.
//
// The owner does not know which of its updates a proxy had received when it sent a
// report. The claim in the report tells: it is the newest share received or, if
// more, the connections open. Shares before the earliest one that fits the claim
// are out of use.
type loan struct {
	proxy string
	// entries are the shares that may be in use, oldest first.
	entries []entry
	// claim is the newest reported; it bounds what was open then.
	claim      int64
	reportedAt time.Duration
	wanted     int64
}

type entry struct {
	connections int64
	at          time.Duration
}

// report takes over a claim.
func (l *loan) report(now time.Duration, claim int64) {
	bound := l.claim
	for i, e := range l.entries {
		bound = max(bound, e.connections)
		// With this share in use the proxy would claim at least the share, and at most
		// what it could open under the shares up to here.
		if e.connections <= claim && claim <= bound {
			l.entries = append(l.entries[:0], l.entries[i:]...)
			break
		}
	}
	l.claim, l.reportedAt = claim, now
}

// lend records a share that leaves for the proxy.
func (l *loan) lend(now time.Duration, connections int64) {
	if n := len(l.entries); n > 0 && l.entries[n-1].connections == connections {
		l.entries[n-1].at = now
		return
	}
	l.entries = append(l.entries, entry{connections: connections, at: now})
}

// lent is the most that the proxy may have.
func (l *loan) lent(now, lapseAfter time.Duration) int64 {
	lent := int64(0)
	if now-l.reportedAt < lapseAfter {
		lent = l.claim
	}
	for _, e := range l.entries {
		if now-e.at < lapseAfter {
			lent = max(lent, e.connections)
		}
	}
	return lent
}

// newest is the share that left last.
func (l *loan) newest() int64 {
	if len(l.entries) == 0 {
		return 0
	}
	return l.entries[len(l.entries)-1].connections
}

func (l *loan) newestAt() time.Duration {
	at := l.reportedAt
	for _, e := range l.entries {
		at = max(at, e.at)
	}
	return at
}

// expire drops shares that have lapsed and tells whether there were any. The newest
// one is kept: the proxy claims it until it gets another.
func (l *loan) expire(now, lapseAfter time.Duration) bool {
	lapsed := 0
	for lapsed < len(l.entries)-1 && now-l.entries[lapsed].at >= lapseAfter {
		lapsed++
	}
	if lapsed > 0 {
		l.claim = max(l.claim, l.entries[0].connections)
		l.entries = append(l.entries[:0], l.entries[lapsed:]...)
	}
	return lapsed > 0
}
