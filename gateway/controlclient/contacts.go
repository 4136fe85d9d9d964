package controlclient

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/topology"
)

const (
	// minRelayedFleet is the number of upstreams from which nodes answer unchanged announcements themselves. The
	// leader of a smaller fleet has room for all of them.
	minRelayedFleet = 256
	// maxKnownAnnouncements bounds the upstreams whose announcements a node answers.
	maxKnownAnnouncements = 128
)

// contactRelay answers announcements that repeat what the leader has acknowledged, and passes them on as contacts in
// the node's reports.
//
// Load pattern: thousands of upstreams announce themselves once a second, nearly always unchanged. One call each to
// the leader costs it more than all else that it does.
//
// An announcement that goes lost with the node, or with its link to the leader, does no harm: the leader knows the
// state already, and the next one comes a second later. A change is never answered here. What the leader has
// acknowledged is forgotten with the control stream, because the next leader may not know it.
type contactRelay struct {
	mu sync.Mutex
	// streams counts the control streams, so that an acknowledgement on an earlier one is not kept.
	streams uint64
	// known holds the acknowledged announcements, and pending the contacts for the next report, by upstream.
	known   map[string]knownAnnouncement
	pending map[string]pendingContact
}

// knownAnnouncement is an announcement that the leader has acknowledged.
type knownAnnouncement struct {
	fingerprint uint64
	sequence    uint64
}

// pendingContact is a contact that the leader has not been told. The newest one of an upstream is kept.
type pendingContact struct {
	knownAnnouncement
	at time.Duration
}

func newContactRelay() *contactRelay {
	r := &contactRelay{}
	r.startStream()
	return r
}

// startStream forgets everything that was acknowledged on an earlier control stream.
func (r *contactRelay) startStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
	r.known, r.pending = map[string]knownAnnouncement{}, map[string]pendingContact{}
}

// stream returns the number of the present control stream.
func (r *contactRelay) stream() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams
}

// answer reports whether an announcement repeats one that the leader has acknowledged, and notes the contact.
func (r *contactRelay) answer(now time.Duration, a *controlpb.UpstreamAnnouncement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.known[a.Id]
	if !ok || a.WarmupLeftMs > 0 || a.Sequence <= known.sequence || topology.Fingerprint(a) != known.fingerprint {
		return false
	}
	known.sequence = a.Sequence
	r.known[a.Id], r.pending[a.Id] = known, pendingContact{known, now}
	return true
}

// remember notes an announcement that the leader has acknowledged, if it was passed on during the given stream. It
// reports whether the node answers those that repeat it.
func (r *contactRelay) remember(stream uint64, a *controlpb.UpstreamAnnouncement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stream != r.streams {
		return false
	}
	_, replaces := r.known[a.Id]
	delete(r.known, a.Id)
	delete(r.pending, a.Id)
	// The time for which an upstream still warms up changes with each announcement.
	if a.Phase != controlpb.UpstreamPhase_UPSTREAM_PHASE_READY || a.WarmupLeftMs > 0 || (!replaces && len(r.known) >= maxKnownAnnouncements) {
		return false
	}
	r.known[a.Id] = knownAnnouncement{topology.Fingerprint(a), a.Sequence}
	return true
}

// forget forgets announcements that do not match what the leader knows.
func (r *contactRelay) forget(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		delete(r.known, id)
		delete(r.pending, id)
	}
}

// take returns the contacts since the last call, sorted by ID.
func (r *contactRelay) take(now time.Duration) []*controlpb.UpstreamContact {
	r.mu.Lock()
	defer r.mu.Unlock()
	var contacts []*controlpb.UpstreamContact
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		p := r.pending[id]
		contacts = append(contacts, &controlpb.UpstreamContact{
			Id: id, Fingerprint: p.fingerprint, Sequence: p.sequence, AgeMs: uint32((now - p.at).Milliseconds()),
		})
	}
	clear(r.pending)
	return contacts
}
