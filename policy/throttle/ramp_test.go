package throttle

import (
	"testing"
	"time"
)

// ramp lets the load of a team rise to a multiple of its rate within 5 s and fall again, several times. It returns how
// many requests were admitted, and how many a bucket admits that sees each request.
func ramp(f *simulatedFleet, team *simulatedTeam, peak float64) (admitted, owed int) {
	const rounds, steps, stepLength = 20, 20, 500 * time.Millisecond
	exact := newBucket(f.now, team.rate, team.burst, team.burst)
	team.onArrival = func(now time.Duration, ok bool) {
		if ok {
			admitted++
		}
		exact.refill(now)
		if exact.level >= 1 {
			exact.charge(1, 0)
			owed++
		}
	}
	for range rounds {
		for step := range steps {
			height := float64(min(step, steps-step)) / (steps / 2)
			team.perSecond = team.rate * (0.5 + height*(peak-0.5))
			f.run(stepLength)
		}
	}
	return admitted, owed
}

// Load pattern: callers of a team come and go over some seconds, as in the peaks of a day, and ask for up to a multiple
// of its rate at the peak. Guards against a team that is limited before it has used its burst, and against a small one
// that is limited because its requests arrive unevenly.
func TestTeamGetsItsLimitInPeaks(t *testing.T) {
	for _, nodes := range []int{85, 300} {
		for _, rate := range []float64{3, 20, 130, 400} {
			for _, peak := range []float64{0.9, 1.2, 1.5, 2, 4, 8} {
				team := &simulatedTeam{name: "t", rate: rate, burst: rate, perSecond: 0.6 * rate}
				f := newSimulatedFleet(nodes, team)
				f.run(8 * time.Second)
				admitted, owed := ramp(f, team, peak)
				if float64(admitted) < 0.98*float64(owed) {
					t.Errorf("%d nodes, rate %.0f, peaks of %.1f times: %d requests were admitted, %d are within the limit", nodes, rate, peak, admitted, owed)
				}
				checkUse(t, "peaks", team)
			}
		}
	}
}
