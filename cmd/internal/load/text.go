package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// WriteText writes the report as a table and a summary for readers.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s: %.0f requests/s for %.0f s on %d targets, seed %d, run %s\n",
		r.Profile, r.Rate, r.DurationS, r.Targets, r.Seed, r.Run)
	fmt.Fprintln(t, "team\tkind\tscheduled\tanswered\ton time\trefused\tfailed\tunknown\tunsent\tp50 ms\tp99 ms\tmax ms\t")
	for _, team := range r.Teams {
		for _, kind := range sortedKeys(team.Kinds) {
			writeCounts(t, team.Team, kind, team.Kinds[kind].Counts, team.Kinds[kind].Latency)
		}
		writeCounts(t, team.Team, "all", team.Counts, team.Latency)
	}
	writeCounts(t, "all", "all", r.Total, r.Latency)
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeSummary(w)
}

func writeCounts(w io.Writer, team, kind string, c Counts, l Latency) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n", team, kind,
		c.Scheduled, c.Answered, c.OnTime, c.Refused, c.Failed, c.Unknown, c.Unsent, l.P50Ms, l.P99Ms, l.MaxMs)
}

func (r *Report) writeSummary(w io.Writer) error {
	p := errWriter{w: w}
	for _, code := range sortedKeys(r.Refusals) {
		p.printf("result code %s: %d", code, r.Refusals[code])
	}
	for _, state := range sortedKeys(r.SQLStates) {
		p.printf("SQLSTATE %s: %d", state, r.SQLStates[state])
	}
	p.printf("wait for a client session: p99 %.2f ms", r.ClientWaitP99Ms)
	p.printf("worst-served team: %s, %.2f %% on time; slowest: %s, p99 %.2f ms, %.2f times the median team's",
		r.Worst.Team, 100*r.Worst.OnTimeShare, r.Worst.SlowestTeam, r.Worst.P99Ms, r.Worst.P99Ratio)
	p.printf("wrongful refusals: %d (%.3f in 1,000); overshoot: %.2f requests",
		r.WrongfulRefusals.Count, r.WrongfulRefusals.PerThousand, r.Overshoot)
	for _, s := range r.ReplicaReads {
		p.printf("reads by replicas (%s): %.2f %% of %.0f", s.Kind, 100*s.Share, s.Replica+s.Primary)
	}
	for _, kind := range sortedKeys(r.WrongAnswers) {
		p.printf("wrong answers to %s: %d", kind, r.WrongAnswers[kind])
	}
	p.printf("bounded-staleness reads: %d checked, %d too old", r.Staleness.Checked, r.Staleness.TooOld)
	for _, f := range r.Failovers {
		p.printf("failover of group %d, timeline %d to %d: gap %.0f ms, %d writes acknowledged by the old primary afterwards",
			f.Group, f.FromTimeline, f.ToTimeline, f.GapMs, f.OldPrimaryWrites)
	}
	for _, e := range r.Events {
		p.printf("event at %d ms (%s%s%s) ran at %d ms %s", e.AtMs, e.Signal, e.Post, e.Move, e.RanMs, e.Error)
	}
	if r.Checks == nil {
		p.printf("acknowledged writes were not checked: no upstreams were given")
		return p.err
	}
	c := r.Checks
	p.printf("writes: %d sent, %d acknowledged, %d lost, %d doubled, %d mixed, %d falsely reported as not run",
		c.Writes, c.Acknowledged, c.Lost, c.Duplicated, c.Mismatched, c.FalselyNotRun)
	p.printf("reads: %d stale own reads, %d unreported losses", c.StaleOwnReads, c.UnreportedLosses)
	for _, example := range c.Examples {
		p.printf("  %s", example)
	}
	return p.err
}

// errWriter keeps the first write error and skips all later writes.
type errWriter struct {
	w   io.Writer
	err error
}

func (p *errWriter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}
