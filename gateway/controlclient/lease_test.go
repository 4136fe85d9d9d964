package controlclient

import (
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/inbox"
)

// answerGate records whether the node already served when the gate learned of the leader's answer.
type answerGate struct {
	Gate
	client *Client
	served []bool
}

func (g *answerGate) Apply([]*controlpb.TeamThrottle, bool) {}

func (g *answerGate) SetFleetSize(int) {}

func (g *answerGate) RecordAnswer(now time.Duration, _ bool) {
	g.served = append(g.served, g.client.MayServe(now))
}

// Guards against a node that serves a moment before it knows the limits of teams: it refused the first requests after its
// start with rate_unknown.
func TestLimitsAreKnownBeforeTheLease(t *testing.T) {
	c := newTestClient()
	gate := &answerGate{client: c}
	c.opts.Gate, c.opts.Lease = gate, time.Minute
	c.sequence, c.sentAt[1] = 1, clock.Now()
	s := &controlStream{client: c, firstSequence: 1}
	if err := s.handleUpdate(inbox.Message[*controlpb.NodeUpdate]{Body: &controlpb.NodeUpdate{Sequence: 1, Nodes: 3}}); err != nil {
		t.Fatal(err)
	}
	if !c.MayServe(clock.Now()) {
		t.Error("the answer gave no lease")
	}
	if len(gate.served) != 1 || gate.served[0] {
		t.Errorf("the node served before its limits were known: %v", gate.served)
	}
}
