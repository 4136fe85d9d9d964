package rate

import "time"

// account tracks the tokens of a team that were granted to one control stream of a
// proxy.
//
// A proxy consumes tokens in the order in which they were granted: by use, return
// or expiry. A single count of consumed tokens therefore tells which tokens are still
// outstanding, and a report that arrives after an expiry cannot count a token twice.
type account struct {
	// granted counts the tokens held at the start of the stream and all later grants.
	granted int64
	// consumed is the highest count that was reported or has expired.
	consumed int64
	// reported and returned are the totals of the newest report.
	reported, returned int64
	grants             []grantRecord
	wanted             int64
	// waiting is the number of requests that wait for a token at the proxy.
	waiting int64
	// unmet is set while requests waited at the newest report and the proxy holds fewer
	// tokens than it wants.
	unmet bool
	// served is the fairness level up to which the account has been served while unmet.
	served     float64
	reportedAt time.Duration
	// usedBefore, rate and burst describe the time before this stream: the tokens that
	// the proxy used since its newest grant, and the team's limits in that grant.
	usedBefore  int64
	rate, burst float64
}

// grantRecord is one grant. Its tokens are consumed once the count reaches endCount.
type grantRecord struct {
	grantedAt time.Duration
	endCount  int64
}

func newAccount(now time.Duration, held int64) *account {
	a := &account{reportedAt: now}
	if held > 0 {
		a.addGrant(now, held)
	}
	return a
}

func (a *account) outstanding() int64 {
	return a.granted - a.consumed
}

func (a *account) addGrant(now time.Duration, tokens int64) {
	a.granted += tokens
	a.grants = append(a.grants, grantRecord{grantedAt: now, endCount: a.granted})
}

func (a *account) newestGrantAt() time.Duration {
	if len(a.grants) == 0 {
		return a.reportedAt
	}
	return a.grants[len(a.grants)-1].grantedAt
}

// applyReport applies the totals of a report and returns how many unused tokens came
// back.
func (a *account) applyReport(used, returned int64) int64 {
	total := min(used+returned, a.granted)
	if total <= a.reported {
		return 0
	}
	// Expired tokens were written off already. Which of the reported tokens those were
	// is unknown; the returned ones are assumed first.
	expired := max(0, a.consumed-a.reported)
	unused := min(max(0, returned-a.returned-expired), max(0, total-a.consumed))
	a.reported, a.returned = total, returned
	a.consume(total)
	return unused
}

// expire ends grants that have expired on the proxy and returns the number of tokens
// in them.
func (a *account) expire(now, expireAfter time.Duration) int64 {
	before := a.consumed
	for _, l := range a.grants {
		if now-l.grantedAt < expireAfter {
			break
		}
		a.consumed = max(a.consumed, l.endCount)
	}
	a.consume(a.consumed)
	return a.consumed - before
}

// consume raises the count of consumed tokens and drops the grants below it.
func (a *account) consume(count int64) {
	a.consumed = max(a.consumed, count)
	consumedGrants := 0
	for consumedGrants < len(a.grants) && a.grants[consumedGrants].endCount <= a.consumed {
		consumedGrants++
	}
	a.grants = append(a.grants[:0], a.grants[consumedGrants:]...)
}
