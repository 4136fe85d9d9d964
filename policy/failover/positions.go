package failover

import (
	"slices"
	"time"
)

// maxPositions bounds the history of one primary. At one probe per 200 ms the
// newest 51 s are kept in full; older samples are thinned, which can only make an
// age larger.
const maxPositions = 512

// position is a primary's log position no earlier than the time at which the
// probe was sent.
type position struct {
	at  time.Duration
	lsn uint64
}

// positions is the history of one primary in one term, in rising order of both.
type positions struct {
	samples []position
}

func (p *positions) add(at time.Duration, lsn uint64) {
	n := len(p.samples)
	if n > 0 && lsn < p.samples[n-1].lsn {
		// The server lost log, so earlier samples say nothing about its data.
		p.samples = p.samples[:0]
	}
	p.samples = append(p.samples, position{at: at, lsn: lsn})
	if len(p.samples) > maxPositions {
		p.thin()
	}
}

// thin drops every second sample of the older half.
func (p *positions) thin() {
	half := len(p.samples) / 2
	kept := p.samples[:0]
	for i, s := range p.samples {
		if i >= half || i%2 == 0 {
			kept = append(kept, s)
		}
	}
	p.samples = kept
}

// age bounds the age at a time of data that reaches a position.
func (p *positions) age(now time.Duration, lsn uint64) (time.Duration, bool) {
	i, _ := slices.BinarySearchFunc(p.samples, lsn, func(s position, lsn uint64) int {
		if s.lsn <= lsn {
			return -1
		}
		return 1
	})
	if i == 0 {
		return 0, false
	}
	return now - p.samples[i-1].at, true
}
