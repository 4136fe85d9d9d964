package proxy

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/policy/share"
	"github.com/jayloom/jayloom/proxy/view"
)

// ShareHolder holds this proxy's shares of connections, granted by control. It need not
// be safe for concurrent use; poolSet guards it.
type ShareHolder interface {
	// Allowed returns the number of connections that may be open to an upstream.
	Allowed(now time.Duration, upstream string) int
	Urgent(now time.Duration, pools []share.PoolDemand) bool
	Report(now time.Duration, pools []share.PoolDemand) []*controlpb.ShareDemand
	ApplyGrant(now, sentAt time.Duration, grant *controlpb.ShareGrant)
	StartStream(now time.Duration)
}

// poolSet holds the pools of all upstreams and keeps them within their shares.
type poolSet struct {
	dialer           Dialer
	queuePerTeam     int
	maxPinnedPercent int
	reportNow        func()

	mu     sync.Mutex
	pools  map[string]*pool
	config *view.Config

	holderMu sync.Mutex
	holder   ShareHolder

	parametersMu sync.Mutex
	parameters   map[string]map[string]string
}

// get returns the pool of an upstream and creates it on first use.
func (s *poolSet) get(address, service string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[address]
	if !ok {
		p = newPool(s, address, service)
		p.retired = s.retired(address)
		s.pools[address] = p
	}
	return p
}

// retired reports whether an upstream gets no new work. The caller holds mu.
func (s *poolSet) retired(address string) bool {
	return s.config != nil && !s.config.Usable(address)
}

func (s *poolSet) allowed(now time.Duration, address string) int {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	return s.holder.Allowed(now, address)
}

func (s *poolSet) list() []*pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		all = append(all, p)
	}
	return all
}

// reportIfUrgent sends a report at once if the shares do not cover the demand.
func (s *poolSet) reportIfUrgent() {
	now := clock.Now()
	demands := s.demands(now)
	s.holderMu.Lock()
	urgent := s.holder.Urgent(now, demands)
	s.holderMu.Unlock()
	if urgent {
		s.reportNow()
	}
}

func (s *poolSet) demands(now time.Duration) []share.PoolDemand {
	var demands []share.PoolDemand
	for _, p := range s.list() {
		demands = append(demands, p.demand(now))
	}
	return demands
}

// Report implements controlclient.ShareReporter.
func (s *poolSet) Report(now time.Duration) []*controlpb.ShareDemand {
	demands := s.demands(now)
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	return s.holder.Report(now, demands)
}

// ApplyGrant implements controlclient.ShareReporter.
func (s *poolSet) ApplyGrant(now, sentAt time.Duration, grant *controlpb.ShareGrant) {
	s.holderMu.Lock()
	s.holder.ApplyGrant(now, sentAt, grant)
	s.holderMu.Unlock()
	s.mu.Lock()
	p, ok := s.pools[grant.Upstream]
	s.mu.Unlock()
	if ok {
		s.enforceLimits(p)
	}
}

// StartStream implements controlclient.ShareReporter.
func (s *poolSet) StartStream(now time.Duration) {
	s.holderMu.Lock()
	defer s.holderMu.Unlock()
	s.holder.StartStream(now)
}

// enforceAll applies shares that expire without a message. A timer calls it.
func (s *poolSet) enforceAll() {
	for _, p := range s.list() {
		s.enforceLimits(p)
	}
}

func (s *poolSet) enforceLimits(p *pool) {
	s.mu.Lock()
	retired := s.retired(p.address)
	s.mu.Unlock()
	p.enforceLimits(retired)
}

// handleSnapshot applies a new snapshot: leaving upstreams get no new work; connections
// to upstreams that were removed, replaced or became unreachable are closed.
func (s *poolSet) handleSnapshot(old, next *view.Snapshot) {
	s.mu.Lock()
	s.config = next.Config
	s.mu.Unlock()
	if old.Config != next.Config {
		s.handleConfig(old.Config, next.Config)
	}
	for address, health := range next.Health {
		if !health.Reachable && old.Health[address].UpstreamHealth.GetReachable() {
			s.closeUnreachableReplica(next, address)
		}
	}
}

func (s *poolSet) handleConfig(old, next *view.Config) {
	for _, p := range s.list() {
		_, known := next.Upstreams[p.address]
		if !known || replacedPrimary(old, next, p.address) {
			p.closeAll()
		}
		s.enforceLimits(p)
	}
}

// replacedPrimary reports whether an address was the primary of a term that has since
// ended or been fenced. Its connections are closed so that requests do not go on waiting
// for its answers.
func replacedPrimary(old, next *view.Config, address string) bool {
	for name, group := range old.Groups {
		if group.Primary != address || !group.Healthy {
			continue
		}
		current, ok := next.Groups[name]
		if !ok || !current.Healthy || current.Term != group.Term {
			return true
		}
	}
	return false
}

// closeUnreachableReplica ends the reads that wait for a replica if neither control nor
// this proxy can reach it; control may have lost only its own path. A primary is left to
// the fence.
func (s *poolSet) closeUnreachableReplica(snapshot *view.Snapshot, address string) {
	upstream, ok := snapshot.Upstreams[address]
	if !ok || snapshot.Groups[upstream.Group].Primary == address {
		return
	}
	s.mu.Lock()
	p := s.pools[address]
	s.mu.Unlock()
	if p != nil {
		go p.closeUnlessReachable()
	}
}

// storeParameters keeps the parameters that an upstream reports at startup, for callers
// that connect later.
func (s *poolSet) storeParameters(service string, parameters map[string]string) {
	s.parametersMu.Lock()
	defer s.parametersMu.Unlock()
	s.parameters[service] = parameters
}

func (s *poolSet) serviceParameters(service string) map[string]string {
	s.parametersMu.Lock()
	defer s.parametersMu.Unlock()
	return s.parameters[service]
}

// registerMetrics exposes the sums over all pools.
func (s *poolSet) registerMetrics(set *metrics.Set) {
	sum := func(value func(p *pool) int) func() float64 {
		return func() float64 {
			total := 0
			for _, p := range s.list() {
				p.mu.Lock()
				total += value(p)
				p.mu.Unlock()
			}
			return float64(total)
		}
	}
	set.NewGauge("jayloom_proxy_pool_open", sum(func(p *pool) int { return p.open }))
	set.NewGauge("jayloom_proxy_pool_idle", sum(func(p *pool) int { return len(p.idle) }))
	set.NewGauge("jayloom_proxy_pool_waiting", sum(func(p *pool) int { return p.queue.Len() }))
	set.NewGauge("jayloom_proxy_pool_pinned", sum(func(p *pool) int { return p.pinned }))
	set.NewGauge("jayloom_proxy_pool_allowed", sum((*pool).allowedConns))
}
