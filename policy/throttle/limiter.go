package throttle

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// unlimited is the admitted fraction, in permille, of a team that is not limited.
	unlimited = 1000
	// reactionTime is how long the fleet takes to limit a team: a report, the way to the leader, and the way back.
	reactionTime = 300 * time.Millisecond
	// limitBelow is the fraction of the burst in the bucket above which no team is limited.
	// The requests of a small team arrive unevenly, so it is limited only when fewer than otherwise
	// by unevenTokens are left, but at the latest with the debt of unevenTime.
	limitBelow   = 0.5
	unevenTokens = 7
	unevenTime   = time.Second
	// releaseFill is how much of the rest of the burst must be in the bucket before a limited team
	// goes without a limit again. Fluctuations must not lift the limit of a team that asks for more
	// than its rate: without a leader, nodes go on with the newest fraction.
	releaseFill = 0.75
	// targetFill is the fraction of the level below which a team may be limited at which the
	// bucket of a limited team is held, so that fluctuations neither leave tokens unused nor
	// cause a debt.
	targetFill = 0.5
	// correctionTime is the time in which the bucket is to come back to targetFill.
	correctionTime = time.Second
	// initialFill is the fraction of the burst in the bucket of a team that a new leader does
	// not know to be limited.
	initialFill = 0.5
	// leaderlessTime is the shortest time between the last answer of one leader and the start
	// of the next. Its refill covers use that was reported to neither.
	leaderlessTime = 600 * time.Millisecond
	// adoptionTime is how long after its start a leader adopts the limits of the earlier one.
	adoptionTime = 5 * time.Second
	// maxDebt limits a team's debt by the time in which it is refilled.
	maxDebt = 3 * time.Second
	// minChange is the relative change of a fraction that is worth telling all nodes.
	minChange = 0.1
)

// Limiter computes the fractions of requests that nodes admit. It is not safe for concurrent
// use.
type Limiter struct {
	leadingSince time.Duration
	teams        map[string]*team
	nodes        map[string]*node
	// revision grows with each change of a fraction; fallRevision is that of the newest change
	// by which a team became limited or much more so.
	revision, fallRevision uint64
}

// team is the leader's state of a team.
type team struct {
	bucket
	removed bool
	arrived arrivals
	// admit is the fraction of requests to admit, in permille, since the given revision.
	admit    uint32
	revision uint64
	// uncharged is how much use of the time before this leader is covered by the refill of
	// that time.
	uncharged float64
	// adopted is set once a limit of the earlier leader was adopted.
	adopted bool
}

// NewLimiter returns a Limiter for a leader that starts at the given time.
func NewLimiter(now time.Duration) *Limiter {
	return &Limiter{leadingSince: now, teams: map[string]*team{}, nodes: map[string]*node{}, revision: 1}
}

// SetTeam sets a team's rate and burst.
func (l *Limiter) SetTeam(now time.Duration, name string, rate, burst float64) {
	t := l.teams[name]
	if t == nil {
		t = &team{
			bucket: newBucket(now, rate, burst, initialFill*burst), admit: unlimited,
			uncharged: rate * leaderlessTime.Seconds(),
		}
		l.teams[name] = t
	}
	t.setLimits(now, rate, burst)
	t.removed = false
}

// RemoveTeam removes a team. Its bucket is kept until it is full, so that a team that is set
// again does not get a second burst.
func (l *Limiter) RemoveTeam(name string) {
	if t := l.teams[name]; t != nil {
		t.removed = true
	}
}

// Adopt limits teams that the earlier leader had limited. Their buckets start empty, because
// they were nearly so.
func (l *Limiter) Adopt(now time.Duration, throttles []*controlpb.TeamThrottle) {
	if now-l.leadingSince >= adoptionTime {
		return
	}
	for _, h := range throttles {
		t := l.teams[h.Team]
		if t == nil || t.adopted || h.AdmitPermille >= unlimited {
			continue
		}
		t.refill(now)
		t.level, t.adopted = min(t.level, 0), true
		l.setAdmit(t, h.AdmitPermille)
	}
}

// Report applies the counts of a node's report. stream grows with each stream that the leader
// accepts; counts of an earlier stream are ignored.
func (l *Limiter) Report(now time.Duration, name string, stream uint64, usage []*controlpb.TeamUsage) {
	n := l.nodes[name]
	if n != nil && n.stream > stream {
		return
	}
	if n != nil {
		l.endWithholding(now, n)
	}
	if n == nil || n.stream < stream {
		n = &node{stream: stream, byTeam: map[string]counts{}}
		l.nodes[name] = n
	}
	n.reports++
	n.reportedAt = now
	for _, u := range usage {
		if t := l.teams[u.Team]; t != nil {
			l.applyUsage(now, n, t, u)
		}
	}
}

func (l *Limiter) applyUsage(now time.Duration, n *node, t *team, u *controlpb.TeamUsage) {
	before := n.byTeam[u.Team]
	admitted := float64(u.AdmittedTotal - before.admitted)
	n.byTeam[u.Team] = counts{u.AdmittedTotal, u.ArrivedTotal, before.rate.add(now, admitted)}
	t.refill(now)
	if n.reports == 1 {
		admitted = t.chargeCarried(admitted)
	} else if u.ArrivedTotal > before.arrived {
		t.arrived.add(now, u.ArrivedTotal-before.arrived)
	}
	t.charge(admitted, maxDebt)
	l.update(now, t)
}

// chargeCarried returns what must be charged of the use that a node brings from the time before
// its stream.
func (t *team) chargeCarried(admitted float64) float64 {
	covered := max(0, min(admitted, t.uncharged))
	t.uncharged -= covered
	return admitted - covered
}

// Step updates the fractions of all teams. Call it about every 100 ms.
func (l *Limiter) Step(now time.Duration) {
	l.withholdForSilentNodes(now)
	for name, t := range l.teams {
		t.refill(now)
		l.update(now, t)
		if t.removed && t.level >= t.burst {
			delete(l.teams, name)
		}
	}
}

func (l *Limiter) update(now time.Duration, t *team) {
	next := t.wantedAdmit(now)
	if next == t.admit {
		return
	}
	change := float64(next) - float64(t.admit)
	isEnd := next == unlimited || next == 0
	if !isEnd && t.admit != unlimited && max(change, -change) < minChange*float64(t.admit) {
		return
	}
	l.setAdmit(t, next)
}

func (l *Limiter) setAdmit(t *team, admit uint32) {
	l.revision++
	if 2*admit <= t.admit {
		l.fallRevision = l.revision
	}
	t.admit, t.revision = admit, l.revision
}

// limitLevel returns the number of tokens in the bucket below which the team may be limited: what it uses beyond its
// rate before a limit takes effect, so that a team that asks for little more than its rate can use its burst.
func (t *team) limitLevel(now time.Duration) float64 {
	beyond := max(0, t.arrived.perSecond(now)-t.rate) * reactionTime.Seconds()
	return max(-t.rate*unevenTime.Seconds(), min(limitBelow*t.burst, beyond)-unevenTokens)
}

// hasBurst reports whether enough is in the bucket for the team to go without a limit.
func (t *team) hasBurst(now time.Duration) bool {
	enough := t.limitLevel(now)
	if t.admit < unlimited {
		enough += releaseFill * (t.burst - enough)
	}
	return t.level >= enough
}

// wantedAdmit returns the fraction of the team's requests to admit now, in permille. While
// enough is in the bucket, the team may use its burst. Below that it is admitted what is
// refilled, corrected so that the bucket comes back to its target.
func (t *team) wantedAdmit(now time.Duration) uint32 {
	if t.hasBurst(now) {
		return unlimited
	}
	arriving := t.arrived.perSecond(now)
	if arriving == 0 {
		// Nothing tells which fraction would do. A new leader keeps the adopted one until
		// nodes have reported.
		return t.admit
	}
	allowed := t.rate + (t.level-targetFill*max(0, t.limitLevel(now)))/correctionTime.Seconds()
	return uint32(unlimited * max(0, min(1, allowed/arriving)))
}

// Throttles returns the fractions that have changed since a revision, all that limit a team if
// it is 0, and the present revision.
func (l *Limiter) Throttles(since uint64) ([]*controlpb.TeamThrottle, uint64) {
	if since == l.revision {
		return nil, since
	}
	var changed []*controlpb.TeamThrottle
	for _, name := range slices.Sorted(maps.Keys(l.teams)) {
		t := l.teams[name]
		if t.revision > since && (since > 0 || t.admit != unlimited) {
			changed = append(changed, &controlpb.TeamThrottle{Team: name, AdmitPermille: t.admit})
		}
	}
	return changed, l.revision
}

// FallRevision returns the revision of the newest change by which a team became limited to half
// or less of what it was before. Nodes are to be told of it at once.
func (l *Limiter) FallRevision() uint64 {
	return l.fallRevision
}
