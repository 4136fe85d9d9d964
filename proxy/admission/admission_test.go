package admission

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/policy/rate"
)

// Guards against a missing owner of the rates being reported as a used-up rate.
func TestReasonsOfRateRefusals(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		reason rateReason
		ctx    context.Context
		tokens *fakeTokens
		answer bool
		text   string
	}{
		{rateNoOwner, ended, &fakeTokens{}, false, "granted nothing in time"},
		{rateShort, ended, &fakeTokens{}, true, "granted too little"},
		{rateExhausted, context.Background(), &fakeTokens{exhausted: true}, true, `team "driver"`},
	} {
		c.tokens.withheld = true
		a := New(c.tokens, func() {})
		if c.answer {
			// urgent is called once the request waits.
			a.urgent = func() { a.ApplyGrant(0, 0, &controlpb.TokenGrant{Team: "driver"}) }
		}
		before := metricRateRefusals[c.reason].Get()
		refused := a.Wait(c.ctx, 0, "driver", time.Nanosecond)
		if refused == nil || refused.Code != rescode.RateExceeded || !strings.Contains(refused.Error(), c.text) {
			t.Errorf("%s: answered with %v", c.reason, refused)
		}
		if metricRateRefusals[c.reason].Get() != before+1 {
			t.Errorf("%s was not counted", c.reason)
		}
	}
}

// fakeTokens withholds tokens as a test says.
type fakeTokens struct {
	withheld, exhausted bool
}

func (f *fakeTokens) Take(time.Duration, string) bool                        { return !f.withheld }
func (f *fakeTokens) Exhausted(time.Duration, string) bool                   { return f.exhausted }
func (f *fakeTokens) Urgent(time.Duration) bool                              { return false }
func (f *fakeTokens) AddWaiting(string, int)                                 {}
func (f *fakeTokens) Report(time.Duration) []*controlpb.TokenDemand          { return nil }
func (f *fakeTokens) ApplyGrant(_, _ time.Duration, _ *controlpb.TokenGrant) {}
func (f *fakeTokens) StartStream(time.Duration)                              {}
func (f *fakeTokens) RecordAnswer(time.Duration)                             {}
func (f *fakeTokens) Refund(time.Duration, string)                           {}

// Guards against recalled tokens that stay at a process without callers until its next
// regular report, while requests elsewhere wait for them (litbrot-ops-grown quiet-1).
func TestRecalledTokensAreReturnedAtOnce(t *testing.T) {
	reports := 0
	a := New(rate.NewHolder(rate.GatewayConfig()), func() { reports++ })
	a.StartStream(time.Second)
	a.Report(time.Second)
	now := 2 * time.Second
	a.ApplyGrant(now, now, &controlpb.TokenGrant{Team: "driver", Tokens: 3, LifetimeMs: 5000})
	reports = 0
	a.ApplyGrant(now, now, &controlpb.TokenGrant{Team: "driver", Exhausted: true, LifetimeMs: 5000})
	if reports != 1 {
		t.Fatalf("%d reports were asked for", reports)
	}
	if d := a.Report(now); len(d) != 1 || d[0].ReturnedTotal != 3 {
		t.Errorf("reported %v, the recalled tokens are missing", d)
	}
}
