package proxy

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
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
		c.tokens.withhold("driver", true)
		a := newAdmission(c.tokens, func() {})
		if c.answer {
			// urgent is called once the request waits.
			a.urgent = func() { a.Grant(0, 0, &controlpb.TokenGrant{Team: "driver"}) }
		}
		before := metricRateRefusals[c.reason].Get()
		refused := a.wait(c.ctx, 0, "driver", time.Nanosecond)
		if refused == nil || refused.Code != rescode.RateExceeded || !strings.Contains(refused.Error(), c.text) {
			t.Errorf("%s: answered with %v", c.reason, refused)
		}
		if metricRateRefusals[c.reason].Get() != before+1 {
			t.Errorf("%s was not counted", c.reason)
		}
	}
}
