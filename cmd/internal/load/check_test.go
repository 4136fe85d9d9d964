package load

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/api/rescode"
)

func newWriteRecord(request string, outcome Outcome, lines bool) record {
	kind := Write
	if lines {
		kind = TransactionWrite
	}
	return record{kind: kind, outcome: outcome, intent: &writeIntent{request: request, team: "t", session: "s", sequence: 1, hasLine: lines}}
}

func newStoredRow(request string) storedRow { return storedRow{request, "t", "s", 1} }

// Guards against a fault that is not reported or is reported as another kind.
func TestCheckFindsEachFault(t *testing.T) {
	other := newStoredRow("r-1")
	other.session = "someone else"
	acknowledged := newWriteRecord("r-1", Answered, false)
	missed := record{kind: ReadYourWrites, expected: acknowledged.intent, rowMissing: true}
	for name, test := range map[string]struct {
		records []record
		rows    []storedRow
		lines   map[string]int
		want    Checks
	}{
		"consistent": {
			records: []record{newWriteRecord("r-1", Answered, true), newWriteRecord("r-2", Refused, false), newWriteRecord("r-3", Unknown, false)},
			rows:    []storedRow{newStoredRow("r-1"), newStoredRow("r-3"), newStoredRow("another-run-1")},
			lines:   map[string]int{"r-1": 1},
			want:    Checks{Writes: 3, Acknowledged: 1},
		},
		"lost":       {records: []record{acknowledged}, want: Checks{Writes: 1, Acknowledged: 1, Lost: 1}},
		"doubled":    {records: []record{newWriteRecord("r-1", Unknown, false)}, rows: []storedRow{newStoredRow("r-1"), newStoredRow("r-1")}, want: Checks{Writes: 1, Duplicated: 1}},
		"mixed row":  {records: []record{acknowledged}, rows: []storedRow{other}, want: Checks{Writes: 1, Acknowledged: 1, Mismatched: 1}},
		"no line":    {records: []record{newWriteRecord("r-1", Answered, true)}, rows: []storedRow{newStoredRow("r-1")}, want: Checks{Writes: 1, Acknowledged: 1, Mismatched: 1}},
		"never sent": {rows: []storedRow{newStoredRow("r-9")}, want: Checks{Mismatched: 1}},
		"not run":    {records: []record{newWriteRecord("r-1", Refused, false)}, rows: []storedRow{newStoredRow("r-1")}, want: Checks{Writes: 1, FalselyNotRun: 1}},
		"failed":     {records: []record{newWriteRecord("r-1", Failed, false)}, rows: []storedRow{newStoredRow("r-1")}, want: Checks{Writes: 1, FalselyNotRun: 1}},
		"stale":      {records: []record{acknowledged, missed}, rows: []storedRow{newStoredRow("r-1")}, want: Checks{Writes: 1, Acknowledged: 1, StaleOwnReads: 1}},
		"unreported": {records: []record{acknowledged, missed}, want: Checks{Writes: 1, Acknowledged: 1, Lost: 1, UnreportedLosses: 1}},
	} {
		got := checkRecords("r", test.records, &storedData{rows: test.rows, lineCounts: test.lines})
		got.Examples = nil
		if diff := cmp.Diff(test.want, *got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Guards against an error that counts as "not run" although its outcome is unknown,
// and the reverse.
func TestErrorOutcome(t *testing.T) {
	detail := func(code rescode.Code, state string) error {
		return &pgconn.PgError{Code: state, Detail: "jayloom code " + strconv.Itoa(int(code))}
	}
	for _, test := range []struct {
		err  error
		sent bool
		want Outcome
		code rescode.Code
	}{
		{io.ErrUnexpectedEOF, true, Unknown, 0},
		{io.ErrUnexpectedEOF, false, Unsent, 0},
		{transactionError(io.ErrUnexpectedEOF, false), true, Failed, 0},
		{transactionError(io.ErrUnexpectedEOF, true), true, Unknown, 0},
		{&pgconn.PgError{Code: "23505"}, true, Failed, 0},
		{&pgconn.PgError{Code: "57P01"}, true, Unknown, 0},
		{detail(rescode.RateExceeded, "53400"), true, Refused, rescode.RateExceeded},
		{detail(rescode.ProxyDetached, "57P03"), false, Refused, rescode.ProxyDetached},
		{detail(rescode.AnswerLost, "08007"), true, Unknown, rescode.AnswerLost},
		{errors.Join(detail(rescode.TransactionAborted, "40001"), errNotCommitted), true, Refused, rescode.TransactionAborted},
	} {
		var r record
		r.setError(test.err, test.sent)
		if r.outcome != test.want || r.code != test.code {
			t.Errorf("%v, sent %v: %v with code %v", test.err, test.sent, r.outcome, r.code)
		}
	}
}

// Guards against counting refusals above the rate as wrongful, and against missing
// wrongful refusals within it.
func TestWrongfulRefusals(t *testing.T) {
	at := func(ms int, refused bool) tokenUse {
		return tokenUse{sent: time.Duration(ms) * time.Millisecond, done: time.Duration(ms) * time.Millisecond, cost: 1, refused: refused}
	}
	// Rate 10/s and burst 2 allow two requests at once and the next after 100 ms.
	list := []tokenUse{at(0, false), at(0, false), at(50, true), at(150, true), at(150, false), at(160, true)}
	if got := countWrongfulRefusals(list, 10, 2); got != 1 {
		t.Fatalf("%d wrongful refusals, want 1: the one at 150 ms", got)
	}
}

// Guards against a segment tree search that misses or overstates an overshoot.
func TestOvershootMatchesExhaustiveSearch(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var list []tokenUse
		sent := time.Duration(0)
		for range 1 + random.IntN(40) {
			sent += time.Duration(random.IntN(200)) * time.Millisecond
			list = append(list, tokenUse{
				sent: sent, done: sent + time.Duration(random.IntN(300))*time.Millisecond,
				cost: float64(1 + random.IntN(2)), refused: random.IntN(5) == 0,
			})
		}
		rate, burst := 1+9*random.Float64(), 5*random.Float64()
		want := exhaustiveOvershoot(list, rate, burst)
		if got := maxOvershoot(list, rate, burst); got-want > 1e-6 || want-got > 1e-6 {
			t.Fatalf("seed %d: overshoot %g, want %g", seed, got, want)
		}
	}
}

func exhaustiveOvershoot(list []tokenUse, rate, burst float64) float64 {
	worst := 0.0
	for _, begin := range list {
		for _, end := range list {
			if begin.refused || end.refused || end.done < begin.sent {
				continue
			}
			total := 0.0
			for _, u := range list {
				if !u.refused && u.sent >= begin.sent && u.done <= end.done {
					total += u.cost
				}
			}
			worst = max(worst, total-rate*(end.done-begin.sent).Seconds()-burst)
		}
	}
	return worst
}

// Guards against arrivals that differ between runs with the same seed, or do not
// match the rate or the mix.
func TestArrivals(t *testing.T) {
	rate := func(time.Duration) float64 { return 1000 }
	mix := Profiles()["paplate"].Mix
	a, b := newArrivals(3, 1, mix, rate), newArrivals(3, 1, mix, rate)
	var counts [numMixKinds]int
	var last arrival
	for range 20_000 {
		last = a.next()
		if last != b.next() {
			t.Fatal("the same seed gave different arrivals")
		}
		counts[last.kind]++
	}
	if last.at < 19*time.Second || last.at > 21*time.Second {
		t.Fatalf("20,000 arrivals at 1,000/s took %v", last.at)
	}
	for k, want := range mix {
		if got := float64(counts[k]) / 20_000; got < want-0.02 || got > want+0.02 {
			t.Errorf("the share of %v is %.3f, want %.3f", Kind(k), got, want)
		}
	}
}

// Guards against a gap that is measured between the wrong writes, and against missing
// an acknowledgement by the old primary after the failover.
func TestFailovers(t *testing.T) {
	ack := func(group, timeline, sentMs, doneMs int) record {
		return record{kind: Write, group: group, timeline: timeline, outcome: Answered,
			sent: time.Duration(sentMs) * time.Millisecond, done: time.Duration(doneMs) * time.Millisecond}
	}
	got := findFailovers([]record{
		ack(0, 1, 0, 10), ack(0, 1, 80, 100), ack(0, 2, 1500, 2100), ack(0, 2, 1600, 1900), ack(0, 1, 1950, 2000),
		ack(1, 1, 0, 5), {kind: Write, group: 1, timeline: 2, outcome: Unknown},
	})
	want := []Failover{{Group: 0, FromTimeline: 1, ToTimeline: 2, GapMs: -100, OldPrimaryWrites: 1}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against missing reads beyond the maximum staleness, and against counting
// reads as too old because of updates that a failover lost.
func TestCheckStaleness(t *testing.T) {
	const maxAge = 100 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	update := func(timeline, doneMs int, value int64) record {
		return record{kind: ClockUpdate, timeline: timeline, done: ms(doneMs), clockValue: value}
	}
	read := func(timeline, sentMs int, value int64) record {
		return record{kind: BoundedStalenessRead, timeline: timeline, sent: ms(sentMs), clockValue: value}
	}
	updates := []record{update(1, 10, 1), update(1, 50, 2), update(2, 300, 3)}
	for _, test := range []struct {
		read   record
		tooOld int
	}{
		{read(1, 149, 1), 0},                    // the update at 50 ms is within the maximum staleness
		{read(1, 151, 1), 1},                    // the update is beyond it and was missed
		{read(1, 151, 2), 0},                    // the update was seen
		{read(2, 250, 1), 0},                    // the failover may have lost the update
		{read(2, 401, 2), 1},                    // the new primary's update was missed
		{read(1, 401, 2), 1},                    // a replica of the old timeline
		{record{kind: BoundedStalenessRead}, 0}, // the clock row was not read
	} {
		if got := checkStaleness(append(updates, test.read), maxAge); got.TooOld != test.tooOld {
			t.Errorf("%+v: %+v", test.read, got)
		}
	}
}

// Guards against a regression that passes, and against a missing number that passes.
func TestCompare(t *testing.T) {
	number := func(v float64) *float64 { return &v }
	before, after := map[string]float64{"a": 100, "b": 100}, map[string]float64{"a": 111, "b": 89, "new": 1}
	for _, test := range []struct {
		bound     Bound
		wantHolds bool
	}{
		{Bound{Path: "a", Max: number(111)}, true},
		{Bound{Path: "a", Max: number(110)}, false},
		{Bound{Path: "b", Min: number(90)}, false},
		{Bound{Path: "a", MaxIncrease: number(0.1)}, false},
		{Bound{Path: "a", MaxIncrease: number(0.1), Slack: 1}, true},
		{Bound{Path: "b", MaxDecrease: number(0.1)}, false},
		{Bound{Path: "b", MaxIncrease: number(0)}, true},
		{Bound{Path: "gone", Max: number(1)}, false},
		{Bound{Path: "new", MaxIncrease: number(1)}, false},
	} {
		if f := compare(before, after, []Bound{test.bound})[0]; (f.Violation == "") != test.wantHolds {
			t.Errorf("%+v: %q", test.bound, f.Violation)
		}
	}
	got := numbersByPath(map[string]any{"x": map[string]any{"y": []any{1.5, "text", map[string]any{"z": 2.0}}}})
	if diff := cmp.Diff(map[string]float64{"x.y.0": 1.5, "x.y.2.z": 2}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against swapping the old and the new report or ignoring a missing one.
func TestCompareFiles(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"old": `{"a": 1}`, "new": `{"a": 2}`, "bounds": `[{"path": "a", "max_increase": 0.5}] /* comment */`,
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path := func(name string) string { return filepath.Join(dir, name) }
	for _, test := range []struct {
		before, after string
		holds         bool
	}{{"old", "new", false}, {"new", "old", true}, {"old", "old", true}} {
		findings, err := CompareFiles(path(test.before), path(test.after), path("bounds"))
		if err != nil || len(findings) != 1 || (findings[0].Violation == "") != test.holds {
			t.Errorf("%s to %s: %+v, %v", test.before, test.after, findings, err)
		}
	}
	if _, err := CompareFiles(path("old"), path("missing"), path("bounds")); err == nil {
		t.Error("a missing report is accepted")
	}
}

// Guards against a share that mixes kinds of reads or includes reads from before
// the run.
func TestReplicaShares(t *testing.T) {
	read := func(text string) map[string]float64 {
		sums := map[string]float64{}
		if err := parseMetrics(strings.NewReader(text), sums); err != nil {
			t.Fatal(err)
		}
		return sums
	}
	before := read("# comment\nreads{kind=\"age\",target=\"replica\"} 10\n")
	after := read("reads{kind=\"age\",target=\"replica\"} 28\nreads{target=\"primary\",kind=\"age\"} 2\nreads{kind=\"own\",target=\"primary\"} 4\nreads_other{target=\"replica\"} 9\n")
	want := []ReplicaShare{
		{Kind: `kind="age"`, Replica: 18, Primary: 2, Share: 0.9},
		{Kind: `kind="own"`, Primary: 4},
	}
	if diff := cmp.Diff(want, replicaShares("reads", before, after)); diff != "" {
		t.Fatal(diff)
	}
}
