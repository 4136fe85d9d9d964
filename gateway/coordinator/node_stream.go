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

// reconnectPeriod is the time after a change of leader in which all registered nodes are
// expected to reconnect.
const reconnectPeriod = 5 * time.Second

// positionsInterval is the minimum time between two updates to a node that contain positions.
// Under load a node also sends urgent reports, and positions would be most of each answer.
const positionsInterval = 400 * time.Millisecond

// fallPushInterval is the minimum time between two pushes of lowered limits to all nodes. In a burst
// the limits of many teams fall one after the other.
const fallPushInterval = 50 * time.Millisecond

// allGroupsUpTo is the number of groups up to which nodes are told the positions of all of them.
const allGroupsUpTo = 64

// maxPositionAge is the age up to which a position is sent to nodes.
const maxPositionAge = 2 * time.Second

// lostNodeRetention is how long a node still counts after its stream ended without a last
// report. A frozen or partitioned node keeps its connections.
const lostNodeRetention = 15 * time.Second

// nodeStream is the control stream of one node.
type nodeStream struct {
	updates chan *controlpb.NodeUpdate
	// cancel ends the stream.
	cancel context.CancelFunc

	// The remaining fields belong to the leader's goroutine.

	node string
	// ended is set once the stream was removed. Its reports that still wait must not add it
	// again in place of a newer one.
	ended bool
	// incarnation identifies the node's process.
	incarnation string
	id          uint64
	// sequence is that of the newest report, and answeredSequence that of the newest one that was
	// answered when the node had been sent the current configuration.
	sequence         uint64
	answeredSequence uint64
	// primariesReceivedAt is when the node last reported its view of the primaries;
	// positionsSentAt is when positions were last sent to it.
	primariesReceivedAt time.Duration
	positionsSentAt     time.Duration
	// sentCatalogVersion and sentTopologyRevision are what the node stated in its first
	// report or was sent since.
	sentCatalogVersion   uint64
	sentTopologyRevision uint64
	sentVoters           []string
	// sentDrains are the drains that the node was told on this stream.
	sentDrains drainList
	// sentPlaceDrains is the revision of the drains of data centres that the node was told on this stream.
	sentPlaceDrains uint64
	// primaries are those that the node cannot reach or knows as others; answered holds the
	// primaries, by service, that have answered it, and read the services it has read from lately.
	primaries     []*controlpb.PrimaryView
	answered      map[string]string
	read          []string
	voterIdentity string
	voterAddress  string
	// unknownContacts holds the upstreams that the node reported without a match, until it has been told.
	unknownContacts []string
	// place and forwardAddress are where the node takes forwarded statements over a link with linkMbps, and stopping
	// is set once it takes none. attendedAt is when its first report came, reportedAt when its newest did.
	place, forwardAddress  string
	linkMbps               int
	stopping               bool
	attendedAt, reportedAt time.Duration
	// topologyWanted is set until the node has been asked for its topology.
	topologyWanted bool
	// sentThrottles is the revision of the limits that was sent.
	sentThrottles uint64
}

func (l *Leader) handleReport(ctx context.Context, e reportReceived) {
	s, report := e.stream, e.report
	if !l.leading {
		s.cancel()
		return
	}
	metricReports.Inc()
	now := clock.Now()
	if s.ended {
		return
	}
	if !l.streams[s] {
		l.addStream(ctx, now, s, report)
	}
	l.adoptTopology(now, report.Topology)
	s.sequence, s.stopping, s.reportedAt = report.Sequence, report.Stopping, now
	if report.Regular {
		s.primaries, s.primariesReceivedAt = report.Primaries, now
		s.answered = l.sentTopologies.resolve(report.TopologyRevision, report.AnsweredPrimaries)
		read := l.sentTopologies.resolve(report.TopologyRevision, report.ReadPrimaries)
		s.read = slices.AppendSeq(report.ReadServices, maps.Keys(read))
		for _, primary := range s.answered {
			l.registry.RecordContact(now, primary)
		}
	}
	if report.VoterIdentity != "" {
		s.voterIdentity, s.voterAddress = report.VoterIdentity, report.VoterAddress
	}
	l.recordContacts(now, s, report.Contacts)
	l.limiter.Report(now, s.node, s.id, report.Usage)
	if report.Leaving {
		l.removeStream(s, true)
		delete(l.lostNodes, s.node)
		return
	}
	l.answerReport(s, now, report.WarmupDemands)
	l.pushFalls(now)
}

// recordContacts records the upstreams whose unchanged announcements a node has answered.
func (l *Leader) recordContacts(now time.Duration, s *nodeStream, contacts []*controlpb.UpstreamContact) {
	for _, c := range contacts {
		if !l.registry.RecordUnchanged(now-time.Duration(c.AgeMs)*time.Millisecond, c) {
			metricUnknownContacts.Inc()
			s.unknownContacts = append(s.unknownContacts, c.Id)
			continue
		}
		l.endSuspectedWarmup(now, c)
	}
}

// addStream registers a new stream and ends an earlier stream of the same node.
func (l *Leader) addStream(ctx context.Context, now time.Duration, s *nodeStream, first *controlpb.NodeReport) {
	if other := l.streamOf[first.Node]; other != nil {
		other.cancel()
		other.ended = true
		delete(l.streams, other)
	}
	l.lastStreamID++
	s.node, s.incarnation, s.id = first.Node, first.Incarnation, l.lastStreamID
	s.place, s.forwardAddress, s.linkMbps, s.attendedAt = first.Place, first.ForwardAddress, int(first.LinkMbps), now
	s.sentCatalogVersion, s.sentTopologyRevision = first.CatalogVersion, first.TopologyRevision
	l.streams[s], l.streamOf[s.node] = true, s
	l.limiter.Adopt(now, first.Throttles)
	s.topologyWanted = l.lacksTopology(now, first.TopologyRevision)
	l.registerNode(ctx, s.node)
	l.log.WithFields(logrus.Fields{
		"event": "node_attended", "node": s.node, "catalog": first.CatalogVersion, "voter": first.VoterIdentity,
	}).Info("node connected")
}

// registerNode commits the node's name, so that later leaders divide connections among it too
// before it has reconnected.
func (l *Leader) registerNode(ctx context.Context, node string) {
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
			l.log.WithError(err).WithField("node", node).Warn("failed to register node; will retry with its next stream")
		}
	}()
}

func (l *Leader) handleStreamEnded(s *nodeStream) {
	l.removeStream(s, false)
}

// removeStream removes the stream of a node that was lost or has left.
func (l *Leader) removeStream(s *nodeStream, left bool) {
	if !l.streams[s] {
		return
	}
	s.ended = true
	delete(l.streams, s)
	delete(l.streamOf, s.node)
	l.lostNodes[s.node] = clock.Now()
	l.limiter.EndStream(clock.Now(), s.node, left)
	l.log.WithFields(logrus.Fields{"event": "node_left", "node": s.node}).Warn("node's control stream ended")
}

// pushAll sends an update to every node.
func (l *Leader) pushAll() {
	for s := range l.streams {
		l.push(s)
	}
}

// pushFalls sends the limits to all nodes if a team's was lowered sharply. A team that uses much
// more than its rate must be limited everywhere at once; other changes come with the answers to
// reports.
func (l *Leader) pushFalls(now time.Duration) {
	revision := l.limiter.FallRevision()
	if revision == l.pushedFall || now-l.fallsPushedAt < fallPushInterval {
		return
	}
	l.pushedFall, l.fallsPushedAt = revision, now
	for s := range l.streams {
		if s.sentThrottles < revision {
			l.push(s)
		}
	}
}

// answerReport sends the update that answers a report. Only such an update contains positions and permits:
// the node computes their time from their age and the time at which it sent the report.
func (l *Leader) answerReport(s *nodeStream, now time.Duration, demands []*controlpb.WarmupDemand) {
	u := l.newUpdate(s)
	u.WarmupGrants = l.grantWarmup(now, demands)
	if now-s.positionsSentAt >= positionsInterval {
		s.positionsSentAt = now
		u.Positions = l.primaryPositions(now, s)
	}
	l.enqueue(s, u)
}

// primaryPositions returns the newest positions, if they are recent enough, of the primaries that a
// node may read from. The age is rounded up.
func (l *Leader) primaryPositions(now time.Duration, s *nodeStream) []*controlpb.PrimaryPosition {
	known := l.sentTopologies.of(s.sentTopologyRevision)
	var all []*controlpb.PrimaryPosition
	for _, service := range l.servicesWithPositions(s) {
		g := l.groups[service]
		if g == nil {
			continue
		}
		newest := g.primaryPosition
		if newest.measuredAt == 0 || now-newest.measuredAt > maxPositionAge {
			continue
		}
		p := &controlpb.PrimaryPosition{
			Term: newest.position.Term, Number: newest.position.Number, AgeMs: uint32((now - newest.measuredAt).Milliseconds()) + 1,
		}
		if i, ok := known.indexOf(service, newest.upstream); ok {
			p.PrimaryIndex = uint32(i) + 1
		} else {
			p.Service, p.Upstream = service, newest.upstream
		}
		all = append(all, p)
	}
	return all
}

// servicesWithPositions returns the services whose positions a node is told: all, or in a large fleet
// those that it has read from lately.
//
// Load pattern: hundreds of nodes use a few of hundreds of groups each, whose positions would be most of
// what the leader sends. With few groups, each node reads from all of them soon after its start, and
// first reads without a position would all go to the primaries.
func (l *Leader) servicesWithPositions(s *nodeStream) []string {
	if len(l.groups) > allGroupsUpTo {
		return s.read
	}
	return slices.Collect(maps.Keys(l.groups))
}

// push sends an update that answers no report.
func (l *Leader) push(s *nodeStream) {
	l.enqueue(s, l.newUpdate(s))
}

// newUpdate returns an update with the configuration, topology, voters and limits that have not
// been sent to the node.
func (l *Leader) newUpdate(s *nodeStream) *controlpb.NodeUpdate {
	u := &controlpb.NodeUpdate{Nodes: l.fleetSize(clock.Now())}
	if voters := l.replica().Status().VoterSet(); !slices.Equal(voters.GetAddresses(), s.sentVoters) {
		u.Voters, u.VotersIndex, s.sentVoters = voters.Addresses, voters.Index, voters.Addresses
	}
	u.TopologyWanted, s.topologyWanted = s.topologyWanted, false
	u.UnknownContacts, s.unknownContacts = s.unknownContacts, nil
	u.Throttles, s.sentThrottles = l.limiter.Throttles(s.sentThrottles)
	l.addCatalog(s, u)
	l.addTopology(s, u)
	l.addDrains(clock.Now(), s, u)
	l.addPlaceDrains(clock.Now(), s, u)
	if !l.lacksCatalog(s) {
		s.answeredSequence = s.sequence
	}
	// The node's lease lasts from the answered report on. While a configuration waits for it, which
	// may withdraw a key, the lease must not be extended.
	u.Sequence = s.answeredSequence
	return u
}

// enqueue queues an update for sending. If the queue is full because the node does not read,
// the stream is ended and the node reconnects.
func (l *Leader) enqueue(s *nodeStream, u *controlpb.NodeUpdate) {
	countUpdate(u)
	select {
	case s.updates <- u:
	default:
		metricSlowNodesDropped.Inc()
		s.cancel()
	}
}

// fleetSize returns the number of nodes among which scarce connections are divided. A new
// leader includes registered nodes that have not reconnected yet.
func (l *Leader) fleetSize(now time.Duration) uint32 {
	if now-l.leadingSince < reconnectPeriod {
		return uint32(max(len(l.streams), len(l.store.current().Nodes)))
	}
	lost := 0
	for node, at := range l.lostNodes {
		if now-at >= lostNodeRetention || l.streamOf[node] != nil {
			delete(l.lostNodes, node)
			continue
		}
		lost++
	}
	return uint32(len(l.streams) + lost)
}
