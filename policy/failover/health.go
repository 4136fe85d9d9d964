package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// AgeUnknown is the age in UpstreamHealth of a replica whose age is not known.
const AgeUnknown = ^uint32(0)

// Health returns what the probes tell of every upstream, ordered by address. An
// upstream without a probe is left out, so that proxies keep what an earlier leader
// told them.
func (m *Machine) Health(now time.Duration) []*controlpb.UpstreamHealth {
	if !m.leading {
		return nil
	}
	health := make([]*controlpb.UpstreamHealth, 0, len(m.upstreams))
	for _, address := range slices.Sorted(maps.Keys(m.upstreams)) {
		if u := m.upstreams[address]; u.tried {
			health = append(health, m.healthOf(now, u))
		}
	}
	return health
}

// GroupHealth is Health of the named groups' upstreams; unknown names are passed over.
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
			if u.tried {
				health = append(health, m.healthOf(now, u))
			}
		}
	}
	return health
}

func (m *Machine) healthOf(now time.Duration, u *upstream) *controlpb.UpstreamHealth {
	return &controlpb.UpstreamHealth{
		Address:    u.address,
		Reachable:  m.answering(now, u),
		InRecovery: u.inRecovery,
		Lsn:        u.lsn,
		Timeline:   u.timeline,
		AgeMs:      m.ageMs(now, u),
	}
}

// ageMs is the age of a replica's data, rounded up.
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
