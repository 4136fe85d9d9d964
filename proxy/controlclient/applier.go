package controlclient

import (
	"maps"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/policy/fleet"
	"github.com/jayloom/jayloom/proxy/view"
)

// maxPendingReports bounds the send times kept for reports without an echo. At one
// report per 250 ms a stream is given up long before.
const maxPendingReports = 4096

// applier turns updates into snapshots. It is owned by the control goroutine.
type applier struct {
	self       string
	store      *view.Store
	state      *fleet.State
	leaderTerm uint64
	// needFull says that a change did not fit, so that the next report asks for a
	// full copy by revision 0.
	needFull bool
	sends    sendTimes
}

func newApplier(self string, store *view.Store) *applier {
	return &applier{self: self, store: store, state: fleet.New()}
}

// sendTimes remembers when reports of the current stream were sent.
type sendTimes struct {
	last    uint64
	at      map[uint64]time.Duration
	echoed  uint64
	echoAt  time.Duration
	started bool
}

func (s *sendTimes) reset() {
	*s = sendTimes{at: map[uint64]time.Duration{}}
}

// next returns the sequence of a report that is sent now.
func (s *sendTimes) next(now time.Duration) uint64 {
	s.last++
	if len(s.at) < maxPendingReports {
		s.at[s.last] = now
	}
	return s.last
}

// echo returns the send time of an echoed report. A sequence that was never sent,
// or is older than one echoed before, has none.
func (s *sendTimes) echo(sequence uint64) (time.Duration, bool) {
	if s.started && sequence == s.echoed {
		return s.echoAt, true
	}
	at, ok := s.at[sequence]
	if !ok || sequence < s.echoed {
		return 0, false
	}
	s.started, s.echoed, s.echoAt = true, sequence, at
	maps.DeleteFunc(s.at, func(n uint64, _ time.Duration) bool { return n <= sequence })
	return at, true
}

// revision is what the next report says.
func (a *applier) revision() uint64 {
	if a.needFull {
		return 0
	}
	return a.state.Revision()
}

// fences lists the terms that the published snapshot holds as fenced.
func (a *applier) fences() []*controlpb.GroupTerm {
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
func (a *applier) apply(u *controlpb.Update) (changed bool, sentAt time.Duration, valid bool) {
	if u.LeaderTerm < a.leaderTerm {
		return false, 0, false
	}
	a.leaderTerm = u.LeaderTerm
	complete := !a.needFull
	changed = a.applyState(u) || complete && a.needFull
	sentAt, valid = a.sends.echo(u.Sequence)
	a.publish(u, sentAt, valid)
	return changed, sentAt, valid
}

func (a *applier) applyState(u *controlpb.Update) bool {
	before := a.state.Revision()
	// A lower revision would bring back withdrawn keys and old routes.
	if u.Full != nil && u.Full.Revision >= before {
		a.state = fleet.FromProto(u.Full)
		a.needFull = false
	}
	for _, change := range u.Changes {
		if change.Revision <= a.state.Revision() {
			continue
		}
		if !a.state.ApplyChange(change) {
			a.needFull = true
			break
		}
	}
	return a.state.Revision() != before
}

func (a *applier) publish(u *controlpb.Update, sentAt time.Duration, valid bool) {
	old := a.store.Current()
	next := &view.Snapshot{
		Config:       old.Config,
		ServingUntil: old.ServingUntil,
		Leases:       maps.Clone(old.Leases),
		Health:       old.Health,
	}
	if old.Revision != a.state.Revision() {
		// CopyForProxies copies, because later changes modify the state in place.
		next.Config = view.Compile(a.state.CopyForProxies(), a.self)
	}
	if valid && !a.needFull {
		grantLeases(next, u, sentAt)
	}
	if valid && len(u.Health) > 0 {
		next.Health = mergeHealth(next, u.Health, sentAt)
	}
	a.store.Publish(next)
}

func grantLeases(s *view.Snapshot, u *controlpb.Update, sentAt time.Duration) {
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
func mergeHealth(s *view.Snapshot, reported []*controlpb.UpstreamHealth, at time.Duration) map[string]view.Health {
	merged := make(map[string]view.Health, len(s.Upstreams))
	for address, health := range s.Health {
		if _, ok := s.Upstreams[address]; ok {
			merged[address] = health
		}
	}
	for _, health := range reported {
		merged[health.Address] = view.Health{UpstreamHealth: health, At: at}
	}
	return merged
}

func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}
