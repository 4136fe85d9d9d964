package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against the end of all control streams because the leader's lease lapsed for a moment, and against updates that
// wait for a leader that was replaced or is cut off.
func TestUpdatesWaitForALapsedLease(t *testing.T) {
	for name, c := range map[string]struct {
		returnsAfter, replacedAfter, maxWait time.Duration
		want                                 bool
	}{
		"valid":     {want: true},
		"lapsed":    {returnsAfter: 100 * time.Millisecond, maxWait: 100*time.Millisecond + leaseCheckInterval, want: true},
		"replaced":  {returnsAfter: time.Hour, replacedAfter: 50 * time.Millisecond, maxWait: 50*time.Millisecond + leaseCheckInterval},
		"cut off":   {returnsAfter: time.Hour, replacedAfter: time.Hour, maxWait: maxLeaseLapse + leaseCheckInterval},
		"long gone": {returnsAfter: time.Hour},
	} {
		synctest.Test(t, func(t *testing.T) {
			l, fake := newTestLeader(t)
			fake.SetLease(c.returnsAfter == 0)
			fake.SetLeading(c.returnsAfter == 0 || c.replacedAfter > 0 || c.want)
			timers := []*time.Timer{
				time.AfterFunc(c.returnsAfter, func() { fake.SetLease(true) }),
				time.AfterFunc(max(c.replacedAfter, time.Millisecond), func() { fake.SetLeading(c.replacedAfter == 0 && c.want) }),
			}
			started := time.Now()
			if got := l.awaitLease(context.Background()); got != c.want {
				t.Errorf("%s: %v, want %v", name, got, c.want)
			}
			if waited := time.Since(started); waited > c.maxWait {
				t.Errorf("%s: waited %s", name, waited)
			}
			for _, timer := range timers {
				timer.Stop()
			}
		})
	}
}
