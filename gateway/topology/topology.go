// Package topology keeps what upstreams announce of themselves. It decides which
// announcement is newer and has no clock and no I/O.
package topology

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// AnnouncementTimeout is the time without an announcement after which an upstream is
	// forgotten. Proxies keep the connections that still answer until then.
	AnnouncementTimeout = 20 * time.Second
	// leftMemory is how long an upstream that has left is remembered, so that a
	// delayed announcement does not bring it back.
	leftMemory = time.Minute
	// restartSilence is the time without an announcement after which a process that
	// states an earlier start is believed: its clock was set back.
	restartSilence = 5 * time.Second
	// hearsayLimit is how long an upstream is kept that only nodes have named: three
	// announcement intervals.
	hearsayLimit = 4 * time.Second
)

// Upstream is one announced database server.
type Upstream struct {
	ID       string
	Service  string
	Address  string
	Place    string
	Slots    uint32
	Draining bool
	Left     bool
	// ClaimsPrimary is the upstream's own view of its role.
	ClaimsPrimary bool
	// started and sequence order the announcements.
	started     int64
	sequence    uint64
	LastContact time.Duration
	// hearsay is true until the upstream itself has announced to this leader.
	hearsay bool
}

// Registry holds the announced upstreams. It has one owner.
type Registry struct {
	upstreams map[string]*Upstream
	revision  uint64
}

// NewRegistry returns an empty registry whose revisions start above base.
func NewRegistry(base uint64) *Registry {
	return &Registry{upstreams: map[string]*Upstream{}, revision: base + 1}
}

// Revision grows when what proxies need to know has changed.
func (r *Registry) Revision() uint64 {
	return r.revision
}

// IncrementRevision makes proxies learn the topology anew, as after a change of a primary.
func (r *Registry) IncrementRevision() {
	r.revision++
}

// ApplyAnnouncement takes over an announcement and reports whether it was news.
func (r *Registry) ApplyAnnouncement(now time.Duration, a *controlpb.UpstreamAnnouncement) bool {
	if a.Phase == controlpb.UpstreamPhase_UPSTREAM_PHASE_LEFT {
		return r.leave(now, a.Id)
	}
	u := r.upstreams[a.Id]
	if u != nil && !newer(now, u, a) {
		return false
	}
	if r.occupiedByNewer(a) {
		return false
	}
	next := &Upstream{
		ID: a.Id, Service: a.Service, Address: a.Address, Place: a.Place, Slots: a.Slots,
		Draining:      a.Phase == controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING,
		ClaimsPrimary: a.Primary, started: a.StartedUnixMs, sequence: a.Sequence, LastContact: now,
	}
	// A process that drains never becomes ready again.
	if u != nil && !u.hearsay && u.started == a.StartedUnixMs {
		next.Draining = next.Draining || u.Draining
	}
	r.upstreams[a.Id] = next
	if u == nil || differs(u, next) {
		r.revision++
		return true
	}
	return false
}

// AddUnconfirmed takes over what a node was told by an earlier leader. It adds upstreams that
// have not announced themselves yet and changes none that have.
func (r *Registry) AddUnconfirmed(now time.Duration, t *controlpb.Topology) bool {
	changed := false
	for _, h := range t.GetUpstreams() {
		if r.upstreams[h.Id] != nil {
			continue
		}
		r.upstreams[h.Id] = &Upstream{
			ID: h.Id, Service: h.Service, Address: h.Address, Place: h.Place, Slots: h.Slots,
			Draining: h.Draining, LastContact: now, hearsay: true,
		}
		changed = true
	}
	if changed {
		r.revision++
	}
	return changed
}

// newer orders announcements by the start of the process, then by their number.
func newer(now time.Duration, u *Upstream, a *controlpb.UpstreamAnnouncement) bool {
	if u.hearsay {
		return true
	}
	if a.StartedUnixMs != u.started {
		return a.StartedUnixMs > u.started || now-u.LastContact > restartSilence
	}
	return a.Sequence > u.sequence && !u.Left
}

// occupiedByNewer reports whether a later process announced itself at the address.
func (r *Registry) occupiedByNewer(a *controlpb.UpstreamAnnouncement) bool {
	for id, u := range r.upstreams {
		if id != a.Id && !u.Left && u.Address == a.Address && u.started > a.StartedUnixMs {
			return true
		}
	}
	return false
}

func differs(a, b *Upstream) bool {
	return a.Service != b.Service || a.Address != b.Address || a.Place != b.Place || a.Slots != b.Slots ||
		a.Draining != b.Draining || a.Left != b.Left || a.ClaimsPrimary != b.ClaimsPrimary || a.started != b.started
}

func (r *Registry) leave(now time.Duration, id string) bool {
	u := r.upstreams[id]
	if u == nil || u.Left {
		return false
	}
	u.Left, u.LastContact = true, now
	r.revision++
	return true
}

// Expire forgets upstreams that have been silent for too long, and older processes
// at the address of a newer one. It reports whether proxies must be told.
func (r *Registry) Expire(now time.Duration) bool {
	changed := false
	for id, u := range r.upstreams {
		limit := AnnouncementTimeout
		switch {
		case u.Left:
			limit = leftMemory
		case u.hearsay:
			limit = hearsayLimit
		}
		if now-u.LastContact < limit && (u.Left || !r.replaced(u)) {
			continue
		}
		delete(r.upstreams, id)
		changed = changed || !u.Left
	}
	if changed {
		r.revision++
	}
	return changed
}

func (r *Registry) replaced(u *Upstream) bool {
	for _, other := range r.upstreams {
		if other.ID != u.ID && !other.Left && other.Address == u.Address && other.started > u.started {
			return true
		}
	}
	return false
}

// Live returns the upstreams that have not left, sorted by identity.
func (r *Registry) Live() []*Upstream {
	live := make([]*Upstream, 0, len(r.upstreams))
	for _, id := range slices.Sorted(maps.Keys(r.upstreams)) {
		if u := r.upstreams[id]; !u.Left {
			live = append(live, u)
		}
	}
	return live
}
