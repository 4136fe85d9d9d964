package rate

import (
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// useSlot is the length of one count of use.
	useSlot = 50 * time.Millisecond
	// demandSlots cover the last 250 ms and the slot under way.
	demandSlots = 6
	// recentSlots cover the last 50 ms and the slot under way; a proxy keeps that
	// much when the bucket is empty and others may need its tokens.
	recentSlots = 2
	// returnedFor is how long a token stays that was given back unused.
	returnedFor = time.Second
)

// holding is what a proxy holds of one team's tokens. Its methods need mu.
type holding struct {
	mu sync.Mutex
	// reserve is Config.ReserveFactor; renewBefore is the rest of the lifetime at which
	// unused tokens are returned.
	reserve     int64
	renewBefore time.Duration
	// spareFor is Config.SpareFor.
	spareFor time.Duration
	// standbyRate is the proxy's part of the rate, standbyUsed what it has used of it
	// since the owner last answered, at standbySince.
	standbyRate  float64
	standbyFor   time.Duration
	standbySince time.Duration
	standbyUsed  int64
	// lots are consumed in the order in which they were granted.
	lots []heldLot
	held int64
	// used, returned and heldAtStart are totals of the stream.
	used, returned, heldAtStart int64
	// reportedUsed and reportedReturned are the totals of the newest report.
	reportedUsed, reportedReturned int64
	reportedWanted                 int64
	waiting                        int64
	// reported is set by the first report of a stream, answered by its first grant.
	reported, answered bool
	// missed is set when a request found no token since the last report.
	missed      bool
	exhausted   bool
	exhaustedAt time.Duration
	// usedSinceGrant counts use since the newest grant that held tokens, over all
	// streams; rate and burst were the team's limits in that grant.
	usedSinceGrant int64
	rate, burst    float64
	// afterGrant is what was held after the newest grant.
	afterGrant int64
	slots      [demandSlots]int64
	slot       int64
	lastUse    time.Duration
}

type heldLot struct {
	tokens int64
	until  time.Duration
}

func newHolding(cfg Config) *holding {
	return &holding{
		lastUse: -cfg.SpareTokenPeriod, reserve: cfg.ReserveFactor, renewBefore: cfg.Lifetime / 2,
		spareFor: cfg.SpareTokenPeriod, standbyFor: cfg.FallbackPeriod,
	}
}

func (t *holding) take(now time.Duration) bool {
	t.expire(now)
	if t.held == 0 {
		t.missed = true
		return false
	}
	t.consume(1)
	t.used++
	t.usedSinceGrant++
	t.noteUse(now)
	return true
}

// takeStandby uses the proxy's part of the rate while no owner answers. answeredAt is
// when one last did.
func (t *holding) takeStandby(now, answeredAt time.Duration) bool {
	silent := now - answeredAt - standbyAfter
	if t.standbyRate == 0 || silent < 0 || silent > t.standbyFor {
		return false
	}
	if answeredAt != t.standbySince {
		t.standbySince, t.standbyUsed = answeredAt, 0
	}
	if float64(t.standbyUsed) >= 1+t.standbyRate*silent.Seconds() {
		return false
	}
	t.standbyUsed++
	t.noteUse(now)
	return true
}

// giveToken takes a token back that was used for nothing. The use that was or will be
// reported stands for the next one.
func (t *holding) giveToken(now time.Duration) {
	if t.used == 0 {
		return
	}
	t.used--
	t.held++
	t.lots = append(t.lots, heldLot{tokens: 1, until: now + returnedFor})
}

func (t *holding) noteUse(now time.Duration) {
	t.advance(now)
	t.slots[t.slot%demandSlots]++
	t.lastUse = now
}

// consume takes tokens from the oldest lots.
func (t *holding) consume(tokens int64) {
	t.held -= tokens
	for tokens > 0 {
		part := min(tokens, t.lots[0].tokens)
		t.lots[0].tokens -= part
		tokens -= part
		if t.lots[0].tokens == 0 {
			// Copying keeps the array, so that grants do not allocate for ever.
			t.lots = append(t.lots[:0], t.lots[1:]...)
		}
	}
}

// expire returns tokens whose lifetime has ended.
func (t *holding) expire(now time.Duration) {
	for len(t.lots) > 0 && t.lots[0].until <= now {
		tokens := t.lots[0].tokens
		t.consume(tokens)
		t.returned += tokens
	}
}

// advance clears the counts of slots that have passed.
func (t *holding) advance(now time.Duration) {
	slot := int64(now / useSlot)
	if slot-t.slot >= demandSlots {
		t.slots = [demandSlots]int64{}
		t.slot = slot
	}
	for t.slot < slot {
		t.slot++
		t.slots[t.slot%demandSlots] = 0
	}
}

// recentUse sums the newest slots.
func (t *holding) recentUse(now time.Duration, slots int64) int64 {
	t.advance(now)
	sum := int64(0)
	for i := range slots {
		sum += t.slots[(t.slot+demandSlots-i)%demandSlots]
	}
	return sum
}

// urgent tells whether too little is left. While the bucket is empty, refill is
// lost until use is reported, so a quarter used is reported; otherwise a quarter
// left is.
func (t *holding) urgent() bool {
	if t.missed {
		return true
	}
	unreported := t.used - t.reportedUsed
	if unreported == 0 {
		return false
	}
	if t.exhausted {
		return 4*unreported >= t.afterGrant
	}
	return 4*t.held < t.afterGrant
}

func (t *holding) gap(now time.Duration) time.Duration {
	if t.isExhausted(now) {
		return exhaustedReportGap
	}
	return reportGap
}

func (t *holding) isExhausted(now time.Duration) bool {
	return t.exhausted && now-t.exhaustedAt < exhaustedFor
}

// wanted is what the proxy would like to hold.
func (t *holding) wanted(now time.Duration) int64 {
	wanted := t.recentUse(now, demandSlots) + t.waiting
	if t.missed {
		wanted = max(wanted, 1)
	}
	if !t.isExhausted(now) && now-t.lastUse < t.spareFor {
		wanted++
	}
	return wanted
}

// keep is how much of what it holds the proxy keeps.
func (t *holding) keep(now time.Duration) int64 {
	if t.isExhausted(now) {
		return t.recentUse(now, recentSlots) + t.waiting
	}
	return (t.reserve+1)*t.wanted(now) + 1
}

// giveBack returns what the proxy does not need. The owner must have answered on this
// stream, because tokens returned without an owner are lost.
func (t *holding) giveBack(now time.Duration) {
	if !t.isExhausted(now) {
		// Old tokens are exchanged for new ones, which last through an election.
		t.expire(now + t.renewBefore)
	}
	if excess := t.held - t.keep(now); excess > 0 {
		t.consume(excess)
		t.returned += excess
	}
}

// report returns nil when there is nothing to say that the owner does not know.
func (t *holding) report(now time.Duration) *controlpb.TokenDemand {
	t.expire(now)
	if t.answered {
		t.giveBack(now)
	}
	wanted, waiting := t.wanted(now), t.waiting
	if t.missed {
		waiting = max(waiting, 1)
	}
	t.missed = false
	first := !t.reported && t.usedSinceGrant > 0
	t.reported = true
	changed := first || t.used != t.reportedUsed || t.returned != t.reportedReturned || wanted != t.reportedWanted
	if !changed && waiting == 0 && t.answered {
		return nil
	}
	if !changed && t.held == 0 && wanted == 0 {
		return nil
	}
	t.reportedUsed, t.reportedReturned, t.reportedWanted = t.used, t.returned, wanted
	d := &controlpb.TokenDemand{
		UsedTotal: uint64(t.used), ReturnedTotal: uint64(t.returned), Wanted: uint64(wanted), Waiting: uint64(waiting),
	}
	if !t.answered {
		d.HeldAtStart, d.UsedSinceGrant = uint64(t.heldAtStart), uint64(t.usedSinceGrant)
		d.Rate, d.Burst = t.rate, t.burst
	}
	return d
}

func (t *holding) grant(now, until time.Duration, g *controlpb.TokenGrant) {
	t.exhausted, t.exhaustedAt = g.Exhausted, now
	t.answered = true
	t.standbyRate = g.StandbyRate
	if tokens := int64(g.Tokens); tokens > 0 {
		t.lots = append(t.lots, heldLot{tokens: tokens, until: until})
		t.held += tokens
		t.usedSinceGrant, t.rate, t.burst = 0, g.Rate, g.Burst
	}
	t.expire(now)
	t.afterGrant = t.held
}

func (t *holding) startStream(now time.Duration) {
	t.expire(now)
	t.used, t.returned, t.heldAtStart = 0, 0, t.held
	t.reportedUsed, t.reportedReturned, t.reportedWanted = 0, 0, 0
	t.exhausted = false
	t.reported, t.answered = false, false
	t.afterGrant = t.held
}
