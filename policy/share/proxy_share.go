package share

import "time"

// proxyShare tracks what one control stream of a proxy may use of an upstream.
//
// The allocator does not know which of its updates a proxy had received when it sent a
// report. The claim in the report tells: it is the newest share received or, if
// more, the number of open connections. Shares before the earliest one that fits the
// claim are no longer in use.
type proxyShare struct {
	proxy string
	// shares are the shares that may be in use, oldest first.
	shares []lentShare
	// claim is the newest one reported; it bounds what was open then.
	claim      int64
	reportedAt time.Duration
	wanted     int64
}

type lentShare struct {
	connections int64
	lentAt      time.Duration
}

// applyClaim applies the claim of a report.
func (s *proxyShare) applyClaim(now time.Duration, claim int64) {
	bound := s.claim
	for i, share := range s.shares {
		bound = max(bound, share.connections)
		// With this share in use the proxy would claim at least the share, and at most
		// what it could open under the shares up to here.
		if share.connections <= claim && claim <= bound {
			s.shares = append(s.shares[:0], s.shares[i:]...)
			break
		}
	}
	s.claim, s.reportedAt = claim, now
}

// addShare records a share that is sent to the proxy.
func (s *proxyShare) addShare(now time.Duration, connections int64) {
	if n := len(s.shares); n > 0 && s.shares[n-1].connections == connections {
		s.shares[n-1].lentAt = now
		return
	}
	s.shares = append(s.shares, lentShare{connections: connections, lentAt: now})
}

// lent returns the most connections that the proxy may have.
func (s *proxyShare) lent(now, expireAfter time.Duration) int64 {
	lent := int64(0)
	if now-s.reportedAt < expireAfter {
		lent = s.claim
	}
	for _, share := range s.shares {
		if now-share.lentAt < expireAfter {
			lent = max(lent, share.connections)
		}
	}
	return lent
}

// newest returns the share that was sent last.
func (s *proxyShare) newest() int64 {
	if len(s.shares) == 0 {
		return 0
	}
	return s.shares[len(s.shares)-1].connections
}

func (s *proxyShare) lastRenewedAt() time.Duration {
	at := s.reportedAt
	for _, share := range s.shares {
		at = max(at, share.lentAt)
	}
	return at
}

// expire drops expired shares and reports whether there were any. The newest one is
// kept: the proxy claims it until it gets another.
func (s *proxyShare) expire(now, expireAfter time.Duration) bool {
	expired := 0
	for expired < len(s.shares)-1 && now-s.shares[expired].lentAt >= expireAfter {
		expired++
	}
	if expired > 0 {
		s.claim = max(s.claim, s.shares[0].connections)
		s.shares = append(s.shares[:0], s.shares[expired:]...)
	}
	return expired > 0
}
