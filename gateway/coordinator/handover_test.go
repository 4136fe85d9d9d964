package coordinator

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/gateway/topology"
)

// recordingPromoter records the fences of the orders that it receives.
type recordingPromoter struct{ fences []uint64 }

func (p *recordingPromoter) Promote(_ context.Context, _, _ string, fence uint64) PromotionOutcome {
	p.fences = append(p.fences, fence)
	return PromotionAccepted
}

func newPromotingLeader(p Promoter, term uint64) (*Leader, *replica.Fake) {
	l := NewLeader(Config{Upstreams: fakeUpstreams{}, Promoter: p, Voters: 3, Log: discardLog()})
	fake := replica.NewFake(l.Store())
	l.SetReplica(fake)
	fake.SetLeading(true)
	fake.SetLease(true)
	drainEvents(l)
	l.startLeading(term)
	return l, fake
}

// orderPromotion executes the promotion order with the given number.
func orderPromotion(l *Leader, order uint64) {
	action := failover.Action{Promote: "r", Reason: failover.PrimaryLost, Order: order}
	l.execute(context.Background(), "wax", l.groupOf(clock.Now(), "wax"), action, nil)
	synctest.Wait()
}

// Guards against orders that go out twice around a hand-over: a leader whose lease has ended sends
// none, and each order of the next leader has a higher fence than any of the earlier one, so that a
// late order of that one is refused.
func TestOnlyTheLeaseHolderOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		orders := &recordingPromoter{}
		earlier, earlierReplica := newPromotingLeader(orders, 3)
		orderPromotion(earlier, 1)
		orderPromotion(earlier, 2)
		earlierReplica.SetLease(false)
		orderPromotion(earlier, 3)
		if len(orders.fences) != 2 {
			t.Fatalf("%d orders were sent, the last one without a lease", len(orders.fences))
		}
		later, _ := newPromotingLeader(orders, 4)
		orderPromotion(later, 1)
		if len(orders.fences) != 3 || orders.fences[1] <= orders.fences[0] || orders.fences[2] <= orders.fences[1] {
			t.Errorf("fences %v do not grow", orders.fences)
		}
	})
}

// slowPlatform takes a while for each call, and checks the fence of an order when it carries it out.
type slowPlatform struct {
	callTime  time.Duration
	mu        sync.Mutex
	seenFence uint64
	outcomes  []PromotionOutcome
}

func (p *slowPlatform) Promote(ctx context.Context, _, _ string, fence uint64) PromotionOutcome {
	p.mu.Lock()
	p.seenFence = max(p.seenFence, fence)
	p.mu.Unlock()
	time.Sleep(p.callTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome := PromotionAccepted
	if fence < p.seenFence {
		outcome = PromotionRefused
	}
	p.outcomes = append(p.outcomes, outcome)
	if ctx.Err() != nil {
		return PromotionUnknown
	}
	return outcome
}

// Guards against a group that gets no primary for as long as the platform takes longer for a call than the
// leader waits for the answer: each order was repeated with a higher fence, which voided the one before.
func TestOrdersToSlowPlatformAreCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &slowPlatform{callTime: 800 * time.Millisecond}
		l, _ := newPromotingLeader(platform, 3)
		now := clock.Now()
		g := l.groupOf(now, "wax")
		in := failover.Input{
			Servers: []failover.Server{
				{ID: "p", ClaimsPrimary: true},
				{ID: "r", Sample: failover.Sample{Term: 1, Position: position.Position{Term: 1, Number: 9}}},
			},
			Reachability: failover.Reachability{Nodes: 3, Failing: 3},
		}
		for range 50 {
			time.Sleep(tickInterval)
			now += tickInterval
			in.Servers[1].Sample.At = now
			for _, action := range g.machine.Step(now, in) {
				l.execute(context.Background(), "wax", g, action, nil)
			}
			synctest.Wait()
			drainEvents(l)
		}
		time.Sleep(failover.OrderTimeout)
		if len(platform.outcomes) == 0 || slices.Contains(platform.outcomes, PromotionRefused) {
			t.Errorf("outcomes of the orders: %v", platform.outcomes)
		}
		if len(platform.outcomes) > 4 {
			t.Errorf("%d orders were sent although the first was accepted", len(platform.outcomes))
		}
	})
}

// Guards against an alarm on a node that no longer leads: the wait of a promotion is reported by the leader.
func TestEarlierLeaderReportsNoWait(t *testing.T) {
	l, _ := newPromotingLeader(&recordingPromoter{}, 3)
	metricLongestPromotionWait.Set(7)
	l.stopLeading()
	if got := metricLongestPromotionWait.Get(); got != 0 {
		t.Errorf("reports a wait of %v s", got)
	}
}

// silentUpstreams do not answer orders to resume.
type silentUpstreams struct{ fakeUpstreams }

func (silentUpstreams) Resume(context.Context, topology.Upstream) error {
	return context.DeadlineExceeded
}

// Guards against an order to resume that counts as answered without an answer, so that the replica's next pause is
// relied on, and against one whose answer is lost inside the leader, so that the next failover waits.
func TestOnlyAnsweredOrderToResumeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLeader(t)
		u := topology.Upstream{ID: "r", Service: "wax"}
		for _, upstreams := range []UpstreamClient{silentUpstreams{}, fakeUpstreams{}} {
			l.config.Upstreams = upstreams
			l.setReplication(t.Context(), u, failover.Action{Resume: "r", Order: 3})
			synctest.Wait()
		}
		if n := len(l.events); n != 1 {
			t.Fatalf("%d events for one answered order and one without an answer", n)
		}
		want := replicaResumed{service: "wax", upstream: "r", term: l.term, order: 3}
		if got := <-l.events; got != want {
			t.Errorf("event %+v, want %+v", got, want)
		}
	})
}
