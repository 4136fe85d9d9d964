package throttle

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// answerTTL is how long a node goes on with the newest fractions while no leader answers:
	// an election and the return of all nodes.
	answerTTL = 3300 * time.Millisecond
	// unansweredBase and unansweredFactor limit what a node admits of a team after the newest
	// answer: so many requests, and so many times the rate at which it admitted them before, or
	// its equal part of the team's rate if that is more.
	unansweredBase   = 8.0
	unansweredFactor = 1.5
	// urgentRequests is the number of unreported requests of a team that make a report urgent.
	urgentRequests = 4
	// minReportInterval is the least time between a report and an urgent one.
	minReportInterval = 10 * time.Millisecond
	// reportSpacing is the least time between the urgent reports of all nodes together, so that
	// hundreds of nodes under load do not send more than a leader can handle. The interval of
	// one node that follows from it is at most maxReportInterval.
	reportSpacing     = 250 * time.Microsecond
	maxReportInterval = 100 * time.Millisecond
	// maxLocalDebt is the debt of a team on one node, as time of refill: a node by itself does
	// not exceed the team's limits.
	maxLocalDebt = 0
	// never is the time of an urgent report while none is.
	never = time.Duration(math.MaxInt64)
)

// Verdict tells whether a request is admitted.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota
	// Limited: the team uses more than its rate and burst over the whole fleet.
	Limited
	// LimitedHere: the team uses more than its rate and burst on this node alone.
	LimitedHere
	// NoLeader: no leader has answered for so long that the limits are not known, or the team
	// has used much more than before since the newest answer.
	NoLeader
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"admitted", "fleet", "node", "no_leader"}[v]
}

// Gate admits requests on one node. It is safe for concurrent use.
type Gate struct {
	// requestReport is called, without mu held, when a report becomes urgent.
	requestReport func()
	// draw returns a random number below its argument.
	draw func(uint32) uint32

	mu         sync.Mutex
	teams      map[string]*localTeam
	answeredAt time.Duration
	// hasAnswer is set once a leader has answered, newestAnswered while the newest report is
	// answered.
	hasAnswer, newestAnswered bool
	reportedAt                time.Duration
	urgentAt                  time.Duration
	reportInterval            time.Duration
	// nodes is the number of nodes that report to the leader.
	nodes int
}

// localTeam is a node's state of a team.
type localTeam struct {
	bucket
	admit uint32
	// total counts since the stream started; reported is what of it the newest report
	// contained and answered what a leader has certainly heard.
	total, reported, answered counts
	// admittedRate is the rate of admitted requests up to the answer at answeredAt, unanswered
	// their number since.
	admittedRate decayingRate
	answeredAt   time.Duration
	unanswered   float64
}

// NewGate returns a Gate that admits nothing before a leader has answered. It calls
// requestReport when a report should be sent before the regular interval ends.
func NewGate(requestReport func()) *Gate {
	return &Gate{
		requestReport: requestReport, draw: rand.Uint32N,
		teams: map[string]*localTeam{}, urgentAt: never, reportInterval: minReportInterval, nodes: 1,
	}
}

// Admit counts a request of a team with the given limits and decides on it.
func (g *Gate) Admit(now time.Duration, name string, rate, burst float64) Verdict {
	g.mu.Lock()
	verdict := g.admit(now, g.team(now, name, rate, burst))
	urgent := now >= g.urgentAt
	g.mu.Unlock()
	if urgent {
		g.requestReport()
	}
	return verdict
}

func (g *Gate) admit(now time.Duration, t *localTeam) Verdict {
	if !g.hasAnswer || now-g.answeredAt > answerTTL {
		return NoLeader
	}
	t.total.arrived++
	if t.total.arrived-t.reported.arrived >= urgentRequests {
		g.urgentAt = min(g.urgentAt, g.reportedAt+g.reportInterval)
	}
	if t.admit < unlimited && g.draw(unlimited) >= t.admit {
		return Limited
	}
	t.refill(now)
	if t.level < 1 {
		return LimitedHere
	}
	if !g.recordAdmission(now, t) {
		return NoLeader
	}
	t.charge(1, maxLocalDebt)
	t.total.admitted++
	return Admitted
}

// recordAdmission records the admission of a request. It returns false if the node may admit no
// more of the team before the next answer: until then the leader cannot see that the team uses
// more than before, and only withholds from the others what this node used to admit.
func (g *Gate) recordAdmission(now time.Duration, t *localTeam) bool {
	if t.answeredAt != g.answeredAt {
		t.admittedRate = t.admittedRate.add(g.answeredAt, t.unanswered)
		t.answeredAt, t.unanswered = g.answeredAt, 0
	}
	rate := max(unansweredFactor*t.admittedRate.value(g.answeredAt), t.rate/float64(g.nodes))
	if t.unanswered >= unansweredBase+rate*(now-g.answeredAt).Seconds() {
		return false
	}
	t.unanswered++
	return true
}

// team returns a team's state and adds the team at its first request. The caller holds mu.
func (g *Gate) team(now time.Duration, name string, rate, burst float64) *localTeam {
	t := g.teams[name]
	if t == nil {
		t = &localTeam{admit: unlimited}
		g.teams[name] = t
	}
	if t.rate == 0 && t.burst == 0 {
		t.bucket = newBucket(now, rate, burst, burst)
	}
	if t.rate != rate || t.burst != burst {
		t.setLimits(now, rate, burst)
	}
	return t
}

// Refund takes back the admission of a request that has not run.
func (g *Gate) Refund(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.teams[name]; t != nil {
		t.charge(-1, maxLocalDebt)
		t.total.admitted--
	}
}

// Report returns the counts that have changed since the last report. They must be sent, in
// order with other reports of the stream.
func (g *Gate) Report(now time.Duration) []*controlpb.TeamUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportedAt, g.urgentAt = now, never
	var usage []*controlpb.TeamUsage
	for name, t := range g.teams {
		if g.newestAnswered {
			t.answered = t.reported
		}
		if t.total == t.reported {
			continue
		}
		t.reported = t.total
		usage = append(usage, &controlpb.TeamUsage{
			Team: name, AdmittedTotal: t.total.admitted, ArrivedTotal: t.total.arrived,
		})
	}
	g.newestAnswered = false
	return usage
}

// RecordAnswer records that a leader has answered a report, the newest one if newest is set.
func (g *Gate) RecordAnswer(now time.Duration, newest bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasAnswer, g.answeredAt = true, now
	g.newestAnswered = g.newestAnswered || newest
}

// StartStream begins a new stream, whose counts start with what no leader has answered.
func (g *Gate) StartStream() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.teams {
		if g.newestAnswered {
			t.answered = t.reported
		}
		t.total.admitted -= t.answered.admitted
		t.total.arrived -= t.answered.arrived
		t.reported, t.answered = counts{}, counts{}
	}
	g.newestAnswered = false
}

// Throttles returns the fractions in force for the first report to another leader. It returns
// none if no leader has answered lately.
func (g *Gate) Throttles(now time.Duration) []*controlpb.TeamThrottle {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasAnswer || now-g.answeredAt > answerTTL {
		return nil
	}
	var out []*controlpb.TeamThrottle
	for name, t := range g.teams {
		if t.admit < unlimited {
			out = append(out, &controlpb.TeamThrottle{Team: name, AdmitPermille: t.admit})
		}
	}
	return out
}

// Apply sets the fractions that a leader has sent. The first ones of a stream replace all of an
// earlier leader.
func (g *Gate) Apply(throttles []*controlpb.TeamThrottle, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first {
		for _, t := range g.teams {
			t.admit = unlimited
		}
	}
	for _, h := range throttles {
		t := g.teams[h.Team]
		if t == nil {
			// The limits follow with the team's first request here.
			t = &localTeam{}
			g.teams[h.Team] = t
		}
		t.admit = h.AdmitPermille
	}
}

// SetFleetSize sets the number of nodes that report to the leader.
func (g *Gate) SetFleetSize(nodes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes = max(1, nodes)
	g.reportInterval = max(minReportInterval, min(maxReportInterval, time.Duration(nodes)*reportSpacing))
}

// UrgentAt returns the time from which a report is urgent, far in the future if none is.
func (g *Gate) UrgentAt() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.urgentAt
}
