package throttle

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Guards against a rate near the largest number, as another writer may leave it, that overflows to a
// bucket which is no number: the team would be refused for good, or the leader fail.
func TestLargestRatesLimitNothing(t *testing.T) {
	const nodes, steps = 3, 300
	for _, rate := range []float64{1e308, math.MaxFloat64} {
		for _, burst := range []float64{0, 130, 1e308, math.MaxFloat64} {
			now := time.Hour
			l := NewLimiter(now)
			l.SetTeam(now, "huge", rate, burst)
			l.SetTeam(now, "small", 1, 1)
			local := newBucket(now, rate, burst, burst)
			for step := range steps {
				now += 100 * time.Millisecond
				total := int64(1+step) * 1000
				for n := range nodes {
					// One node falls silent, so that a part of the rate is withheld for it.
					if n == 0 && step > steps/2 {
						continue
					}
					l.Report(now, fmt.Sprint("n", n), 1, []*controlpb.TeamUsage{
						{Team: "huge", AdmittedTotal: total, ArrivedTotal: uint64(total)},
						{Team: "small", AdmittedTotal: total, ArrivedTotal: uint64(total)},
					})
				}
				l.Step(now)
				l.SetTeam(now, "huge", rate, burst)
				local.refill(now)
				local.charge(1000, maxDebt)
			}
			if huge := l.teams["huge"]; math.IsNaN(huge.level) || huge.admit != unlimited {
				t.Errorf("rate %g, burst %g: admits %d of 1000, level %g", rate, burst, huge.admit, huge.level)
			}
			if small := l.teams["small"]; math.IsNaN(small.level) || small.admit > unlimited/10 {
				t.Errorf("beside rate %g: the small team is admitted %d of 1000, level %g", rate, small.admit, small.level)
			}
			if math.IsNaN(local.level) {
				t.Errorf("rate %g, burst %g: a node's bucket is no number", rate, burst)
			}
		}
	}
}
