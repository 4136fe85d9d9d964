package failover

import (
	"slices"
	"time"
)

// maxPositionSamples bounds the history of one primary. At one probe per 200 ms the
// newest 51 s are kept in full. Older samples are thinned, which can only overestimate
// an age.
const maxPositionSamples = 512

// positionSample is a log position that a primary reported in answer to a probe sent
// at sentAt. The primary was at this position at sentAt or later.
type positionSample struct {
	sentAt time.Duration
	lsn    uint64
}

// positionHistory holds the samples of one primary in one term, ascending by time and
// by LSN.
type positionHistory struct {
	samples []positionSample
}

func (p *positionHistory) add(at time.Duration, lsn uint64) {
	n := len(p.samples)
	if n > 0 && lsn < p.samples[n-1].lsn {
		// The server lost a part of its log, so earlier samples no longer describe its
		// data.
		p.samples = p.samples[:0]
	}
	p.samples = append(p.samples, positionSample{sentAt: at, lsn: lsn})
	if len(p.samples) > maxPositionSamples {
		p.thin()
	}
}

// thin removes every second sample of the older half.
func (p *positionHistory) thin() {
	half := len(p.samples) / 2
	kept := p.samples[:0]
	for i, s := range p.samples {
		if i >= half || i%2 == 0 {
			kept = append(kept, s)
		}
	}
	p.samples = kept
}

// age returns an upper bound on the age, at now, of data that reaches lsn. It returns
// false if the history does not go back that far.
func (p *positionHistory) age(now time.Duration, lsn uint64) (time.Duration, bool) {
	i, _ := slices.BinarySearchFunc(p.samples, lsn, func(s positionSample, lsn uint64) int {
		if s.lsn <= lsn {
			return -1
		}
		return 1
	})
	if i == 0 {
		return 0, false
	}
	return now - p.samples[i-1].sentAt, true
}
