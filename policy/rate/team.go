package rate

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// demandTimeout is the silence after which a proxy's demand no longer counts: two
// report intervals. What it holds still counts until it expires.
const demandTimeout = 500 * time.Millisecond

// team is a token bucket with the tokens granted from it. Tokens are whole, so their
// counts are exact; only the bucket has a fraction.
type team struct {
	name        string
	rate, burst float64
	removed     bool
	bucket      float64
	refilledAt  time.Duration
	accounts    map[string]*account
	// orphaned holds what processes and streams that no longer report may still use.
	orphaned []orphanedTokens
	// outstandingTotal counts the outstanding tokens of all accounts and in orphaned.
	outstandingTotal int64
	// wanted is the sum over all accounts. wantingAccounts and unmetAccounts count the
	// accounts with demand and with unmet demand.
	wanted                         int64
	wantingAccounts, unmetAccounts int
	// fairness divides the refill among the accounts with unmet demand.
	fairness  fairness
	revokedAt time.Duration
	// recovering is set from a new leader's start until the requests that waited for it
	// are served, and at least until all proxies have reported them. An empty bucket then
	// does not mean that the team exceeds its rate.
	recovering bool
}

// orphanedTokens are tokens that expire without a report.
type orphanedTokens struct {
	tokens    int64
	expiresAt time.Duration
}

func newTeam(name string, now time.Duration) *team {
	return &team{name: name, refilledAt: now, revokedAt: -time.Hour, accounts: map[string]*account{}}
}

// outstanding returns the number of tokens that may still be used.
func (t *team) outstanding() int64 {
	return t.outstandingTotal
}

// refill adds the tokens for the time since the last refill.
func (al *Allocator) refill(t *team) {
	if !al.reconciled {
		return
	}
	before := t.bucket
	t.bucket += t.rate * max(0, (al.now-t.refilledAt).Seconds())
	t.refilledAt = max(t.refilledAt, al.now)
	t.clamp()
	t.fairness.addRefill(t.bucket-before, t.unmetAccounts)
}

// clamp keeps bucket + outstanding <= burst.
func (t *team) clamp() {
	t.bucket = max(0, min(t.bucket, t.burst-float64(t.outstanding())))
}

// expire ends tokens that no proxy can use any more. They count as used, because
// their holder may have used them without a report. It visits every account, so it
// runs on Expire only; expiring late loses refill and never adds any.
func (t *team) expire(now, expireAfter time.Duration, lastContact map[string]time.Duration) {
	t.orphaned = slices.DeleteFunc(t.orphaned, func(a orphanedTokens) bool {
		if now < a.expiresAt {
			return false
		}
		t.outstandingTotal -= a.tokens
		return true
	})
	for proxy, a := range t.accounts {
		t.outstandingTotal -= a.expire(now, expireAfter)
		if now-lastContact[proxy] >= demandTimeout {
			t.setDemand(a, 0, false)
		}
	}
}

// applyReport applies a proxy's use and demand. Returned tokens go back to the bucket.
func (t *team) applyReport(proxy string, now time.Duration, d *controlpb.TokenDemand) {
	a, ok := t.accounts[proxy]
	if !ok {
		a = newAccount(now, int64(d.HeldAtStart))
		a.usedBefore, a.rate, a.burst = int64(d.UsedSinceGrant), d.Rate, d.Burst
		t.accounts[proxy] = a
		t.outstandingTotal += a.outstanding()
	}
	a.reportedAt = now
	before := a.outstanding()
	returned := a.applyReport(int64(d.UsedTotal), int64(d.ReturnedTotal))
	t.outstandingTotal -= before - a.outstanding()
	t.bucket += float64(returned)
	t.clamp()
	a.waiting = int64(d.Waiting)
	t.setDemand(a, max(0, int64(d.Wanted)), a.unmet)
}

func (t *team) setDemand(a *account, wanted int64, unmet bool) {
	t.wanted += wanted - a.wanted
	t.wantingAccounts += boolToInt(wanted > 0) - boolToInt(a.wanted > 0)
	t.unmetAccounts += boolToInt(unmet) - boolToInt(a.unmet)
	if unmet && !a.unmet {
		t.fairness.join(a)
	}
	if a.unmet && !unmet {
		t.fairness.leave(a, t.unmetAccounts)
	}
	a.wanted, a.unmet = wanted, unmet
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// dropAccount removes an account whose process reports again what it holds.
func (t *team) dropAccount(proxy string) {
	a, ok := t.accounts[proxy]
	if !ok {
		return
	}
	t.setDemand(a, 0, false)
	t.outstandingTotal -= a.outstanding()
	delete(t.accounts, proxy)
}

// orphanAccount removes an account whose process may still use what it holds.
func (t *team) orphanAccount(proxy string, now, expireAfter time.Duration) {
	a, ok := t.accounts[proxy]
	if !ok {
		return
	}
	outstanding := a.outstanding()
	t.dropAccount(proxy)
	if outstanding > 0 {
		t.orphaned = append(t.orphaned, orphanedTokens{tokens: outstanding, expiresAt: a.newestGrantAt() + expireAfter})
		t.outstandingTotal += outstanding
	}
}

// grantTokens grants a proxy what it wants, as far as bucket and fairness allow.
func (al *Allocator) grantTokens(t *team, proxy string) *controlpb.TokenGrant {
	a := t.accounts[proxy]
	shortfall := a.wanted - a.outstanding()
	t.setDemand(a, a.wanted, shortfall > 0 && a.waiting > 0)
	grant := &controlpb.TokenGrant{Team: t.name}
	if !al.reconciled || t.removed {
		return grant
	}
	tokens := min(shortfall, t.holdingLimit(a)-a.outstanding(), t.available(a))
	if tokens > 0 {
		t.bucket -= float64(tokens)
		t.outstandingTotal += tokens
		a.addGrant(al.now, tokens)
		if a.unmet {
			t.fairness.recordGrant(a, tokens)
		}
		grant.Tokens = uint64(tokens)
		shortfall -= tokens
	}
	t.setDemand(a, a.wanted, shortfall > 0 && a.waiting > 0)
	if t.unmetAccounts == 0 && al.reconciled {
		grant.Tokens += uint64(al.grantReserve(t, a))
	}
	if grant.Tokens > 0 {
		grant.LifetimeMs, grant.Rate, grant.Burst = uint32(al.cfg.Lifetime.Milliseconds()), t.rate, t.burst
	}
	empty := t.bucket < 1
	if empty && shortfall > 0 {
		al.revokeUnused(t, proxy)
	}
	caughtUp := !empty && t.unmetAccounts == 0 && al.now-al.reconciledAt >= demandTimeout
	if caughtUp || al.now-al.leadingSince >= al.cfg.RecoveryLimit {
		t.recovering = false
	}
	grant.Exhausted = empty && !t.recovering
	return grant
}

// available returns how many tokens of the bucket an account may take. The callers of a
// small team may reach many nodes, each rarely; what proxies want for later requests must
// not compete with requests that wait.
func (t *team) available(a *account) int64 {
	switch {
	case a.unmet:
		return min(t.fairness.entitlement(a, t.bucket, t.unmetAccounts), int64(t.bucket))
	case t.unmetAccounts > 0:
		return 0
	default:
		return int64(t.bucket / float64(max(1, t.wantingAccounts)))
	}
}

// grantReserve grants a proxy tokens for the time of an election, as long as half of
// the burst stays in the bucket for proxies to which load moves. A proxy that uses a
// quarter of the burst in 250 ms gets none: they would not last.
func (al *Allocator) grantReserve(t *team, a *account) int64 {
	if 4*float64(a.wanted) > t.burst {
		return 0
	}
	tokens := min(al.cfg.ReserveFactor*a.wanted-a.outstanding(), int64(t.bucket-t.burst/2))
	if tokens <= 0 {
		return 0
	}
	t.bucket -= float64(tokens)
	t.outstandingTotal += tokens
	a.addGrant(al.now, tokens)
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
	equalPart := t.burst / float64(t.wantingAccounts)
	return max(1, int64(max(byDemand, equalPart)))
}

// revokeUnused asks all holders but the requester to return what they do not use.
func (al *Allocator) revokeUnused(t *team, requester string) {
	if al.now-t.revokedAt < al.cfg.MinRevocationInterval {
		return
	}
	t.revokedAt = al.now
	for _, proxy := range slices.Sorted(maps.Keys(t.accounts)) {
		a := t.accounts[proxy]
		// A proxy that reports often returns unused tokens anyway.
		if proxy == requester || a.outstanding() == 0 || al.now-a.reportedAt < al.cfg.MinRevocationInterval {
			continue
		}
		al.revocations[proxy] = append(al.revocations[proxy], &controlpb.TokenGrant{
			Team: t.name, LifetimeMs: uint32(al.cfg.Lifetime.Milliseconds()), Exhausted: true,
		})
	}
}
