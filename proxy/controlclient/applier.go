package controlclient

import (
	"maps"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/policy/fleet"
	"github.com/jayloom/jayloom/proxy/view"
)

// maxUnansweredReports is the maximum number of reports whose send times are kept. At one
// report per 250 ms, answerTimeout ends the stream long before it is reached.
const maxUnansweredReports = 4096

// applier turns updates into snapshots. It belongs to the goroutine of Client.Run.
type applier struct {
	proxyName  string
	store      *view.Store
	state      *fleet.State
	leaderTerm uint64
	// needsFullState is set when a change did not follow the applied revision. Reports
	// then carry revision 0, which requests the full state.
	needsFullState bool
	sends          sendTimes
}

func newApplier(proxyName string, store *view.Store) *applier {
	return &applier{proxyName: proxyName, store: store, state: fleet.New()}
}

// sendTimes records when reports of the current stream were sent. A lease counts from the
// time at which the answered report was sent.
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

// recordSend records that a report is sent now and returns its sequence number.
func (s *sendTimes) recordSend(now time.Duration) uint64 {
	s.lastSequence++
	if len(s.sentAt) < maxUnansweredReports {
		s.sentAt[s.lastSequence] = now
	}
	return s.lastSequence
}

// recordAnswer records that the report with this sequence number was answered and returns
// the report's send time. It returns false for a report that was never sent or is older
// than one answered before.
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

// reportedRevision returns the applied revision for the next report, 0 to request the full
// state.
func (a *applier) reportedRevision() uint64 {
	if a.needsFullState {
		return 0
	}
	return a.state.Revision()
}

// fencedTerms returns the groups, with their terms, that are fenced in the published
// snapshot.
func (a *applier) fencedTerms() []*controlpb.GroupTerm {
	var fenced []*controlpb.GroupTerm
	for name, group := range a.store.Current().Groups {
		if !group.Healthy {
			fenced = append(fenced, &controlpb.GroupTerm{Group: name, Term: group.Term})
		}
	}
	return fenced
}

// apply applies an update and publishes the result. It returns whether the state or the
// need for a full state changed, the send time of the report that the update answers, and
// whether it answers a report of this stream. An update from a replaced leader is ignored.
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
	// A lower revision would restore withdrawn keys and old routes.
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
		// The snapshot needs a copy, because later changes modify the state in place.
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

// extendLeases extends the serving lease and the primary leases, counting from the time at
// which the answered report was sent.
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

// mergeHealth returns the health of s updated with the reported entries, without upstreams
// that are no longer in the configuration.
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
