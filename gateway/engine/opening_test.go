package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/gateway/stop"
)

// startingControl is a control client whose view arrives later.
type startingControl struct {
	view atomic.Pointer[controlclient.View]
}

func (c *startingControl) View() *controlclient.View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return &controlclient.View{}
}

func (c *startingControl) MayServe(time.Duration) bool { return c.view.Load() != nil }

// startingNode is a node that has just started; configure gives it its configuration.
type startingNode struct {
	*testNode
	control *startingControl
}

func newStartingNode(t *testing.T) startingNode {
	n := startingNode{newTestNode(t), &startingControl{}}
	n.engine = New(Options{Control: n.control, Dialer: n.servers, Gate: n.gate, Place: "here", Log: discardLog()})
	return n
}

func (n startingNode) configure() {
	n.engine.Update(&n.testNode.control.view)
	n.control.view.Store(&n.testNode.control.view)
}

type opened struct {
	session *Session
	refusal *Refusal
}

// startOpening opens a session, and returns once it waits.
func (n startingNode) startOpening(ctx context.Context) <-chan opened {
	result := make(chan opened, 1)
	go func() {
		s, refusal := n.engine.OpenSession(ctx, "intake", "key")
		result <- opened{s, refusal}
	}()
	for {
		n.engine.opening.mu.Lock()
		waiting := n.engine.opening.callers.Len()
		n.engine.opening.mu.Unlock()
		if waiting > 0 || len(result) > 0 {
			return result
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a node that refuses its first callers although it has its configuration a moment later.
func TestCallerWaitsForFirstConfiguration(t *testing.T) {
	n := newStartingNode(t)
	result := n.startOpening(context.Background())
	n.configure()
	got := <-result
	if got.refusal != nil {
		t.Fatalf("refused: %+v", got.refusal)
	}
	n.mustSucceed(got.session, read("1"))
	n.control.view.Store(nil)
	if _, refusal := n.engine.OpenSession(context.Background(), "intake", "key"); refusal == nil || refusal.Elapsed > time.Second {
		t.Errorf("a node that lost its configuration lets callers wait: %+v", refusal)
	}
}

// Guards against a caller that waits for a configuration beyond a planned stop, whichever end of it comes first.
func TestStopEndsWaitForConfiguration(t *testing.T) {
	n := newStartingNode(t)
	result := n.startOpening(context.Background())
	n.engine.BeginStop(stop.NewPlan(clock.Now()-time.Hour, time.Minute))
	if got := <-result; got.refusal == nil || got.refusal.Code != rescode.ProxyDraining {
		t.Errorf("refusal %+v, want one because of the stop", got.refusal)
	}
	n = newStartingNode(t)
	ctx, cancel := context.WithCancel(context.Background())
	result = n.startOpening(ctx)
	cancel()
	if got := <-result; got.refusal == nil {
		t.Error("a session began after its wait was given up")
	}
}
