package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// AgeUnknown is the value of UpstreamHealth.AgeMs for an upstream whose data is of
// unknown age.
const AgeUnknown = ^uint32(0)

// Health returns the health of every upstream by its newest probe, ordered by address.
// It omits upstreams that this leader has not probed yet, so that proxies keep the
// health that an earlier leader reported.
func (m *Machine) Health(now time.Duration) []*controlpb.UpstreamHealth {
	if !m.leading {
		return nil
	}
	health := make([]*controlpb.UpstreamHealth, 0, len(m.upstreams))
	for _, address := range slices.Sorted(maps.Keys(m.upstreams)) {
		if u := m.upstreams[address]; u.probed {
			health = append(health, m.upstreamHealth(now, u))
		}
	}
	return health
}

// GroupHealth is like Health for the upstreams of the named groups. It ignores unknown
// names.
func (m *Machine) GroupHealth(now time.Duration, groups []string) []*controlpb.UpstreamHealth {
	if !m.leading {
		return nil
	}
	var health []*controlpb.UpstreamHealth
	for _, name := range groups {
		g, ok := m.groups[name]
		if !ok {
			continue
		}
		for _, u := range g.members {
			if u.probed {
				health = append(health, m.upstreamHealth(now, u))
			}
		}
	}
	return health
}

func (m *Machine) upstreamHealth(now time.Duration, u *upstream) *controlpb.UpstreamHealth {
	return &controlpb.UpstreamHealth{
		Address:    u.address,
		Reachable:  m.isAnswering(now, u),
		InRecovery: u.inRecovery,
		Lsn:        u.lsn,
		Timeline:   u.timeline,
		AgeMs:      m.ageMs(now, u),
	}
}

// ageMs returns the age of an upstream's data in milliseconds, rounded up.
func (m *Machine) ageMs(now time.Duration, u *upstream) uint32 {
	g, ok := m.groups[u.group]
	if !ok || !u.answered {
		return AgeUnknown
	}
	if u.address == g.primary && !u.inRecovery {
		return 0
	}
	if !u.inRecovery || u.timeline != m.currentTimeline(g) {
		return AgeUnknown
	}
	age, ok := g.positions.age(now, u.lsn)
	if !ok {
		return AgeUnknown
	}
	ms := (age + time.Millisecond - 1) / time.Millisecond
	if ms >= time.Duration(AgeUnknown) {
		return AgeUnknown
	}
	return uint32(ms)
}
