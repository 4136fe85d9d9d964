package controlclient

import (
	"maps"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/policy/fleet"
	"github.com/jayloom/jayloom/proxy/view"
)

// maxUnansweredReports bounds the send times kept for reports without an echo. At one
// report per 250 ms a stream is given up long before.
const maxUnansweredReports = 4096

// applier turns updates into snapshots. It is owned by the control goroutine.
type applier struct {
	proxyName  string
	store      *view.Store
	state      *fleet.State
	leaderTerm uint64
	// needsFullState says that a change did not fit, so that the next report asks for a
	// full copy by revision 0.
	needsFullState bool
	sends          sendTimes
}

func newApplier(proxyName string, store *view.Store) *applier {
	return &applier{proxyName: proxyName, store: store, state: fleet.New()}
}

// sendTimes remembers when reports of the current stream were sent.
type sendTimes struct {
	lastSequence       uint64
	sentAt             map[uint64]time.Duration
	lastAnswered       uint64
	lastAnsweredSentAt time.Duration
	hasAnswer          bool
}

func (s *sendTimes) reset() {
	*s = sendTimes{sentAt: map[uint64]time.Duration{}}
}

// recordSend returns the sequence of a report that is sent now.
func (s *sendTimes) recordSend(now time.Duration) uint64 {
	s.lastSequence++
	if len(s.sentAt) < maxUnansweredReports {
		s.sentAt[s.lastSequence] = now
	}
	return s.lastSequence
}

// recordAnswer returns the send time of an echoed report. A sequence that was never sent,
// or is older than one echoed before, has none.
func (s *sendTimes) recordAnswer(sequence uint64) (time.Duration, bool) {
	if s.hasAnswer && sequence == s.lastAnswered {
		return s.lastAnsweredSentAt, true
	}
	sentAt, ok := s.sentAt[sequence]
	if !ok || sequence < s.lastAnswered {
		return 0, false
	}
	s.hasAnswer, s.lastAnswered, s.lastAnsweredSentAt = true, sequence, sentAt
	maps.DeleteFunc(s.sentAt, func(n uint64, _ time.Duration) bool { return n <= sequence })
	return sentAt, true
}

// reportedRevision is what the next report says.
func (a *applier) reportedRevision() uint64 {
	if a.needsFullState {
		return 0
	}
	return a.state.Revision()
}

// fencedTerms lists the terms that the published snapshot holds as fenced.
func (a *applier) fencedTerms() []*controlpb.GroupTerm {
	var fenced []*controlpb.GroupTerm
	for name, group := range a.store.Current().Groups {
		if !group.Healthy {
			fenced = append(fenced, &controlpb.GroupTerm{Group: name, Term: group.Term})
		}
	}
	return fenced
}

// apply takes over an update and publishes the result. It reports whether the
// state changed and when the echoed report was sent. An update of a replaced
// leader is ignored.
func (a *applier) apply(u *controlpb.Update) (changed bool, sentAt time.Duration, answered bool) {
	if u.LeaderTerm < a.leaderTerm {
		return false, 0, false
	}
	a.leaderTerm = u.LeaderTerm
	wasComplete := !a.needsFullState
	changed = a.applyState(u) || wasComplete && a.needsFullState
	sentAt, answered = a.sends.recordAnswer(u.Sequence)
	a.publish(u, sentAt, answered)
	return changed, sentAt, answered
}

func (a *applier) applyState(u *controlpb.Update) bool {
	before := a.state.Revision()
	// A lower revision would bring back withdrawn keys and old routes.
	if u.Full != nil && u.Full.Revision >= before {
		a.state = fleet.FromProto(u.Full)
		a.needsFullState = false
	}
	for _, change := range u.Changes {
		if change.Revision <= a.state.Revision() {
			continue
		}
		if !a.state.ApplyChange(change) {
			a.needsFullState = true
			break
		}
	}
	return a.state.Revision() != before
}

func (a *applier) publish(u *controlpb.Update, sentAt time.Duration, answered bool) {
	old := a.store.Current()
	next := &view.Snapshot{
		Config:       old.Config,
		ServingUntil: old.ServingUntil,
		Leases:       maps.Clone(old.Leases),
		Health:       old.Health,
	}
	if old.Revision != a.state.Revision() {
		// CopyForProxies copies, because later changes modify the state in place.
		next.Config = view.Compile(a.state.CopyForProxies(), a.proxyName)
	}
	if answered && !a.needsFullState {
		extendLeases(next, u, sentAt)
	}
	if answered && len(u.Health) > 0 {
		next.Health = mergeHealth(next, u.Health, sentAt)
	}
	a.store.Publish(next)
}

func extendLeases(s *view.Snapshot, u *controlpb.Update, sentAt time.Duration) {
	s.ServingUntil = max(s.ServingUntil, sentAt+milliseconds(u.AttendanceLeaseMs))
	if s.Leases == nil {
		s.Leases = make(map[string]view.Lease, len(u.PrimaryLeases))
	}
	for _, granted := range u.PrimaryLeases {
		until := sentAt + milliseconds(u.PrimaryLeaseMs)
		held := s.Leases[granted.Group]
		if held.Term == granted.Term {
			until = max(until, held.Until)
		}
		s.Leases[granted.Group] = view.Lease{Term: granted.Term, Until: until}
	}
}

// mergeHealth keeps what the update does not mention, unless the upstream is gone.
func mergeHealth(s *view.Snapshot, reported []*controlpb.UpstreamHealth, sentAt time.Duration) map[string]view.Health {
	merged := make(map[string]view.Health, len(s.Upstreams))
	for address, health := range s.Health {
		if _, ok := s.Upstreams[address]; ok {
			merged[address] = health
		}
	}
	for _, health := range reported {
		merged[health.Address] = view.Health{UpstreamHealth: health, At: sentAt}
	}
	return merged
}

func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}
