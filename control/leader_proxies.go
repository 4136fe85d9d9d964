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
const fullCopyGap = 250 * time.Millisecond

// handleReport answers one report of a proxy.
func (l *Leader) handleReport(ctx context.Context, r reportReceived) {
	reportsHandled.Inc()
	a, report := r.attendance, r.report
	if !l.leads() || !l.replicator.LeaseValid(clock.Now()) {
		a.cancel()
		return
	}
	if report.Proxy.GetName() == "" {
		a.cancel()
		return
	}
	l.attend(a, report)
	l.handleChanges(ctx)
	if report.AppliedRevision > l.store.Revision() {
		// An older leader has served the proxy changes that this one has not applied
		// yet. Its next report is answered.
		return
	}
	if report.AppliedRevision == 0 && r.at-a.fullSentAt >= fullCopyGap {
		// The proxy has nothing yet, or a change did not fit its state.
		a.sentRevision = 0
	}
	a.sequence = report.Sequence
	a.applied = report.AppliedRevision
	l.lastReports[a.proxy] = r.at
	if report.Groups != nil {
		a.allGroups = report.Groups.All
		a.groups = report.Groups.Names
	}
	for _, fence := range report.FencesAcknowledged {
		l.step(ctx, r.at, failover.FenceAcknowledged{Holder: a.holder(), Group: fence.Group, Term: fence.Term})
	}
	if report.Leaving {
		l.release(a)
		return
	}
	if !a.registered {
		l.register(ctx, a, report.Proxy)
	}
	l.send(a, l.answer(ctx, a, report, r.at))
}

// attend makes a the proxy's stream; an older stream of the same proxy ends.
func (l *Leader) attend(a *attendance, report *controlpb.Report) {
	if a.proxy != "" {
		return
	}
	l.nextStream++
	a.stream = l.nextStream
	a.proxy = report.Proxy.Name
	a.incarnation = report.Incarnation
	a.sentRevision = report.AppliedRevision
	if older, ok := l.attending[a.proxy]; ok {
		older.cancel()
	}
	l.attending[a.proxy] = a
}

// register records a proxy that is new or has moved. Until that is applied the
// proxy gets no lease, because a new leader would not know of it.
func (l *Leader) register(ctx context.Context, a *attendance, member *controlpb.ProxyMember) {
	if l.isRegistered(member) {
		a.registered = true
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
func (l *Leader) answer(ctx context.Context, a *attendance, report *controlpb.Report, at time.Duration) *controlpb.Update {
	update := &controlpb.Update{Sequence: a.sequence, LeaderTerm: l.term}
	l.addChanges(a, update)
	update.Health = l.health(a, at)
	if !a.registered {
		return update
	}
	update.AttendanceLeaseMs = uint32(attendanceLease.Milliseconds())
	l.addPrimaryLeases(ctx, a, update, at)
	update.Grants = l.tokens.HandleReport(at, a.proxy, a.incarnation, a.stream, report.Tokens)
	update.Shares = l.shares.HandleReport(at, a.proxy, a.incarnation, a.stream, report.Shares)
	return update
}

// addChanges brings the proxy from the newest revision sent to the current one.
func (l *Leader) addChanges(a *attendance, update *controlpb.Update) {
	changes, full := l.store.ChangesSince(a.sentRevision)
	update.Changes = changes
	update.Full = full
	if full != nil {
		fullCopiesSent.Inc()
		a.fullSentAt = clock.Now()
		a.sentRevision = full.Revision
	}
	if len(changes) > 0 {
		a.sentRevision = changes[len(changes)-1].Revision
	}
}

// groupsOf returns the names of the groups that a proxy serves.
func (l *Leader) groupsOf(a *attendance) []string {
	if a.allGroups {
		return sortedKeys(l.view.Groups)
	}
	return a.groups
}

func (l *Leader) health(a *attendance, at time.Duration) []*controlpb.UpstreamHealth {
	if a.allGroups {
		return l.groups.Health(at)
	}
	return l.groups.GroupHealth(at, a.groups)
}

// addPrimaryLeases grants a lease for every group of the proxy that is not fenced.
// The proxy then counts as a holder for all groups, which makes a fence wait longer
// than it must but never too short. The state is the one that the machine has seen, so that a fence counts its wait from a moment
// after the last grant.
func (l *Leader) addPrimaryLeases(ctx context.Context, a *attendance, update *controlpb.Update, at time.Duration) {
	update.PrimaryLeaseMs = uint32(primaryLease.Milliseconds())
	for _, name := range l.groupsOf(a) {
		group, ok := l.view.Groups[name]
		if ok && group.Primary != "" && group.Phase == controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
			update.PrimaryLeases = append(update.PrimaryLeases, &controlpb.GroupTerm{Group: name, Term: group.Term})
		}
	}
	l.step(ctx, at, failover.LeaseGranted{Holder: a.holder()})
}

// handleChanges brings the policies and all attending proxies to the newest
// revision.
func (l *Leader) handleChanges(ctx context.Context) {
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
	l.step(ctx, now, failover.Applied{State: view})
	for _, a := range l.attending {
		l.push(a)
	}
}

func (l *Leader) syncTeams(now time.Duration, previous, view *controlpb.FleetState) {
	for _, name := range sortedKeys(view.Teams) {
		l.tokens.SetTeam(now, name, view.Teams[name].Rate, view.Teams[name].Burst)
	}
	for name := range previous.GetTeams() {
		if _, ok := view.Teams[name]; !ok {
			l.tokens.RemoveTeam(now, name)
		}
	}
}

func (l *Leader) syncUpstreams(now time.Duration, previous, view *controlpb.FleetState) {
	targets := make([]probe.Target, 0, len(view.Upstreams))
	for _, address := range sortedKeys(view.Upstreams) {
		u := view.Upstreams[address]
		service := view.Groups[u.Group].GetService()
		targets = append(targets, probe.Target{Address: address, Service: service})
		l.shares.SetUpstream(now, address, u.ConnectionLimit)
	}
	for address := range previous.GetUpstreams() {
		if _, ok := view.Upstreams[address]; !ok {
			l.shares.RemoveUpstream(now, address)
		}
	}
	l.watcher.SetTargets(targets)
}

// pushGrants recalls unused tokens and shrinks shares that other proxies need.
func (l *Leader) pushGrants(now time.Duration) {
	for _, recall := range l.tokens.TakeRevocations(now) {
		l.pushUpdate(recall.Proxy, &controlpb.Update{Grants: recall.Grants})
	}
	for _, shrink := range l.shares.Reallocate(now) {
		l.pushUpdate(shrink.Proxy, &controlpb.Update{Shares: shrink.Shares})
	}
}

func (l *Leader) pushUpdate(proxy string, update *controlpb.Update) {
	a, ok := l.attending[proxy]
	if !ok {
		return
	}
	update.Sequence = a.sequence
	update.LeaderTerm = l.term
	updatesPushed.Inc()
	l.send(a, update)
}

// push sends what changed without waiting for the proxy's next report. It grants
// nothing: a push must not prolong a lease.
func (l *Leader) push(a *attendance) {
	update := &controlpb.Update{Sequence: a.sequence, LeaderTerm: l.term}
	l.addChanges(a, update)
	if update.Full == nil && len(update.Changes) == 0 {
		return
	}
	updatesPushed.Inc()
	l.send(a, update)
}

// send never blocks: a proxy that does not read is disconnected and will start
// again from what it has applied.
func (l *Leader) send(a *attendance, update *controlpb.Update) {
	select {
	case a.updates <- update:
	default:
		slowProxies.Inc()
		a.cancel()
	}
}

func (l *Leader) handleAttendanceEnded(a *attendance) {
	if l.attending[a.proxy] == a {
		delete(l.attending, a.proxy)
	}
}

// release takes back what a proxy held that is shutting down. It has closed its
// connections before it reports that, so its shares are free at once.
func (l *Leader) release(a *attendance) {
	now := clock.Now()
	l.tokens.RemoveProxy(now, a.proxy)
	l.shares.ReleaseProxy(now, a.proxy)
	a.cancel()
}

// initialize creates the key that signs session tokens, once in a cluster's life.
func (l *Leader) initialize(ctx context.Context, view *controlpb.FleetState) {
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
			promotionsDone.Inc()
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
		return switchoverGivenUp
	default:
		return switchoverCompleted
	}
}
