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

// fullCopyGap is the least time between two full copies on one stream. Reports that
// were sent before the first copy arrived ask for none.
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
		// An older leader has served the proxy changes that this one has not applied
		// yet. Its next report is answered.
		return
	}
	if report.AppliedRevision == 0 && r.at-ps.fullCopySentAt >= minFullCopyInterval {
		// The proxy has nothing yet, or a change did not fit its state.
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

// attend makes a the proxy's stream; an older stream of the same proxy ends.
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

// register records a proxy that is new or has moved. Until that is applied the
// proxy gets no lease, because a new leader would not know of it.
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

// answer builds the update for a report. What it grants counts from the proxy's
// send time of that report.
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

// addChanges brings the proxy from the newest revision sent to the current one.
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

// groupsOf returns the names of the groups that a proxy serves.
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

// addPrimaryLeases grants a lease for every group of the proxy that is not fenced.
// The proxy then counts as a holder for all groups, which makes a fence wait longer
// than it must but never too short. The state is the one that the machine has seen, so that a fence counts its wait from a moment
// after the last grant.
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

// handleChanges brings the policies and all attending proxies to the newest
// revision.
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

// pushGrants recalls unused tokens and shrinks shares that other proxies need.
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

// push sends what changed without waiting for the proxy's next report. It grants
// nothing: a push must not prolong a lease.
func (l *Leader) pushChanges(ps *proxyStream) {
	update := &controlpb.Update{Sequence: ps.lastSequence, LeaderTerm: l.term}
	l.addChanges(ps, update)
	if update.Full == nil && len(update.Changes) == 0 {
		return
	}
	updatesPushed.Inc()
	l.send(ps, update)
}

// send never blocks: a proxy that does not read is disconnected and will start
// again from what it has applied.
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

// release takes back what a proxy held that is shutting down. It has closed its
// connections before it reports that, so its shares are free at once.
func (l *Leader) releaseProxy(ps *proxyStream) {
	now := clock.Now()
	l.tokenAllocator.RemoveProxy(now, ps.proxy)
	l.shareAllocator.ReleaseProxy(now, ps.proxy)
	ps.cancel()
}

// initialize creates the key that signs session tokens, once in a cluster's life.
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

// countPromotions counts the terms that were completed between two states.
func countPromotions(previous, view *controlpb.FleetState) {
	for name, before := range previous.GetGroups() {
		if view.Groups[name].GetTerm() > before.Term {
			promotionsCompleted.Inc()
		}
	}
}

// countSwitchovers counts the switchovers that began or ended between two states.
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
