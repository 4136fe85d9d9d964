package rate

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// staleAfter is the silence after which a proxy's demand no longer counts: two
// report intervals. What it holds still counts until it lapses.
const staleAfter = 500 * time.Millisecond

// team is a bucket with the tokens granted from it. Tokens are whole, so their
// counts are exact; only the bucket has a fraction.
type team struct {
	name        string
	rate, burst float64
	removed     bool
	bucket      float64
	refilledAt  time.Duration
	accounts    map[string]*account
	// abandoned holds what processes and streams that report no more may still use.
	abandoned []abandoned
	// away holds the standby rates of proxies whose streams have ended.
	away []standby
	// withheld is the sum of the standby rates of proxies that may be using them.
	withheld float64
	// open counts the open tokens of all accounts and abandoned streams.
	open int64
	// wanted is the sum over all accounts, wanting and unmet count accounts.
	wanted         int64
	wanting, unmet int
	// fair divides the refill among the accounts that want more than they have.
	fair       fairness
	recalledAt time.Duration
	// recovering is set from a new leader's start until the requests that waited for
	// it are served, and at least until all proxies have reported them. The bucket is then empty for no fault of the team.
	recovering bool
}

// abandoned are tokens that lapse without a report.
type abandoned struct {
	tokens  int64
	lapseAt time.Duration
}

// standby is a part of the rate that a proxy may use without the owner.
type standby struct {
	rate  float64
	until time.Duration
}

func newTeam(name string, now time.Duration) *team {
	return &team{name: name, refilledAt: now, recalledAt: -time.Hour, accounts: map[string]*account{}}
}

// outstanding counts the tokens that may still be used.
func (t *team) outstanding() int64 {
	return t.open
}

// refill adds what the time since the last refill gives.
func (o *Allocator) refill(t *team) {
	share := 1.0
	if !o.settled {
		share = o.cfg.InitialRateFraction
	}
	if share == 0 {
		return
	}
	before := t.bucket
	t.bucket += share * max(0, t.rate-t.withheld) * max(0, (o.now-t.refilledAt).Seconds())
	t.refilledAt = max(t.refilledAt, o.now)
	t.clamp()
	t.fair.refilled(t.bucket-before, t.unmet)
}

// clamp keeps bucket + outstanding <= burst.
func (t *team) clamp() {
	t.bucket = max(0, min(t.bucket, t.burst-float64(t.outstanding())))
}

// lapse ends tokens that no proxy can use any more. They count as used, because
// their holder may have used them without a report. It visits every account, so it
// runs on Expire only; a late lapse costs refill and never adds any.
func (t *team) lapse(now, lapseAfter time.Duration, heardAt map[string]time.Duration) {
	t.abandoned = slices.DeleteFunc(t.abandoned, func(a abandoned) bool {
		if now < a.lapseAt {
			return false
		}
		t.open -= a.tokens
		return true
	})
	for proxy, a := range t.accounts {
		t.open -= a.lapse(now, lapseAfter)
		if now-heardAt[proxy] >= staleAfter {
			t.setDemand(a, 0, false)
		}
	}
}

// withhold sums the parts of the rate that proxies which the owner does not hear may be
// using. A proxy that reports has no use for its part, also when it has nothing to say of
// the team.
func (t *team) withhold(now, standbyFor time.Duration, heardAt map[string]time.Duration) {
	t.away = slices.DeleteFunc(t.away, func(s standby) bool { return now >= s.until })
	t.withheld = 0
	for _, s := range t.away {
		t.withheld += s.rate
	}
	for proxy, a := range t.accounts {
		if silent := now - heardAt[proxy]; silent >= staleAfter && silent < standbyAfter+standbyFor {
			t.withheld += a.standby
		}
	}
}

// report takes a proxy's use and demand. What it returned goes back to the bucket.
func (t *team) report(proxy string, now time.Duration, d *controlpb.TokenDemand) {
	a, ok := t.accounts[proxy]
	if !ok {
		a = newAccount(now, int64(d.HeldAtStart))
		a.usedBefore, a.rate, a.burst = int64(d.UsedSinceGrant), d.Rate, d.Burst
		t.accounts[proxy] = a
		t.open += a.open()
	}
	a.reportedAt = now
	before := a.open()
	returned := a.report(int64(d.UsedTotal), int64(d.ReturnedTotal))
	t.open -= before - a.open()
	t.bucket += float64(returned)
	t.clamp()
	a.waiting = int64(d.Waiting)
	t.setDemand(a, max(0, int64(d.Wanted)), a.unmet)
}

func (t *team) setDemand(a *account, wanted int64, unmet bool) {
	t.wanted += wanted - a.wanted
	t.wanting += count(wanted > 0) - count(a.wanted > 0)
	t.unmet += count(unmet) - count(a.unmet)
	if unmet && !a.unmet {
		t.fair.join(a)
	}
	if a.unmet && !unmet {
		t.fair.leave(a, t.unmet)
	}
	a.wanted, a.unmet = wanted, unmet
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// drop ends an account whose process reports anew what it holds.
func (t *team) drop(proxy string) {
	a, ok := t.accounts[proxy]
	if !ok {
		return
	}
	t.setDemand(a, 0, false)
	t.open -= a.open()
	delete(t.accounts, proxy)
}

// abandon ends an account whose process may still use what it holds.
func (t *team) abandon(proxy string, now, lapseAfter, standbyFor time.Duration) {
	a, ok := t.accounts[proxy]
	if !ok {
		return
	}
	open := a.open()
	if a.standby > 0 {
		t.away = append(t.away, standby{a.standby, now + standbyAfter + standbyFor})
	}
	t.drop(proxy)
	if open > 0 {
		t.abandoned = append(t.abandoned, abandoned{tokens: open, lapseAt: a.newestGrant() + lapseAfter})
		t.open += open
	}
}

// grant gives a proxy what it wants, as far as bucket and fairness allow.
func (o *Allocator) grant(t *team, proxy string) *controlpb.TokenGrant {
	a := t.accounts[proxy]
	missing := a.wanted - a.open()
	t.setDemand(a, a.wanted, missing > 0 && a.waiting > 0)
	if o.cfg.FallbackPeriod > 0 {
		a.standby = t.rate * float64(a.wanted+1) / float64(t.wanted+int64(len(t.accounts)))
	}
	grant := &controlpb.TokenGrant{Team: t.name, StandbyRate: a.standby}
	if (!o.settled && o.cfg.InitialRateFraction == 0) || t.removed {
		return grant
	}
	tokens := min(missing, t.holdingLimit(a)-a.open(), t.available(a))
	if tokens > 0 {
		t.bucket -= float64(tokens)
		t.open += tokens
		a.grant(o.now, tokens)
		if a.unmet {
			t.fair.granted(a, tokens)
		}
		grant.Tokens = uint64(tokens)
		missing -= tokens
	}
	t.setDemand(a, a.wanted, missing > 0 && a.waiting > 0)
	if t.unmet == 0 && o.settled {
		grant.Tokens += uint64(o.grantReserve(t, a))
	}
	if grant.Tokens > 0 {
		grant.LifetimeMs, grant.Rate, grant.Burst = uint32(o.cfg.Lifetime.Milliseconds()), t.rate, t.burst
	}
	empty := t.bucket < 1
	if empty && missing > 0 {
		o.recall(t, proxy)
	}
	served := !empty && t.unmet == 0 && o.now-o.settledAt >= staleAfter
	if served || o.now-o.leadAt >= o.cfg.RecoveryLimit {
		t.recovering = false
	}
	grant.Exhausted = empty && !t.recovering
	return grant
}

// available is how many tokens of the bucket an account may take. Load pattern: a small
// team's callers reach many nodes, each rarely. What proxies want for requests to come
// must not compete with requests that wait.
func (t *team) available(a *account) int64 {
	switch {
	case a.unmet:
		return min(t.fair.part(a, t.bucket, t.unmet), int64(t.bucket))
	case t.unmet > 0:
		return 0
	default:
		return int64(t.bucket / float64(max(1, t.wanting)))
	}
}

// grantReserve gives a proxy tokens for the time of an election, as long as half of
// the burst stays in the bucket for proxies to which load moves. A proxy that uses a
// quarter of the burst in 250 ms gets none: they would not last.
func (o *Allocator) grantReserve(t *team, a *account) int64 {
	if 4*float64(a.wanted) > t.burst {
		return 0
	}
	tokens := min(o.cfg.ReserveFactor*a.wanted-a.open(), int64(t.bucket-t.burst/2))
	if tokens <= 0 {
		return 0
	}
	t.bucket -= float64(tokens)
	t.open += tokens
	a.grant(o.now, tokens)
	return tokens
}

// holdingLimit bounds what one proxy may hold: its part of the burst by demand, or
// an equal part if that is more. A proxy with little demand beside one with much
// gets its equal part.
func (t *team) holdingLimit(a *account) int64 {
	if float64(t.wanted) <= t.burst {
		return a.wanted
	}
	byDemand := t.burst * float64(a.wanted) / float64(t.wanted)
	equal := t.burst / float64(t.wanting)
	return max(1, int64(max(byDemand, equal)))
}

// recall asks the other holders to return what they do not use.
func (o *Allocator) recall(t *team, wanting string) {
	if o.now-t.recalledAt < o.cfg.MinRevocationInterval {
		return
	}
	t.recalledAt = o.now
	for _, proxy := range slices.Sorted(maps.Keys(t.accounts)) {
		a := t.accounts[proxy]
		// A proxy that reports often returns what it does not use by itself.
		if proxy == wanting || a.open() == 0 || o.now-a.reportedAt < o.cfg.MinRevocationInterval {
			continue
		}
		o.recalls[proxy] = append(o.recalls[proxy], &controlpb.TokenGrant{
			Team: t.name, LifetimeMs: uint32(o.cfg.Lifetime.Milliseconds()), Exhausted: true,
		})
	}
}
