package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/topology"
	"github.com/jayloom/jayloom/policy/warmup"
)

const (
	// lateAnnouncementTime is how long an announcement may be under way: the interval of announcements and the
	// timeout of a call. Within it, an announcement from before a warm-up does not end that.
	lateAnnouncementTime = 2500 * time.Millisecond
	// restartSuspectedAfter is the time without an announcement or an answer after which an upstream may have
	// started again and be cold, until it announces that it is not.
	restartSuspectedAfter = 4 * time.Second
	// adoptedWarmupTime is how long an upstream that an earlier leader knew as warming up counts as such without
	// an announcement.
	adoptedWarmupTime = 10 * time.Second
)

// upstreamWarmup is the warm-up of an upstream.
type upstreamWarmup struct {
	endsAt time.Duration
	// firmUntil is the time before which an announcement does not shorten the warm-up.
	firmUntil time.Duration
}

// warmups holds the upstreams that warm up, whether or not their services limit that. It belongs to the leader's
// goroutine.
type warmups struct {
	byUpstream map[string]upstreamWarmup
	allocator  *warmup.Allocator
}

func newWarmups() warmups {
	return warmups{byUpstream: map[string]upstreamWarmup{}, allocator: warmup.NewAllocator()}
}

// setWarmupLimit sets the limit of the upstreams of a group that warm up.
func (l *Leader) setWarmupLimit(g *group, s *controlpb.CatalogService) {
	before := g.warmupLimit
	g.warmupTime = time.Duration(s.WarmupMs) * time.Millisecond
	g.warmupLimit = warmup.Limit{}
	if s.WarmupRate > 0 {
		g.warmupLimit = warmup.Limit{Rate: s.WarmupRate, MaxPerSecond: s.WarmupRate*l.config.WarmupExcess + l.config.WarmupSlack}
	}
	if g.warmupLimit != before {
		l.registry.IncrementRevision()
	}
}

// isWarming reports whether nodes need permits for an upstream.
func (l *Leader) isWarming(u *topology.Upstream) bool {
	_, warming := l.warmups.byUpstream[u.ID]
	return warming && l.limitsWarmup(u.Service)
}

func (l *Leader) limitsWarmup(service string) bool {
	g := l.groups[service]
	return g != nil && g.warmupLimit.Rate > 0
}

// recordWarmup records what an upstream announces about its warm-up, if the registry has believed the announcement.
func (l *Leader) recordWarmup(now time.Duration, a *controlpb.UpstreamAnnouncement) {
	u := l.registry.Get(a.Id)
	if u == nil || u.Left || u.AnnouncedAt() != now {
		return
	}
	w := l.warmups.byUpstream[a.Id]
	endsAt := now + time.Duration(a.WarmupLeftMs)*time.Millisecond
	if now < w.firmUntil {
		endsAt = max(endsAt, w.endsAt)
	}
	l.setWarmup(now, u, upstreamWarmup{endsAt: endsAt, firmUntil: w.firmUntil})
}

// setWarmup begins, changes or ends the warm-up of an upstream.
func (l *Leader) setWarmup(now time.Duration, u *topology.Upstream, w upstreamWarmup) {
	_, before := l.warmups.byUpstream[u.ID]
	warming := w.endsAt > now
	if warming {
		l.warmups.byUpstream[u.ID] = w
	} else {
		delete(l.warmups.byUpstream, u.ID)
	}
	if before == warming || !l.limitsWarmup(u.Service) {
		return
	}
	l.log.WithFields(logrus.Fields{
		"event": "upstream_warmup", "upstream": u.ID, "service": u.Service, "warming": warming,
		"left_ms": max(0, w.endsAt-now).Milliseconds(),
	}).Info("warm-up of an upstream changed")
	l.registry.IncrementRevision()
}

// endSuspectedWarmup ends the warm-up of an upstream that was suspected, when a node reports an unchanged announcement:
// nodes answer only those of upstreams that do not warm up.
func (l *Leader) endSuspectedWarmup(now time.Duration, c *controlpb.UpstreamContact) {
	w, ok := l.warmups.byUpstream[c.Id]
	if !ok || now-time.Duration(c.AgeMs)*time.Millisecond < w.firmUntil {
		return
	}
	if u := l.registry.Get(c.Id); u != nil {
		l.setWarmup(now, u, upstreamWarmup{})
	}
}

// suspectRestart treats an upstream as one that has just started, until it announces otherwise.
func (l *Leader) suspectRestart(now time.Duration, u *topology.Upstream) {
	if g := l.groups[u.Service]; g != nil && g.warmupTime > 0 && g.warmupLimit.Rate > 0 {
		l.setWarmup(now, u, upstreamWarmup{endsAt: now + g.warmupTime, firmUntil: now + lateAnnouncementTime})
	}
}

// warmUpPlace treats the upstreams of a data centre that is used again as cold.
func (l *Leader) warmUpPlace(now time.Duration, place string) {
	for _, u := range l.registry.Live() {
		if u.Place == place {
			l.suspectRestart(now, u)
		}
	}
}

// adoptWarmups takes over the warm-ups in an earlier leader's topology.
func (l *Leader) adoptWarmups(now time.Duration, t *controlpb.Topology) {
	for _, entry := range t.Upstreams {
		u := l.registry.Get(entry.Id)
		if u == nil || u.AnnouncedAt() != 0 || !entry.Warming {
			continue
		}
		if _, known := l.warmups.byUpstream[u.ID]; !known {
			l.warmups.byUpstream[u.ID] = upstreamWarmup{endsAt: now + adoptedWarmupTime}
		}
	}
}

// stepWarmups ends warm-ups whose time has passed, and suspects upstreams that may have started again.
func (l *Leader) stepWarmups(now time.Duration) {
	for id, w := range l.warmups.byUpstream {
		u := l.registry.Get(id)
		switch {
		case u == nil || u.Left:
			delete(l.warmups.byUpstream, id)
		case w.endsAt <= now:
			l.setWarmup(now, u, upstreamWarmup{})
		}
	}
	l.suspectSilentUpstreams(now)
	l.warmups.allocator.Retain(func(id string) bool { return l.registry.Get(id) != nil })
	warming := 0
	for id := range l.warmups.byUpstream {
		if l.isWarming(l.registry.Get(id)) {
			warming++
		}
	}
	metricWarmingUpstreams.Set(float64(warming))
}

// suspectSilentUpstreams suspects the upstreams that have neither announced themselves nor answered for long.
func (l *Leader) suspectSilentUpstreams(now time.Duration) {
	limited := false
	for _, g := range l.groups {
		limited = limited || g.warmupLimit.Rate > 0
	}
	if !limited {
		return
	}
	for _, u := range l.registry.Live() {
		if now-u.LastContact > restartSuspectedAfter {
			l.suspectRestart(now, u)
		}
	}
}

// grantWarmup returns permits for the demands of a node.
func (l *Leader) grantWarmup(now time.Duration, demands []*controlpb.WarmupDemand) []*controlpb.WarmupGrant {
	var grants []*controlpb.WarmupGrant
	for _, d := range demands {
		// Nodes may know sooner than the leader that an upstream may be cold.
		u := l.registry.Get(d.Upstream)
		if u == nil || !l.limitsWarmup(u.Service) {
			continue
		}
		l.warmups.allocator.Start(now, u.ID, l.groups[u.Service].warmupLimit)
		granted := l.warmups.allocator.Grant(now, u.ID, d.Requests)
		metricWarmupGrants.Add(int(granted))
		if granted > 0 {
			grants = append(grants, &controlpb.WarmupGrant{
				Upstream: u.ID, Requests: granted, LifetimeMs: uint32(warmup.Lifetime.Milliseconds()),
			})
		}
	}
	return grants
}
