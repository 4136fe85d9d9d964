package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jayloom/jayloom/api/rescode"
)

// Range and precision of latency histograms, in microseconds.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

// Report is the result of a run.
type Report struct {
	Profile   string  `json:"profile"`
	Run       string  `json:"run"`
	Seed      uint64  `json:"seed"`
	DurationS float64 `json:"duration_s"`
	Rate      float64 `json:"rate"`
	Targets   int     `json:"targets"`

	Total   Counts  `json:"total"`
	Latency Latency `json:"latency"`
	// ClientWaitP99Ms is the time that requests waited for a session of the load
	// generator. It is part of the latency; a high value calls for more sessions.
	ClientWaitP99Ms float64        `json:"client_wait_p99_ms"`
	Teams           []TeamReport   `json:"teams"`
	Refusals        map[string]int `json:"refusals"`
	// SQLStates counts the SQLSTATEs of errors without a result code.
	SQLStates map[string]int `json:"states"`

	Worst            WorstTeams     `json:"worst"`
	WrongfulRefusals WrongfulReport `json:"wrongful_refusals"`
	Overshoot        float64        `json:"overshoot"`
	// WrongAnswers counts, by kind of request, answers that belong to another request.
	WrongAnswers    map[string]int  `json:"wrong_answers"`
	Failovers       []Failover      `json:"failovers"`
	WorstFailoverMs float64         `json:"worst_failover_ms"`
	ReplicaReads    []ReplicaShare  `json:"replica_reads"`
	Staleness       StalenessReport `json:"ages"`
	Events          []EventResult   `json:"events"`
	// Checks is nil if the configuration names no upstreams to read.
	Checks *Checks `json:"checks,omitempty"`
}

// Counts holds numbers of requests by outcome.
type Counts struct {
	Scheduled int `json:"scheduled"`
	Answered  int `json:"answered"`
	OnTime    int `json:"on_time"` // answered within the deadline
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	Unsent    int `json:"unsent"`
}

// Latency holds percentiles of answered requests, measured from the scheduled
// arrival.
type Latency struct {
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	MaxMs  float64 `json:"max_ms"`
}

// TeamReport is the part of a report about one team.
type TeamReport struct {
	Team    string                `json:"team"`
	Counts  Counts                `json:"counts"`
	Latency Latency               `json:"latency"`
	Kinds   map[string]KindReport `json:"kinds"`
	// Refusals counts result codes by name.
	Refusals map[string]int `json:"refusals"`
	// OnTimeShare is the share of the team's requests answered within the deadline.
	OnTimeShare      float64        `json:"on_time_share"`
	WrongfulRefusals WrongfulReport `json:"wrongful_refusals"`
	Overshoot        float64        `json:"overshoot"`
}

// KindReport is the part of a team report about one kind of request.
type KindReport struct {
	Counts  Counts  `json:"counts"`
	Latency Latency `json:"latency"`
}

// WorstTeams compares the worst-served team and the slowest team with the median team.
// The burst team, which exceeds its rate on purpose, is excluded.
type WorstTeams struct {
	Team        string  `json:"team"`
	OnTimeShare float64 `json:"on_time_share"`
	SlowestTeam string  `json:"slowest_team"`
	P99Ms       float64 `json:"p99_ms"`
	MedianP99Ms float64 `json:"median_p99_ms"`
	// P99Ratio is the slowest team's p99 over the median team's.
	P99Ratio float64 `json:"p99_ratio"`
}

// WrongfulReport counts refusals of requests that were within the rate limit.
type WrongfulReport struct {
	Count       int     `json:"count"`
	PerThousand float64 `json:"per_thousand"`
}

// Failover is a change of primary as observed by clients.
type Failover struct {
	Group        int `json:"group"`
	FromTimeline int `json:"from_timeline"`
	ToTimeline   int `json:"to_timeline"`
	// GapMs is the time from the last write acknowledged by the old primary to the
	// first acknowledged by the new one.
	GapMs float64 `json:"gap_ms"`
	// OldPrimaryWrites counts writes that the old primary acknowledged although they
	// were sent after the new primary had acknowledged one.
	OldPrimaryWrites int `json:"old_after_new"`
}

// tally accumulates counts and latencies of requests.
type tally struct {
	counts    Counts
	histogram *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

func (t *tally) add(r *record, deadline time.Duration) {
	t.counts.Scheduled++
	switch r.outcome {
	case Answered:
		t.counts.Answered++
		if r.latency() <= deadline {
			t.counts.OnTime++
		}
		t.observe(r.latency())
	case Refused:
		t.counts.Refused++
	case Failed:
		t.counts.Failed++
	case Unknown:
		t.counts.Unknown++
	case Unsent:
		t.counts.Unsent++
	}
}

func (t *tally) observe(d time.Duration) {
	// The value is clamped to the range of the histogram, so recording cannot fail.
	_ = t.histogram.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (t *tally) latency() Latency {
	at := func(q float64) float64 { return float64(t.histogram.ValueAtQuantile(q)) / 1000 }
	return Latency{P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9), MaxMs: float64(t.histogram.Max()) / 1000}
}

func (r *run) buildReport(events []EventResult) *Report {
	records := r.recorder.records
	report := &Report{
		Profile: r.profile.Name, Run: r.id, Seed: r.config.Seed,
		DurationS: r.config.Duration.Seconds(), Rate: r.config.Rate, Targets: len(r.config.Targets),
		Refusals: map[string]int{}, SQLStates: map[string]int{}, WrongAnswers: map[string]int{}, Events: events,
	}
	all, wait := newTally(), newTally()
	for i := range records {
		rec := &records[i]
		all.add(rec, r.config.Deadline)
		wait.observe(rec.dequeued - rec.scheduled)
		if rec.wrongAnswer {
			report.WrongAnswers[rec.kind.String()]++
		}
		if rec.code != rescode.OK {
			report.Refusals[rec.code.String()]++
		} else if rec.sqlState != "" {
			report.SQLStates[rec.sqlState]++
		}
	}
	report.Total, report.Latency = all.counts, all.latency()
	report.ClientWaitP99Ms = wait.latency().P99Ms
	for _, t := range r.teams {
		report.Teams = append(report.Teams, r.teamReport(t, records))
	}
	report.summarizeTeams(r.config.BurstTeam)
	report.Staleness = checkStaleness(records, r.profile.maxStaleness())
	report.Failovers = findFailovers(records)
	for _, f := range report.Failovers {
		report.WorstFailoverMs = max(report.WorstFailoverMs, f.GapMs)
	}
	return report
}

func (r *run) teamReport(t *teamState, records []record) TeamReport {
	all := newTally()
	byKind := map[Kind]*tally{}
	report := TeamReport{Team: t.Name, Kinds: map[string]KindReport{}, Refusals: map[string]int{}}
	for i := range records {
		rec := &records[i]
		if rec.team != t.index {
			continue
		}
		if byKind[rec.kind] == nil {
			byKind[rec.kind] = newTally()
		}
		all.add(rec, r.config.Deadline)
		byKind[rec.kind].add(rec, r.config.Deadline)
		if rec.code != rescode.OK {
			report.Refusals[rec.code.String()]++
		}
	}
	for k, tally := range byKind {
		report.Kinds[k.String()] = KindReport{Counts: tally.counts, Latency: tally.latency()}
	}
	report.Counts, report.Latency = all.counts, all.latency()
	report.OnTimeShare = ratio(all.counts.OnTime, all.counts.Scheduled)
	if t.Rate > 0 {
		list := tokenUses(records, t.index, r.config.TransactionCost)
		report.WrongfulRefusals.Count = countWrongfulRefusals(list, t.Rate, t.Burst)
		report.WrongfulRefusals.PerThousand = 1000 * ratio(report.WrongfulRefusals.Count, len(list))
		report.Overshoot = maxOvershoot(list, t.Rate, t.Burst)
	}
	return report
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func (r *Report) summarizeTeams(burstTeam string) {
	var p99s []float64
	requests := 0
	for _, t := range r.Teams {
		r.WrongfulRefusals.Count += t.WrongfulRefusals.Count
		requests += t.Counts.Scheduled
		r.Overshoot = max(r.Overshoot, t.Overshoot)
		if t.Team == burstTeam || t.Counts.Scheduled == 0 {
			continue
		}
		p99s = append(p99s, t.Latency.P99Ms)
		if r.Worst.Team == "" || t.OnTimeShare < r.Worst.OnTimeShare {
			r.Worst.Team, r.Worst.OnTimeShare = t.Team, t.OnTimeShare
		}
		if t.Latency.P99Ms >= r.Worst.P99Ms {
			r.Worst.SlowestTeam, r.Worst.P99Ms = t.Team, t.Latency.P99Ms
		}
	}
	if requests > 0 {
		r.WrongfulRefusals.PerThousand = 1000 * ratio(r.WrongfulRefusals.Count, requests)
	}
	r.Worst.MedianP99Ms = median(p99s)
	if r.Worst.MedianP99Ms > 0 {
		r.Worst.P99Ratio = r.Worst.P99Ms / r.Worst.MedianP99Ms
	}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// findFailovers finds changes of timeline in the acknowledged writes of each group.
func findFailovers(records []record) []Failover {
	type span struct{ first, last time.Duration }
	groups := map[int]map[int]*span{}
	for i := range records {
		r := &records[i]
		if r.outcome != Answered || r.timeline == 0 || r.kind == BoundedStalenessRead {
			continue
		}
		if groups[r.group] == nil {
			groups[r.group] = map[int]*span{}
		}
		s, ok := groups[r.group][r.timeline]
		if !ok {
			s = &span{first: r.done, last: r.done}
			groups[r.group][r.timeline] = s
		}
		s.first, s.last = min(s.first, r.done), max(s.last, r.done)
	}
	var list []Failover
	for _, group := range sortedKeys(groups) {
		timelines := sortedKeys(groups[group])
		for i := 1; i < len(timelines); i++ {
			from, to := timelines[i-1], timelines[i]
			gap := groups[group][to].first - groups[group][from].last
			list = append(list, Failover{
				Group: group, FromTimeline: from, ToTimeline: to,
				GapMs:            float64(gap.Microseconds()) / 1000,
				OldPrimaryWrites: countSentAfter(records, group, from, groups[group][to].first),
			})
		}
	}
	return list
}

// countSentAfter counts acknowledged writes on a timeline that were sent after at.
func countSentAfter(records []record, group, timeline int, at time.Duration) int {
	count := 0
	for i := range records {
		r := &records[i]
		if r.outcome == Answered && r.kind != BoundedStalenessRead && r.group == group && r.timeline == timeline && r.sent > at {
			count++
		}
	}
	return count
}
