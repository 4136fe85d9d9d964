// Package topology keeps the registry of announced upstreams. It decides which of two
// announcements is newer, and has no clock and no I/O.
package topology

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// AnnouncementTimeout is the time without an announcement or an answer after which an
	// upstream is removed. Until then, proxies keep the connections that still answer.
	AnnouncementTimeout = 20 * time.Second
	// leftRetention is how long the entry of an upstream that has left is kept, so that a
	// delayed announcement does not add it again.
	leftRetention = time.Minute
	// earlierStartTimeout is the time without an announcement after which an announcement
	// with an earlier start time is accepted: the process restarted after its clock was
	// set back.
	earlierStartTimeout = 5 * time.Second
	// unconfirmedTimeout is how long an upstream is kept that is known only from an earlier
	// leader's topology and does not answer: three announcement intervals.
	unconfirmedTimeout = 4 * time.Second
)

// Upstream is an announced database server.
type Upstream struct {
	ID       string
	Service  string
	Address  string
	Place    string
	Slots    uint32
	Draining bool
	// DrainEndsAt is when no new work may reach a draining upstream any more, or 0 if that is not known.
	DrainEndsAt time.Duration
	Left        bool
	// LeaveDoubted is set if the upstream has left and its Leave call may be a late one of an earlier process. The
	// upstream gets no new work, and its process may still run.
	LeaveDoubted bool
	// heardAt is when the upstream last announced itself or answered since a doubted Leave call, or when that came;
	// announcedSinceLeave is set if it has announced itself since.
	heardAt             time.Duration
	announcedSinceLeave bool
	// ClaimsPrimary is set if the upstream announced that it is the primary.
	ClaimsPrimary bool
	// startedUnixMs, the start time of the process, and sequence order its announcements.
	startedUnixMs int64
	sequence      uint64
	// fingerprint is that of the newest announcement to this leader, 0 if there was none.
	fingerprint uint64
	// LastContact is when the upstream last announced itself or answered; announcedAt is the
	// former.
	LastContact time.Duration
	announcedAt time.Duration
	// unconfirmed is true until the upstream has announced itself to this leader.
	unconfirmed bool
	// drainedEarlier is set if an earlier leader knew the upstream as draining and it then announced to this
	// one that it is ready: it has started again, or the announcement was a late one.
	drainedEarlier bool
}

// StartedUnixMs returns the start time of the upstream's process.
func (u *Upstream) StartedUnixMs() int64 {
	return u.startedUnixMs
}

// AnnouncedAt returns when the upstream last announced itself, or zero if it has not announced itself to this
// leader.
func (u *Upstream) AnnouncedAt() time.Duration {
	return u.announcedAt
}

// Registry holds the announced upstreams. It is not safe for concurrent use.
type Registry struct {
	upstreams map[string]*Upstream
	// byAddress holds the same upstreams by address and ID. Each announcement is compared with the
	// others at its address, and there may be thousands of upstreams.
	byAddress map[string]map[string]*Upstream
	// sortedIDs are the IDs of upstreams in their order, nil when one was added or removed.
	sortedIDs []string
	revision  uint64
	drainTime time.Duration
}

// NewRegistry returns an empty Registry whose revisions start above base.
func NewRegistry(base uint64) *Registry {
	return &Registry{
		upstreams: map[string]*Upstream{}, byAddress: map[string]map[string]*Upstream{}, revision: base + 1,
	}
}

// SetDrainTime sets the time that an upstream takes new work after the acknowledgement that it drains.
func (r *Registry) SetDrainTime(d time.Duration) {
	r.drainTime = d
}

// put adds an upstream or replaces the one with its ID.
func (r *Registry) put(u *Upstream) {
	if known := r.upstreams[u.ID]; known != nil {
		r.forgetAddress(known)
	} else {
		r.sortedIDs = nil
	}
	r.upstreams[u.ID] = u
	if r.byAddress[u.Address] == nil {
		r.byAddress[u.Address] = map[string]*Upstream{}
	}
	r.byAddress[u.Address][u.ID] = u
}

// remove removes an upstream if it is registered.
func (r *Registry) remove(id string) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	delete(r.upstreams, id)
	r.sortedIDs = nil
	r.forgetAddress(u)
}

// forgetAddress removes an upstream from those at its address.
func (r *Registry) forgetAddress(u *Upstream) {
	delete(r.byAddress[u.Address], u.ID)
	if len(r.byAddress[u.Address]) == 0 {
		delete(r.byAddress, u.Address)
	}
}

// Revision returns the revision of the topology, which grows with every change that
// proxies need to know.
func (r *Registry) Revision() uint64 {
	return r.revision
}

// IncrementRevision causes the topology to be sent to proxies again, for example after a
// change of a primary.
func (r *Registry) IncrementRevision() {
	r.revision++
}

// ApplyAnnouncement updates the registry from an announcement and reports whether that changed
// anything but the time of the last contact. The revision grows only if nodes need to know.
func (r *Registry) ApplyAnnouncement(now time.Duration, a *controlpb.UpstreamAnnouncement) bool {
	if a.Phase == controlpb.UpstreamPhase_UPSTREAM_PHASE_LEFT {
		return r.recordLeave(now, a.Id)
	}
	u := r.upstreams[a.Id]
	if u != nil && u.LeaveDoubted && u.startedUnixMs == a.StartedUnixMs && !r.refutesLeave(now, u, a.Sequence) {
		return false
	}
	if u != nil && !isNewer(now, u, a) {
		return false
	}
	if r.isReplaced(a.Id, a.Address, a.StartedUnixMs) {
		return false
	}
	next := &Upstream{
		ID: a.Id, Service: a.Service, Address: a.Address, Place: a.Place, Slots: a.Slots,
		Draining:      a.Phase == controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING,
		ClaimsPrimary: a.Primary, startedUnixMs: a.StartedUnixMs, sequence: a.Sequence, fingerprint: Fingerprint(a),
		LastContact: now, announcedAt: now,
	}
	// A draining process never becomes ready again.
	if u != nil && !u.unconfirmed && u.startedUnixMs == a.StartedUnixMs {
		next.Draining = next.Draining || u.Draining
	}
	next.drainedEarlier = mayHaveDrained(u, a)
	if next.Draining {
		next.DrainEndsAt = drainEnd(now, r.drainTime, u, a)
	}
	r.put(next)
	if u == nil || isVisiblyDifferent(u, next) {
		r.revision++
		return true
	}
	return a.Primary != u.ClaimsPrimary || a.StartedUnixMs != u.startedUnixMs
}

// RecordContact records that an upstream has answered. One whose announcements do not arrive stays in use for as long as
// it answers, and one whose leave is doubted goes on counting as running.
func (r *Registry) RecordContact(now time.Duration, id string) {
	u := r.upstreams[id]
	switch {
	case u == nil:
	case u.LeaveDoubted:
		u.heardAt = max(u.heardAt, now)
	case !u.Left:
		u.LastContact = max(u.LastContact, now)
	}
}

// AddUnconfirmed adds the upstreams of an earlier leader's topology that are not in the
// registry, and reports whether there were any. Known upstreams are not changed.
func (r *Registry) AddUnconfirmed(now time.Duration, t *controlpb.Topology) bool {
	changed := false
	for _, h := range t.GetUpstreams() {
		if r.upstreams[h.Id] != nil {
			continue
		}
		r.put(&Upstream{
			ID: h.Id, Service: h.Service, Address: h.Address, Place: h.Place, Slots: h.Slots,
			Draining: h.Draining, LastContact: now, unconfirmed: true,
		})
		changed = true
	}
	if changed {
		r.revision++
	}
	return changed
}

// isNewer reports whether an announcement is newer than a registered upstream. Announcements
// are ordered by the start time of the process, then by sequence number. An upstream that answers is kept
// without announcements, so that neither may shut out all others for good.
func isNewer(now time.Duration, u *Upstream, a *controlpb.UpstreamAnnouncement) bool {
	if u.unconfirmed {
		return true
	}
	if a.StartedUnixMs != u.startedUnixMs {
		return a.StartedUnixMs > u.startedUnixMs || now-u.announcedAt > earlierStartTimeout
	}
	// A late announcement arrives seconds after it was sent. When only late ones have come for so long,
	// the highest number was wrong.
	sequenceIsWrong := now-u.announcedAt > AnnouncementTimeout
	return (a.Sequence > u.sequence || sequenceIsWrong) && (!u.Left || u.LeaveDoubted)
}

// isReplaced reports whether another process that started later is registered at the address of a
// process.
func (r *Registry) isReplaced(id, address string, startedUnixMs int64) bool {
	for other, u := range r.byAddress[address] {
		if other != id && !u.Left && u.startedUnixMs > startedUnixMs {
			return true
		}
	}
	return false
}

// isVisiblyDifferent reports whether two states of an upstream differ in what nodes are told.
func isVisiblyDifferent(a, b *Upstream) bool {
	return a.Service != b.Service || a.Address != b.Address || a.Place != b.Place || a.Slots != b.Slots ||
		a.Draining != b.Draining || a.DrainEndsAt != b.DrainEndsAt || a.Left != b.Left
}

// Expire removes upstreams without a recent announcement, and older processes at the address
// of a newer one. It reports whether proxies must be notified.
func (r *Registry) Expire(now time.Duration) bool {
	var expired []*Upstream
	for _, u := range r.upstreams {
		u.confirmLeaveBySilence(now)
		if r.isExpired(now, u) {
			expired = append(expired, u)
		}
	}
	changed := false
	for _, u := range expired {
		r.remove(u.ID)
		changed = changed || !u.Left
	}
	if changed {
		r.revision++
	}
	return changed
}

// isExpired reports whether an upstream is to be removed.
func (r *Registry) isExpired(now time.Duration, u *Upstream) bool {
	limit := AnnouncementTimeout
	switch {
	case u.Left:
		limit = leftRetention
	case u.unconfirmed:
		limit = unconfirmedTimeout
	}
	if now-u.LastContact >= limit {
		return true
	}
	return !u.Left && r.isReplaced(u.ID, u.Address, u.startedUnixMs)
}

// Get returns the registered upstream with an ID, or nil.
func (r *Registry) Get(id string) *Upstream {
	return r.upstreams[id]
}

// Size returns the number of registered upstreams.
func (r *Registry) Size() int {
	return len(r.upstreams)
}

// Live returns the upstreams that have not left, sorted by ID.
func (r *Registry) Live() []*Upstream {
	if r.sortedIDs == nil {
		r.sortedIDs = slices.Sorted(maps.Keys(r.upstreams))
	}
	live := make([]*Upstream, 0, len(r.upstreams))
	for _, id := range r.sortedIDs {
		if u := r.upstreams[id]; !u.Left {
			live = append(live, u)
		}
	}
	return live
}
