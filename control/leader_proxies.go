package control

import (
	"context"
	"crypto/rand"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/control/probe"
	"github.com/jayloom/jayloom/policy/failover"
)

// minFullCopyInterval is the minimum time between two full copies on one stream. A
// report that the proxy sent before a copy arrived still has revision 0 and must not
// cause another copy.
const minFullCopyInterval = 250 * time.Millisecond

// handleReport answers one report of a proxy.
func (l *Leader) handleReport(ctx context.Context, r reportReceived) {
	reportsHandled.Inc()
	ps, report := r.stream, r.report
	if !l.isLeading() || !l.replicator.LeaseValid(clock.Now()) {
		ps.cancel()
		return
	}
	if report.Proxy.GetName() == "" {
		ps.cancel()
		return
	}
	l.bindStream(ps, report)
	l.propagateChanges(ctx)
	if report.AppliedRevision > l.store.Revision() {
		// The proxy got changes from an earlier leader that this one has not applied
		// yet. The answer has to wait for a later report.
		return
	}
	if report.AppliedRevision == 0 && r.at-ps.fullCopySentAt >= minFullCopyInterval {
		// The proxy has no state yet, or could not apply a change to it.
		ps.sentRevision = 0
	}
	ps.lastSequence = report.Sequence
	ps.appliedRevision = report.AppliedRevision
	l.lastReportAt[ps.proxy] = r.at
	if report.Groups != nil {
		ps.allGroups = report.Groups.All
		ps.groups = report.Groups.Names
	}
	for _, fence := range report.FencesAcknowledged {
		l.stepFailover(ctx, r.at, failover.FenceAcknowledged{Holder: ps.holder(), Group: fence.Group, Term: fence.Term})
	}
	if report.Leaving {
		l.releaseProxy(ps)
		return
	}
	if !ps.registered {
		l.registerProxy(ctx, ps, report.Proxy)
	}
	l.send(ps, l.buildUpdate(ctx, ps, report, r.at))
}

// bindStream makes ps the current stream of the proxy that sent its first report. An
// older stream of the same proxy is closed.
func (l *Leader) bindStream(ps *proxyStream, report *controlpb.Report) {
	if ps.proxy != "" {
		return
	}
	l.lastStreamID++
	ps.id = l.lastStreamID
	ps.proxy = report.Proxy.Name
	ps.incarnation = report.Incarnation
	ps.sentRevision = report.AppliedRevision
	if older, ok := l.streams[ps.proxy]; ok {
		older.cancel()
	}
	l.streams[ps.proxy] = ps
}

// registerProxy proposes a proxy that is new or has moved for the replicated state.
// Until the command is applied the proxy gets no lease, because a new leader would not
// know that it has to wait for that lease.
func (l *Leader) registerProxy(ctx context.Context, ps *proxyStream, member *controlpb.ProxyMember) {
	if l.isRegistered(member) {
		ps.registered = true
		return
	}
	l.propose(ctx, &controlpb.Command{
		Change: &controlpb.Command_RegisterProxy{RegisterProxy: proto.Clone(member).(*controlpb.ProxyMember)},
	})
}

func (l *Leader) isRegistered(member *controlpb.ProxyMember) bool {
	current, ok := l.store.View().Proxies[member.Name]
	return ok && current.PeeringAddress == member.PeeringAddress && current.Place == member.Place
}

// buildUpdate returns the update that answers a report. Leases and grants in it run
// from the time at which the proxy sent the report.
func (l *Leader) buildUpdate(ctx context.Context, ps *proxyStream, report *controlpb.Report, at time.Duration) *controlpb.Update {
	update := &controlpb.Update{Sequence: ps.lastSequence, LeaderTerm: l.term}
	l.addChanges(ps, update)
	update.Health = l.upstreamHealth(ps, at)
	if !ps.registered {
		return update
	}
	update.AttendanceLeaseMs = uint32(servingLease.Milliseconds())
	l.addPrimaryLeases(ctx, ps, update, at)
	update.Grants = l.tokenAllocator.HandleReport(at, ps.proxy, ps.incarnation, ps.id, report.Tokens)
	update.Shares = l.shareAllocator.HandleReport(at, ps.proxy, ps.incarnation, ps.id, report.Shares)
	return update
}

// addChanges adds what the proxy needs to get from the newest revision sent to the
// current one.
func (l *Leader) addChanges(ps *proxyStream, update *controlpb.Update) {
	changes, full := l.store.ChangesSince(ps.sentRevision)
	update.Changes = changes
	update.Full = full
	if full != nil {
		fullCopiesSent.Inc()
		ps.fullCopySentAt = clock.Now()
		ps.sentRevision = full.Revision
	}
	if len(changes) > 0 {
		ps.sentRevision = changes[len(changes)-1].Revision
	}
}

// servedGroups returns the names of the groups that the proxy serves.
func (l *Leader) servedGroups(ps *proxyStream) []string {
	if ps.allGroups {
		return sortedKeys(l.view.Groups)
	}
	return ps.groups
}

func (l *Leader) upstreamHealth(ps *proxyStream, at time.Duration) []*controlpb.UpstreamHealth {
	if ps.allGroups {
		return l.failoverMachine.Health(at)
	}
	return l.failoverMachine.GroupHealth(at, ps.groups)
}

// addPrimaryLeases grants a lease for every healthy group of the proxy. The proxy then
// counts as a holder for all groups, so a fence may wait longer than necessary but
// never too short. The groups come from the state that the failover machine has seen,
// so that the wait of a fence starts after the last grant.
func (l *Leader) addPrimaryLeases(ctx context.Context, ps *proxyStream, update *controlpb.Update, at time.Duration) {
	update.PrimaryLeaseMs = uint32(primaryLease.Milliseconds())
	for _, name := range l.servedGroups(ps) {
		group, ok := l.view.Groups[name]
		if ok && group.Primary != "" && group.Phase == controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
			update.PrimaryLeases = append(update.PrimaryLeases, &controlpb.GroupTerm{Group: name, Term: group.Term})
		}
	}
	l.stepFailover(ctx, at, failover.LeaseGranted{Holder: ps.holder()})
}

// propagateChanges passes the newest revision to the policies and to all connected
// proxies.
func (l *Leader) propagateChanges(ctx context.Context) {
	view := l.store.View()
	if l.view != nil && view.Revision == l.view.Revision {
		return
	}
	previous := l.view
	l.view = view
	now := clock.Now()
	l.syncTeams(now, previous, view)
	l.syncUpstreams(now, previous, view)
	countPromotions(previous, view)
	countSwitchovers(previous, view)
	l.stepFailover(ctx, now, failover.Applied{State: view})
	for _, ps := range l.streams {
		l.pushChanges(ps)
	}
}

func (l *Leader) syncTeams(now time.Duration, previous, view *controlpb.FleetState) {
	for _, name := range sortedKeys(view.Teams) {
		l.tokenAllocator.SetTeam(now, name, view.Teams[name].Rate, view.Teams[name].Burst)
	}
	for name := range previous.GetTeams() {
		if _, ok := view.Teams[name]; !ok {
			l.tokenAllocator.RemoveTeam(now, name)
		}
	}
}

func (l *Leader) syncUpstreams(now time.Duration, previous, view *controlpb.FleetState) {
	targets := make([]probe.Target, 0, len(view.Upstreams))
	for _, address := range sortedKeys(view.Upstreams) {
		u := view.Upstreams[address]
		service := view.Groups[u.Group].GetService()
		targets = append(targets, probe.Target{Address: address, Service: service})
		l.shareAllocator.SetUpstream(now, address, u.ConnectionLimit)
	}
	for address := range previous.GetUpstreams() {
		if _, ok := view.Upstreams[address]; !ok {
			l.shareAllocator.RemoveUpstream(now, address)
		}
	}
	l.prober.SetTargets(targets)
}

// pushReductions revokes unused tokens and reduces shares that other proxies need.
func (l *Leader) pushReductions(now time.Duration) {
	for _, revocation := range l.tokenAllocator.TakeRevocations(now) {
		l.pushUpdate(revocation.Proxy, &controlpb.Update{Grants: revocation.Grants})
	}
	for _, reduction := range l.shareAllocator.Reallocate(now) {
		l.pushUpdate(reduction.Proxy, &controlpb.Update{Shares: reduction.Shares})
	}
}

func (l *Leader) pushUpdate(proxy string, update *controlpb.Update) {
	ps, ok := l.streams[proxy]
	if !ok {
		return
	}
	update.Sequence = ps.lastSequence
	update.LeaderTerm = l.term
	updatesPushed.Inc()
	l.send(ps, update)
}

// pushChanges sends changes without waiting for the proxy's next report. It grants
// nothing, because only an answer to a report may extend a lease.
func (l *Leader) pushChanges(ps *proxyStream) {
	update := &controlpb.Update{Sequence: ps.lastSequence, LeaderTerm: l.term}
	l.addChanges(ps, update)
	if update.Full == nil && len(update.Changes) == 0 {
		return
	}
	updatesPushed.Inc()
	l.send(ps, update)
}

// send queues an update and never blocks. A proxy that does not read is disconnected
// and continues on a new stream from the revision that it has applied.
func (l *Leader) send(ps *proxyStream, update *controlpb.Update) {
	select {
	case ps.updates <- update:
	default:
		slowProxyDisconnects.Inc()
		ps.cancel()
	}
}

func (l *Leader) handleStreamEnded(ps *proxyStream) {
	if l.streams[ps.proxy] == ps {
		delete(l.streams, ps.proxy)
	}
}

// releaseProxy reclaims the tokens and shares of a proxy that is shutting down. The
// proxy closes its connections before it reports this, so its shares are free at once.
func (l *Leader) releaseProxy(ps *proxyStream) {
	now := clock.Now()
	l.tokenAllocator.RemoveProxy(now, ps.proxy)
	l.shareAllocator.ReleaseProxy(now, ps.proxy)
	ps.cancel()
}

// initializeCluster proposes the key that signs session tokens if there is none yet.
func (l *Leader) initializeCluster(ctx context.Context, view *controlpb.FleetState) {
	if len(view.TokenKey) > 0 {
		return
	}
	key := make([]byte, tokenKeyBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(key)
	l.propose(ctx, &controlpb.Command{
		Change: &controlpb.Command_InitializeCluster{InitializeCluster: &controlpb.InitializeCluster{TokenKey: key}},
	})
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// countPromotions counts the promotions that were completed between two states.
func countPromotions(previous, view *controlpb.FleetState) {
	for name, before := range previous.GetGroups() {
		if view.Groups[name].GetTerm() > before.Term {
			promotionsCompleted.Inc()
		}
	}
}

// countSwitchovers counts the switchovers that started or ended between two states.
func countSwitchovers(previous, view *controlpb.FleetState) {
	for name, before := range previous.GetGroups() {
		after := view.Groups[name]
		if outcome := switchoverOutcome(before, after); outcome != "" {
			switchovers(outcome).Inc()
		}
	}
}

func switchoverOutcome(before, after *controlpb.Group) string {
	switch {
	case before.GetSwitchover() == after.GetSwitchover():
		return ""
	case after.GetSwitchover():
		return switchoverBegun
	case after.GetPhase() != controlpb.GroupPhase_GROUP_PHASE_HEALTHY:
		return switchoverFailedOver
	case after.GetPrimary() == before.GetPrimary():
		return switchoverAborted
	default:
		return switchoverCompleted
	}
}
