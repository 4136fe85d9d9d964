package throttle

import (
	"math/rand"
	"testing"
	"time"
)

// randomSeeds is the number of random courses that are run.
const randomSeeds = 24

// Guards against use above the allowed bound in courses that nobody thought of: loads of up to five
// times the rate that change each second, nodes that are cut off and return, and changes of leader.
func TestRandomCoursesStayWithinTheBound(t *testing.T) {
	for seed := range int64(randomSeeds) {
		random := rand.New(rand.NewSource(seed))
		nodes := []int{4, 11, 84, 300}[random.Intn(4)]
		rate := 5 + random.Float64()*200
		team := &simulatedTeam{name: "t", rate: rate, burst: rate, perSecond: rate / 2}
		f := newSimulatedFleet(nodes, team)
		f.run(5 * time.Second)
		for range 25 {
			team.perSecond = rate * []float64{0, 0.6, 0.9, 2, 5}[random.Intn(5)]
			disturb(f, random)
			f.run(time.Second)
		}
		limit := (1+allowedExcess)*(team.rate*window.Seconds()+team.burst) + allowedSlack
		if most := team.mostInWindow(window); float64(most) > limit {
			t.Errorf("seed %d, %d nodes, rate %.0f: %d requests were admitted in %s, the bound is %.0f", seed, nodes, rate, most, window, limit)
		}
	}
}

// disturb cuts some nodes off, lets them return, or changes the leader.
func disturb(f *simulatedFleet, random *rand.Rand) {
	switch random.Intn(6) {
	case 0:
		for _, n := range f.nodes[:random.Intn(len(f.nodes)/2+1)] {
			n.cut = true
		}
	case 1, 2:
		for _, n := range f.nodes {
			n.cut = false
		}
	case 3:
		f.loseLeader()
		f.run(time.Duration(600+random.Intn(600)) * time.Millisecond)
		f.electLeader(time.Second)
	}
}
