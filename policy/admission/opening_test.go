package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// session is a caller of the replayed loads.
type session struct {
	node    int
	urgency Urgency
}

func sessionUrgency(s session) Urgency { return s.urgency }

// With all nodes restarting at once and callers connecting to each: guards against refusals although the configuration
// comes half a second later, and against sessions of all nodes that begin at one moment.
func TestRestartOfAllNodes(t *testing.T) {
	const (
		nodes          = 85
		callersPerNode = 10
		configuredAt   = 500 * time.Millisecond
		bucket         = 20 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 4))
	begun := map[time.Duration]int{}
	total := 0
	for node := range nodes {
		o := NewOpening[session](0)
		for i := range callersPerNode {
			at := time.Duration(i) * configuredAt / callersPerNode
			if o.Wait(at, 100, session{node, Urgency{uint32(i % 3), 400 * time.Millisecond}}) == nil {
				t.Fatalf("caller %d of node %d was refused", i, node)
			}
		}
		o.Opened()
		for now := configuredAt; now < configuredAt+maxOpeningWait; now += 5 * time.Millisecond {
			for o.Next(now, random.Float64(), sessionUrgency) != nil {
				begun[now/bucket]++
				total++
			}
		}
	}
	most := 0
	for _, n := range begun {
		most = max(most, n)
	}
	t.Logf("%d sessions began, at most %d within %s", total, most, bucket)
	if total != nodes*callersPerNode {
		t.Errorf("%d of %d sessions began", total, nodes*callersPerNode)
	}
	if most > nodes*callersPerNode/8 {
		t.Errorf("%d of %d sessions began within %s", most, total, bucket)
	}
}

// Guards against sessions that are too late for their objectives and take the turn of others, and against less urgent
// sessions ahead of more urgent ones.
func TestSessionsInTimeBeginFirst(t *testing.T) {
	o := NewOpening[session](0)
	short, long := 300*time.Millisecond, time.Second
	for _, u := range []Urgency{{0, short}, {2, long}, {1, long}, {1, long}} {
		o.Wait(0, 1, session{urgency: u})
	}
	fresh := o.Wait(400*time.Millisecond, 1, session{urgency: Urgency{0, short}})
	o.Opened()
	var got []uint32
	for now := 450 * time.Millisecond; o.Len() > 0; now += 5 * time.Millisecond {
		c := o.Next(now, 0.5, sessionUrgency)
		if c == nil {
			continue
		}
		if len(got) == 0 && c != fresh {
			t.Error("the urgent caller that came last did not begin first")
		}
		got = append(got, c.Value.urgency.Priority)
	}
	want := []uint32{0, 1, 1, 2, 0}
	for i := range want {
		if len(got) != len(want) || got[i] != want[i] {
			t.Fatalf("priorities %v, want %v", got, want)
		}
	}
}

// Guards against callers that wait without bound: too many or too large, long after the start, or after the node has
// served already.
func TestOpeningIsBounded(t *testing.T) {
	o := NewOpening[session](0)
	for range maxOpeningCallers {
		if o.Wait(0, 1, session{}) == nil {
			t.Fatal("a caller within the bound was refused")
		}
	}
	if o.Wait(0, 1, session{}) != nil {
		t.Error("one caller too many waits")
	}
	o = NewOpening[session](0)
	first := o.Wait(0, maxOpeningBytes, session{})
	if o.Wait(0, 1, session{}) != nil {
		t.Error("more bytes than allowed are held")
	}
	if !o.Leave(first) || o.Leave(first) || o.Wait(0, 1, session{}) == nil {
		t.Error("the room of a caller that left is not given back")
	}
	if o.Wait(startupPeriod, 1, session{}) != nil {
		t.Error("a caller waits long after the start of the node")
	}
	if o.Opened(); o.Wait(0, 1, session{}) != nil {
		t.Error("a caller waits although the node has served")
	}
}
