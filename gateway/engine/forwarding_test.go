package engine

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/base/clock"
)

// noForwarder cannot reach any node.
type noForwarder struct{ asked []string }

func (f *noForwarder) Open(_ context.Context, address string, _ ForwardedUnit) Conn {
	f.asked = append(f.asked, address)
	return nil
}

func (*noForwarder) Retain(_, _ []string) {}

// Guards against a choice of upstreams by the load that a node reported which holds no connections any more, or that it
// reported long ago.
func TestLoadOfHolders(t *testing.T) {
	p := newPool(Target{ID: "p"}, "here", nil, discardLog())
	p.setHolders(&noForwarder{}, "self", []string{"a", "b"}, 4)
	p.RecordLoad("a", UpstreamLoad{InUse: 2, Waiting: 1, Latency: 3 * time.Millisecond})
	p.RecordLoad("b", UpstreamLoad{InUse: 1, Latency: 7 * time.Millisecond})
	p.RecordLoad("of another upstream", UpstreamLoad{InUse: 50})
	want := UpstreamLoad{InUse: 3, Waiting: 1, Latency: 7 * time.Millisecond}
	if diff := cmp.Diff(want, p.heldLoad(clock.Now()-time.Minute)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(UpstreamLoad{}, p.heldLoad(clock.Now()+time.Minute)); diff != "" {
		t.Errorf("of loads that are too old: %s", diff)
	}
	p.setHolders(&noForwarder{}, "self", []string{"b", "c"}, 4)
	if diff := cmp.Diff(UpstreamLoad{}, p.heldLoad(0)); diff != "" {
		t.Errorf("after a change of holders: %s", diff)
	}
}

// Guards against a holder that forwards to others what its own connections are for, and against a node that asks no
// second holder.
func TestOrderOfHolders(t *testing.T) {
	for self, want := range map[string]int{"b": 0, "a": 1, "elsewhere": 2} {
		forwarder := &noForwarder{}
		p := newPool(Target{ID: "p"}, "here", nil, discardLog())
		// The order of the team is b, a.
		p.setHolders(forwarder, self, []string{"b", "a"}, 4)
		if c := p.openForwarded(context.Background(), ForwardedUnit{Team: "team"}); c != nil {
			t.Error("a unit was forwarded to a node that cannot be reached")
		}
		if len(forwarder.asked) != want {
			t.Errorf("node %s asked %v", self, forwarder.asked)
		}
	}
}

// Guards against holders that together send an upstream more statements than it queues, so that it refuses them, and
// against connections of other teams that are closed because the upstream has few slots.
func TestShareOfHolder(t *testing.T) {
	p := newPool(Target{ID: "p"}, "here", fakeDialer{"p": {}}, discardLog())
	p.setHolders(&noForwarder{}, "self", []string{"other", "self"}, 4)
	p.setShare(56, 85)
	var held []*upstreamConn
	for {
		c, refusal := p.acquire(context.Background(), testRequest("team", shortWait))
		if refusal != nil {
			break
		}
		// Inside a transaction whose caller pauses, it takes no slot.
		c.state = InTransaction
		c.park()
		held = append(held, c)
	}
	if len(held) != 4*maxInUsePerSlot/2 {
		t.Errorf("%d connections in use", len(held))
	}
	for _, c := range held {
		c.state = Idle
		p.release(c)
	}
	for _, team := range []string{"b", "c", "d"} {
		c, refusal := p.acquire(context.Background(), testRequest(team, longWait))
		if refusal != nil {
			t.Fatal(refusal)
		}
		p.release(c)
	}
	if len(p.idle) != len(held)+3 {
		t.Errorf("%d connections are idle", len(p.idle))
	}
}
