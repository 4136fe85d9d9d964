package throttle

import (
	"math"
	"time"
)

const (
	// silentAfter is the time without a report after which a node counts as silent: two report
	// intervals. It may go on for answerTTL.
	silentAfter = 500 * time.Millisecond
	// rateMemory is the time over which the rate of a team at a node is averaged.
	rateMemory = time.Second
)

// node is the leader's state of one stream of a node.
type node struct {
	stream     uint64
	byTeam     map[string]counts
	reports    int
	reportedAt time.Duration
	// withheld holds the rates that are withheld for the node from reportedAt on, while it is
	// silent and may still admit requests.
	withheld map[string]float64
	// ended is set once the stream has ended.
	ended bool
}

// counts are the totals of a team at a node.
type counts struct {
	admitted int64
	arrived  uint64
	rate     decayingRate
}

// decayingRate is a moving average of events per second.
type decayingRate struct {
	perSecond float64
	at        time.Duration
}

func (r decayingRate) value(now time.Duration) float64 {
	return r.perSecond * math.Exp(-(now-r.at).Seconds()/rateMemory.Seconds())
}

func (r decayingRate) add(now time.Duration, events float64) decayingRate {
	return decayingRate{r.value(now) + events/rateMemory.Seconds(), now}
}

// EndStream records that a node's stream has ended. A node that has left admits nothing more.
func (l *Limiter) EndStream(now time.Duration, name string, left bool) {
	n := l.nodes[name]
	switch {
	case n == nil:
	case left:
		l.endWithholding(now, n)
		delete(l.nodes, name)
	default:
		n.ended = true
		l.withhold(n)
	}
}

// withholdForSilentNodes withholds from the teams what silent nodes may use, for as long as they
// may.
func (l *Limiter) withholdForSilentNodes(now time.Duration) {
	for name, n := range l.nodes {
		switch silent := now - n.reportedAt; {
		case silent < silentAfter:
		case silent <= answerTTL:
			l.withhold(n)
		default:
			l.stopWithholding(now, n)
			if n.ended {
				delete(l.nodes, name)
			}
		}
	}
}

// withhold withholds the rates of a node since its last report.
func (l *Limiter) withhold(n *node) {
	if n.withheld != nil {
		return
	}
	n.withheld = map[string]float64{}
	for name, c := range n.byTeam {
		t, rate := l.teams[name], c.rate.value(n.reportedAt)
		if t == nil || rate == 0 {
			continue
		}
		n.withheld[name] = rate
		t.charge(rate*max(0, (t.refilledAt-n.reportedAt).Seconds()), maxDebt)
		t.withheld += rate
	}
}

// stopWithholding ends the withholding for a node that can admit nothing more.
func (l *Limiter) stopWithholding(now time.Duration, n *node) {
	for name, rate := range n.withheld {
		if t := l.teams[name]; t != nil {
			t.refill(now)
			t.withheld -= rate
		}
	}
	n.withheld = nil
}

// endWithholding ends the withholding for a node that reports what it has used, and returns what
// was withheld.
func (l *Limiter) endWithholding(now time.Duration, n *node) {
	for name, rate := range n.withheld {
		if t := l.teams[name]; t != nil {
			t.refill(now)
			t.charge(-rate*(now-n.reportedAt).Seconds(), maxDebt)
		}
	}
	l.stopWithholding(now, n)
}
