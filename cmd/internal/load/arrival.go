package load

import (
	"math/rand/v2"
	"time"
)

// arrival is one request of the open-loop workload.
type arrival struct {
	// at is the scheduled time since the start of the run.
	at   time.Duration
	kind Kind
}

// arrivals generates the Poisson arrivals of one team. Their times do not depend
// on how fast requests are answered.
type arrivals struct {
	random *rand.Rand
	rate   func(at time.Duration) float64
	mix    [numMixKinds]float64
	at     time.Duration
}

func newArrivals(seed uint64, team int, mix [numMixKinds]float64, rate func(time.Duration) float64) *arrivals {
	return &arrivals{random: rand.New(rand.NewPCG(seed, uint64(team))), rate: rate, mix: mix}
}

func (a *arrivals) next() arrival {
	gap := a.random.ExpFloat64() / a.rate(a.at)
	a.at += time.Duration(gap * float64(time.Second))
	return arrival{at: a.at, kind: a.kind()}
}

func (a *arrivals) kind() Kind {
	x := a.random.Float64()
	for k, share := range a.mix {
		if x < share {
			return Kind(k)
		}
		x -= share
	}
	return BoundedStalenessRead
}
