package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// kind is a kind of request of the replayed loads.
type kind struct {
	name      string
	priority  uint32
	perSecond float64
	work      time.Duration
	objective time.Duration
}

// calmLoad occupies about 2.6 of the 4 slots.
var calmLoad = []kind{
	{"booking", 0, 24, 12 * time.Millisecond, 200 * time.Millisecond},
	{"rates", 1, 60, 22 * time.Millisecond, 400 * time.Millisecond},
	{"board", 2, 28, 36 * time.Millisecond, time.Second},
}

const (
	slots        = 4
	loadDuration = 20 * time.Second
	quietTeams   = 10
	hotKind      = "rates"
	// hotTeamUsual is the part of a kind's requests that a large team sends.
	hotTeamUsual = 0.2
)

// outcome counts what became of the requests of a kind or a team.
type outcome struct {
	asked, inObjective, refused int
	// refusedLate counts those that had waited for more than a quarter of their objective.
	refusedLate int
}

func (o outcome) served() float64 { return float64(o.inObjective) / float64(max(1, o.asked)) }

// load is a load that is replayed on one upstream.
type load struct {
	kinds []kind
	// hotTeamFactor multiplies what a team named "hot" usually sends: hotTeamUsual of the kind hotKind.
	hotTeamFactor float64
}

// times returns a copy of kinds in which one is asked for x times as often.
func times(kinds []kind, name string, x float64) []kind {
	out := slices.Clone(kinds)
	for i := range out {
		if out[i].name == name {
			out[i].perSecond *= x
		}
	}
	return out
}

type arrival struct {
	at   time.Duration
	kind kind
	team string
}

func (l load) arrivals() []arrival {
	random := rand.New(rand.NewPCG(1, 2))
	var out []arrival
	add := func(k kind, perSecond float64, team func() string) {
		for at := 0.0; ; {
			at += random.ExpFloat64() / perSecond
			if at >= loadDuration.Seconds() {
				return
			}
			out = append(out, arrival{time.Duration(at * float64(time.Second)), k, team()})
		}
	}
	for _, k := range l.kinds {
		add(k, k.perSecond, func() string { return string(rune('a' + random.IntN(quietTeams))) })
		if l.hotTeamFactor > 0 && k.name == hotKind {
			add(k, k.perSecond*hotTeamUsual*l.hotTeamFactor, func() string { return "hot" })
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// replay runs a load against a queue and returns the outcomes by kind, and those of the hot team and of each kind of the
// other teams, which are named "quiet".
func (l load) replay() (byKind, byTeam map[string]*outcome) {
	byKind, byTeam = map[string]*outcome{}, map[string]*outcome{}
	var q Queue[arrival]
	inUse := map[string]int{}
	type job struct {
		end time.Duration
		arrival
	}
	var running []job
	record := func(a arrival, change func(*outcome)) {
		team := a.team
		if team != "hot" {
			team = "quiet " + a.kind.name
		}
		for key, outcomes := range map[string]map[string]*outcome{a.kind.name: byKind, team: byTeam} {
			if outcomes[key] == nil {
				outcomes[key] = &outcome{}
			}
			change(outcomes[key])
		}
	}
	refuse := func(now time.Duration, a arrival) {
		record(a, func(o *outcome) {
			o.refused++
			if now-a.at > a.kind.objective/4 {
				o.refusedLate++
			}
		})
	}
	capacity := func() Capacity {
		hold, n := time.Duration(0), max(1, len(running))
		for _, j := range running {
			hold += j.kind.work
		}
		return Capacity{Slots: slots, HoldTime: hold / time.Duration(n), InUse: inUse}
	}
	serve := func(now time.Duration) {
		for len(running) < slots && q.Len() > 0 {
			w := q.Next(now, capacity(), func(string) bool { return false })
			if w == nil {
				return
			}
			q.Served(w)
			if now > w.WaitUntil {
				refuse(now, w.Value)
				continue
			}
			end := now + w.Value.kind.work
			running = append(running, job{end, w.Value})
			inUse[w.Team]++
			record(w.Value, func(o *outcome) {
				if end <= w.ObjectiveEnd {
					o.inObjective++
				}
			})
		}
	}
	finish := func(until time.Duration) {
		for {
			first := -1
			for i, j := range running {
				if j.end <= until && (first < 0 || j.end < running[first].end) {
					first = i
				}
			}
			if first < 0 {
				return
			}
			j := running[first]
			running = slices.Delete(running, first, first+1)
			if inUse[j.team]--; inUse[j.team] == 0 {
				delete(inUse, j.team)
			}
			serve(j.end)
		}
	}
	for _, a := range l.arrivals() {
		finish(a.at)
		record(a, func(o *outcome) { o.asked++ })
		q.RecordArrival(a.at, a.kind.priority)
		r := Request{
			Team: a.team, Priority: a.kind.priority, Arrived: a.at,
			ObjectiveEnd: a.at + a.kind.objective, WaitUntil: a.at + a.kind.objective/2,
		}
		w, _, removed := q.Push(a.at, r, a, capacity())
		if w == nil {
			refuse(a.at, a)
		}
		for _, other := range removed {
			refuse(a.at, other.Value)
		}
		serve(a.at)
	}
	finish(loadDuration + time.Minute)
	return byKind, byTeam
}

// expectServed fails the test unless at least the given part of a kind's requests was served within the objective.
func expectServed(t *testing.T, outcomes map[string]*outcome, name string, least float64) {
	t.Helper()
	o := outcomes[name]
	t.Logf("%s: %.3f of %d within the objective, %d refused, %d of them late", name, o.served(), o.asked, o.refused, o.refusedLate)
	if o.served() < least {
		t.Errorf("%s: %.3f within the objective, want %.2f", name, o.served(), least)
	}
}

// Guards against refusals and late answers while there is room for all.
func TestCalmLoadIsServed(t *testing.T) {
	byKind, _ := load{kinds: calmLoad}.replay()
	for _, k := range calmLoad {
		expectServed(t, byKind, k.name, 0.99)
	}
}

// With a burst of the least urgent kind: guards against more urgent kinds that wait behind it, against refusals that
// come late, and against a least urgent kind that gets nothing of the room that is left.
func TestBurstOfLeastUrgentKind(t *testing.T) {
	for _, x := range []float64{2.1, 2.4, 4} {
		byKind, _ := load{kinds: times(calmLoad, "board", x)}.replay()
		expectServed(t, byKind, "booking", 0.99)
		expectServed(t, byKind, "rates", 0.98)
		expectServed(t, byKind, "board", 0.3)
		if o := byKind["board"]; o.refusedLate > o.asked/20 {
			t.Errorf("%d of %d refusals came after a quarter of the objective", o.refusedLate, o.refused)
		}
	}
}

// With a burst of the most urgent kind that alone exceeds the room: guards against lower priorities that are starved.
func TestBurstOfMostUrgentKind(t *testing.T) {
	byKind, _ := load{kinds: times(calmLoad, "booking", 2.4)}.replay()
	expectServed(t, byKind, "booking", 0.98)
	expectServed(t, byKind, "rates", 0.95)
	byKind, _ = load{kinds: times(calmLoad, "booking", 18)}.replay()
	lower := byKind["rates"].inObjective + byKind["board"].inObjective
	all := lower + byKind["booking"].inObjective
	t.Logf("lower priorities got %d of %d", lower, all)
	if lower*20 < all {
		t.Errorf("lower priorities got %d of the %d requests served in their objectives", lower, all)
	}
}

// With one large team that sends many times its usual: guards against its requests filling the queue and the slots, so
// that those of other teams with the same priority are refused.
func TestHotTeamLeavesRoomForOthers(t *testing.T) {
	for _, x := range []float64{4, 6, 12} {
		_, byTeam := load{kinds: calmLoad, hotTeamFactor: x}.replay()
		expectServed(t, byTeam, "hot", 0.3)
		expectServed(t, byTeam, "quiet booking", 0.97)
		expectServed(t, byTeam, "quiet rates", 0.97)
	}
}

// Guards against a further attempt of one request that costs another its first.
func TestRepeatDoesNotDisplace(t *testing.T) {
	var q Queue[string]
	c := Capacity{Slots: 1, HoldTime: 100 * time.Millisecond}
	push := func(name string, r Request) (bool, Refusal, int) {
		r.ObjectiveEnd = r.WaitUntil
		w, refusal, removed := q.Push(0, r, name, c)
		return w != nil, refusal, len(removed)
	}
	if ok, _, _ := push("first attempt", Request{Team: "a", Priority: 1, WaitUntil: 150 * time.Millisecond}); !ok {
		t.Fatal("a request that can be served was refused")
	}
	if ok, refusal, _ := push("repeat", Request{Team: "b", Priority: 0, WaitUntil: 120 * time.Millisecond, Repeat: true}); ok || refusal.Reason != RepeatYields {
		t.Errorf("a repeat was accepted or refused for another reason: %+v", refusal)
	}
	if ok, _, displaced := push("urgent", Request{Team: "b", Priority: 0, WaitUntil: 120 * time.Millisecond}); !ok || displaced != 1 {
		t.Errorf("the urgent request displaced %d", displaced)
	}
}

// Guards against a queue without bound, and against a time to come back that is no later than the requests ahead.
func TestQueueIsBounded(t *testing.T) {
	var q Queue[int]
	c := Capacity{Slots: 1, HoldTime: time.Millisecond}
	for i := range maxWaiting {
		if w, _, _ := q.Push(0, Request{Team: "a", WaitUntil: time.Hour}, i, c); w == nil {
			t.Fatalf("request %d was refused", i)
		}
	}
	w, refusal, _ := q.Push(0, Request{Team: "a", WaitUntil: time.Hour}, 0, c)
	if w != nil || refusal.Reason != QueueLimit || refusal.RetryAfter < maxWaiting*time.Millisecond {
		t.Errorf("refusal %+v", refusal)
	}
	if _, _, removed := q.Push(0, Request{Team: "a", WaitUntil: time.Hour, ObjectiveEnd: -1}, 0, c); len(removed) != 1 || q.Len() != maxWaiting {
		t.Errorf("%d displaced, %d wait", len(removed), q.Len())
	}
}

// With an upstream that sheds work of many nodes: guards against nodes that return at one moment, and against
// urgent requests that wait as long as others.
func TestBackoffSpreadsAndPrefersUrgent(t *testing.T) {
	var early, late Backoff
	early.Shed(0, 1, 0)
	late.Shed(0, 1, 1)
	if early.Until(0) != 0 || early.Until(2) <= early.Until(1) || late.Until(1)-early.Until(1) < minPause/2 {
		t.Errorf("pauses %v and %v", early.until, late.until)
	}
	for i := range 10 {
		late.Shed(time.Duration(i)*time.Second, 1, 0.5)
	}
	if got := late.Until(1) - 9*time.Second; got != maxPause {
		t.Errorf("pause %v after many refusals", got)
	}
	for range 5 {
		late.Accepted()
	}
	late.Shed(time.Minute, 1, 0.5)
	if got := late.Until(1) - time.Minute; got != minPause {
		t.Errorf("pause %v after the upstream had taken work again", got)
	}
}
