package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// returnTime is how long a new leader expects the nodes of an earlier one.
const returnTime = 5 * time.Second

// positionsInterval is the least time between two updates of a node that state positions.
// Most reports are about tokens, many a second; positions would be most of their answers.
const positionsInterval = 200 * time.Millisecond

// observationLife is the age up to which a position is spread.
const observationLife = 2 * time.Second

// lostTime is how long a node counts that was lost without a word: frozen or cut off, it
// keeps its connections.
const lostTime = 15 * time.Second

// attendance is the stream of one node.
type attendance struct {
	updates chan *controlpb.NodeUpdate
	// end ends the stream.
	end context.CancelFunc

	// The rest belongs to the leader's goroutine.
	node string
	// incarnation is that of the node's process.
	incarnation string
	stream      uint64
	sequence    uint64
	// viewedAt is when the node last said how it sees the primaries, positionsAt when it
	// was last told their positions.
	viewedAt    time.Duration
	positionsAt time.Duration
	// catalogSent and topologySent are what the node has or was sent.
	catalogSent   uint64
	topologySent  uint64
	votersSent    []string
	primaries     []*controlpb.PrimaryView
	voterIdentity string
	voterAddress  string
}

func (l *Leader) handleReport(ctx context.Context, e reportReceived) {
	a, report := e.from, e.report
	if !l.leading {
		a.end()
		return
	}
	now := clock.Now()
	if !l.attended[a] {
		l.attend(ctx, now, a, report)
	}
	a.sequence = report.Sequence
	if len(report.Primaries) > 0 {
		a.primaries, a.viewedAt = report.Primaries, now
	}
	if report.VoterIdentity != "" {
		a.voterIdentity, a.voterAddress = report.VoterIdentity, report.VoterAddress
	}
	grants := l.owner.HandleReport(now, a.node, a.incarnation, a.stream, report.Tokens)
	if report.Leaving {
		l.handleEnded(a)
		delete(l.lost, a.node)
		return
	}
	l.answer(a, now, grants)
	l.recall(now)
}

// attend takes over a new stream. An earlier one of the same node ends.
func (l *Leader) attend(ctx context.Context, now time.Duration, a *attendance, first *controlpb.NodeReport) {
	for other := range l.attended {
		if other.node == first.Node {
			other.end()
			delete(l.attended, other)
		}
	}
	l.streams++
	a.node, a.incarnation, a.stream = first.Node, first.Incarnation, l.streams
	a.catalogSent, a.topologySent = first.CatalogVersion, first.TopologyRevision
	l.attended[a] = true
	l.adopt(now, first.Topology)
	l.register(ctx, a.node)
	l.log.WithFields(logrus.Fields{
		"event": "node_attended", "node": a.node, "catalog": first.CatalogVersion, "voter": first.VoterIdentity,
	}).Info("node attends")
}

// adopt takes over what an earlier leader has told a node.
func (l *Leader) adopt(now time.Duration, t *controlpb.Topology) {
	if t == nil {
		return
	}
	for _, p := range t.Primaries {
		l.groupOf(now, p.Service).machine.Adopt(now, p.Upstream, p.Term)
	}
	if l.registry.AddUnconfirmed(now, t) {
		l.topologyChanged = true
	}
}

// register makes later leaders wait for the node's report before they grant tokens.
func (l *Leader) register(ctx context.Context, node string) {
	for _, known := range l.store.current().Nodes {
		if known.Name == node {
			return
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		_, err := l.replica().Propose(ctx, &controlpb.Command{
			Change: &controlpb.Command_RegisterNode{RegisterNode: &controlpb.NodeMember{Name: node}},
		})
		if err != nil {
			l.log.WithError(err).WithField("node", node).Warn("node was not registered; its next stream tries again")
		}
	}()
}

func (l *Leader) handleEnded(a *attendance) {
	if !l.attended[a] {
		return
	}
	delete(l.attended, a)
	l.lost[a.node] = clock.Now()
	l.owner.RemoveProxy(clock.Now(), a.node)
	l.log.WithFields(logrus.Fields{"event": "node_left", "node": a.node}).Warn("stream of a node ended")
}

// pushAll sends every node what it lacks.
func (l *Leader) pushAll() {
	for a := range l.attended {
		l.send(a, nil)
	}
}

// recall pushes requests to return unused tokens.
func (l *Leader) recall(now time.Duration) {
	for _, r := range l.owner.TakeRevocations(now) {
		for a := range l.attended {
			if a.node == r.Proxy {
				l.send(a, r.Grants)
			}
		}
	}
}

// answer sends the update for a report. Only such an update may state the age of
// positions: the node knows when it sent the report.
func (l *Leader) answer(a *attendance, now time.Duration, grants []*controlpb.TokenGrant) {
	u := l.update(a, grants)
	if now-a.positionsAt >= positionsInterval {
		a.positionsAt = now
		u.Positions = l.positions(now)
	}
	l.queue(a, u)
}

// positions states how far the logs of all primaries were when they were last asked.
func (l *Leader) positions(now time.Duration) []*controlpb.PrimaryPosition {
	var all []*controlpb.PrimaryPosition
	for service, g := range l.groups {
		if g.observed.at == 0 || now-g.observed.at > observationLife {
			continue
		}
		all = append(all, &controlpb.PrimaryPosition{
			Service: service, Upstream: g.observed.upstream, Term: g.observed.position.Term,
			Number: g.observed.position.Number, AgeMs: uint32((now - g.observed.at).Milliseconds()) + 1,
		})
	}
	return all
}

// send pushes an update.
func (l *Leader) send(a *attendance, grants []*controlpb.TokenGrant) {
	l.queue(a, l.update(a, grants))
}

// update states what the node lacks.
func (l *Leader) update(a *attendance, grants []*controlpb.TokenGrant) *controlpb.NodeUpdate {
	u := &controlpb.NodeUpdate{
		Sequence: a.sequence, Grants: grants, Nodes: l.fleetSize(clock.Now()),
	}
	if voters := l.voterAddresses(); !slices.Equal(voters, a.votersSent) {
		u.Voters, a.votersSent = voters, voters
	}
	l.addCatalog(a, u)
	if revision := l.registry.Revision(); revision != a.topologySent {
		u.Topology = l.topology()
		a.topologySent = revision
	}
	return u
}

// queue hands an update to the stream. A node that does not read loses its stream and
// comes back.
func (l *Leader) queue(a *attendance, u *controlpb.NodeUpdate) {
	select {
	case a.updates <- u:
	default:
		a.end()
	}
}

// fleetSize is the number of nodes among which scarce connections are divided. A new
// leader counts those that have not come back yet.
func (l *Leader) fleetSize(now time.Duration) uint32 {
	if now-l.leadAt < returnTime {
		return uint32(max(len(l.attended), len(l.store.current().Nodes)))
	}
	lost := 0
	for node, at := range l.lost {
		if now-at >= lostTime || l.attends(node) {
			delete(l.lost, node)
			continue
		}
		lost++
	}
	return uint32(len(l.attended) + lost)
}

func (l *Leader) attends(node string) bool {
	for a := range l.attended {
		if a.node == node {
			return true
		}
	}
	return false
}

func (l *Leader) topology() *controlpb.Topology {
	t := &controlpb.Topology{Revision: l.registry.Revision()}
	for _, u := range l.registry.Live() {
		t.Upstreams = append(t.Upstreams, &controlpb.TopologyUpstream{
			Id: u.ID, Service: u.Service, Address: u.Address, Place: u.Place, Slots: u.Slots, Draining: u.Draining,
		})
	}
	for _, service := range slices.Sorted(maps.Keys(l.groups)) {
		if id, term, changing := l.groups[service].machine.Primary(); id != "" {
			t.Primaries = append(t.Primaries, &controlpb.TopologyPrimary{
				Service: service, Upstream: id, Term: term, Changing: changing,
			})
		}
	}
	return t
}
