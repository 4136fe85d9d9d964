package rate

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Allocator divides the tokens of all teams among the proxies. It is not safe for
// concurrent use.
type Allocator struct {
	cfg Config
	// now is the newest time passed in; earlier times count as this one.
	now          time.Duration
	leadingSince time.Duration
	// unreported holds the registered proxies that have not reported to this leader.
	// Until it is empty, or ExpireAfter has passed, they may hold a whole burst of each
	// team, and nothing is granted.
	unreported   map[string]bool
	reconciled   bool
	reconciledAt time.Duration
	grantHistory grantHistory
	teams        map[string]*team
	streams      map[string]stream
	// lastContact is when each proxy last reported, whatever the report contained.
	lastContact map[string]time.Duration
	revocations map[string][]*controlpb.TokenGrant
}

// stream identifies the newest stream of a proxy.
type stream struct {
	incarnation string
	number      uint64
}

// Revocation is an update to push to a proxy that holds unused tokens which others need.
type Revocation struct {
	Proxy  string
	Grants []*controlpb.TokenGrant
}

// NewAllocator returns an Allocator that grants nothing before StartLeading.
func NewAllocator(cfg Config) *Allocator {
	return &Allocator{
		cfg:         cfg,
		teams:       map[string]*team{},
		streams:     map[string]stream{},
		lastContact: map[string]time.Duration{},
		revocations: map[string][]*controlpb.TokenGrant{},
	}
}

// StartLeading resets the allocator for a new leader, which must assume the worst case
// of what proxies hold. registeredProxies must hold every proxy that an earlier leader
// could have granted to within ExpireAfter, and one name must stand for one running
// process.
func (al *Allocator) StartLeading(now time.Duration, registeredProxies []string) {
	*al = *NewAllocator(al.cfg)
	al.now, al.leadingSince = now, now
	al.unreported = make(map[string]bool, len(registeredProxies))
	for _, name := range registeredProxies {
		al.unreported[name] = true
	}
	al.reconcile()
}

// advanceTime moves the time forward and ends the assumption of the worst case once
// that is possible.
func (al *Allocator) advanceTime(now time.Duration) {
	al.now = max(al.now, now)
	al.reconcile()
}

func (al *Allocator) reconcile() {
	if al.reconciled {
		return
	}
	if len(al.unreported) > 0 && al.now-al.leadingSince < al.cfg.ExpireAfter {
		return
	}
	al.reconciled = true
	al.reconciledAt = al.now
	sinceLastGrant := al.timeSinceLastGrant()
	for _, t := range al.teams {
		t.bucket = t.refillSinceLastGrant(sinceLastGrant)
		t.refilledAt = al.now
		t.recovering = true
		// Requests that wait on any proxy have equal claims to the bucket.
		t.fairness.addRefill(t.bucket, t.unmetAccounts)
	}
}

// SetTeam sets a team's rate and burst. A team that this leader has not known is
// either new or known to an earlier leader only; its bucket starts with the refill
// since the time at which all grants of an earlier leader have expired.
func (al *Allocator) SetTeam(now time.Duration, name string, rate, burst float64) {
	al.advanceTime(now)
	t, ok := al.teams[name]
	if !ok {
		t = newTeam(name, al.now)
		t.rate, t.burst = rate, burst
		t.bucket = min(burst, rate*max(0, (al.now-al.leadingSince-al.cfg.ExpireAfter).Seconds()))
		al.teams[name] = t
	}
	al.refill(t)
	t.rate, t.burst, t.removed = rate, burst, false
	t.clamp()
}

// RemoveTeam ends grants to a team. Its accounts are kept until all tokens are returned
// or expired and the bucket is full, so that a team that is created again does not get
// a second burst.
func (al *Allocator) RemoveTeam(now time.Duration, name string) {
	al.advanceTime(now)
	if t, ok := al.teams[name]; ok {
		t.removed = true
	}
}

// RemoveProxy ends the stream of a proxy. What it held stays outstanding until it has
// expired; a proxy that has not reported to this leader may hold anything until then.
func (al *Allocator) RemoveProxy(now time.Duration, name string) {
	al.advanceTime(now)
	// Later reports of the stream are ignored.
	al.streams[name] = stream{number: al.streams[name].number + 1}
	delete(al.lastContact, name)
	al.grantHistory.incomplete = true
	for _, t := range al.teams {
		al.refill(t)
		t.orphanAccount(name, al.now, al.cfg.ExpireAfter)
	}
}

// HandleReport applies a proxy's report and returns its grants. streamNumber grows with
// each stream that the leader accepts; reports of a stream arrive in order, and its
// first report lists every team of which the proxy holds tokens.
func (al *Allocator) HandleReport(
	now time.Duration, proxy, incarnation string, streamNumber uint64, demands []*controlpb.TokenDemand,
) []*controlpb.TokenGrant {
	al.advanceTime(now)
	if !al.acceptStream(proxy, stream{incarnation: incarnation, number: streamNumber}, demands) {
		return nil
	}
	al.lastContact[proxy] = al.now
	delete(al.unreported, proxy)
	knownDemands := demands[:0:0]
	for _, d := range demands {
		if t, ok := al.teams[d.Team]; ok {
			al.refill(t)
			t.applyReport(proxy, al.now, d)
			knownDemands = append(knownDemands, d)
		} else if d.Team != "" {
			// The use would be missing if the team is set again before the allocator has
			// reconciled.
			al.grantHistory.incomplete = true
		}
	}
	al.reconcile()
	grants := make([]*controlpb.TokenGrant, 0, len(knownDemands)+1)
	if len(demands) > 0 && demands[0].Team == "" {
		grants = append(grants, &controlpb.TokenGrant{})
	}
	for _, d := range knownDemands {
		grants = append(grants, al.grantTokens(al.teams[d.Team], proxy))
	}
	return grants
}

// acceptStream makes s the proxy's stream. It returns false for an earlier one.
func (al *Allocator) acceptStream(proxy string, s stream, demands []*controlpb.TokenDemand) bool {
	current, ok := al.streams[proxy]
	if ok && s.number < current.number {
		return false
	}
	if ok && s == current {
		return true
	}
	al.streams[proxy] = s
	al.grantHistory.addFirstReport(al.now, demands, ok && s.incarnation != current.incarnation)
	for _, t := range al.teams {
		al.refill(t)
		if ok && s.incarnation == current.incarnation {
			// The process reports what it still holds and ignores grants of its earlier
			// stream.
			t.dropAccount(proxy)
		} else {
			t.orphanAccount(proxy, al.now, al.cfg.ExpireAfter)
		}
	}
	return true
}

// TakeRevocations returns, once, the revocations to send to proxies that hold unused
// tokens.
func (al *Allocator) TakeRevocations(now time.Duration) []Revocation {
	al.advanceTime(now)
	revocations := make([]Revocation, 0, len(al.revocations))
	for _, proxy := range slices.Sorted(maps.Keys(al.revocations)) {
		revocations = append(revocations, Revocation{Proxy: proxy, Grants: al.revocations[proxy]})
	}
	clear(al.revocations)
	return revocations
}

// Expire ends grants and demands that have expired. Call it about every 100 ms.
func (al *Allocator) Expire(now time.Duration) {
	al.advanceTime(now)
	for name, t := range al.teams {
		al.refill(t)
		t.expire(al.now, al.cfg.ExpireAfter, al.lastContact)
		if t.removed && t.outstanding() == 0 && t.bucket >= t.burst {
			delete(al.teams, name)
		}
	}
}
