package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/topology"
)

// topologyAnswerTime is how long the leader waits for the topology of one node before it asks
// another.
const topologyAnswerTime = 500 * time.Millisecond

// maxLoggedBytes bounds what is logged of an ID that may have any length.
const maxLoggedBytes = 64

// lacksTopology reports whether a node has a topology of an earlier leader that is newer than the
// adopted one and is to be asked for it. One node is asked at a time: after a change of leader
// hundreds of nodes have the same one.
func (l *Leader) lacksTopology(now time.Duration, revision uint64) bool {
	if revision <= l.adoptedRevision || revision >= l.term*revisionsPerTerm || now-l.topologyAskedAt < topologyAnswerTime {
		return false
	}
	l.topologyAskedAt = now
	return true
}

// adoptTopology adds the primaries and upstreams of an earlier leader's topology. Odd entries, which an
// earlier version may have believed, are skipped.
func (l *Leader) adoptTopology(now time.Duration, t *controlpb.Topology) {
	if t == nil {
		return
	}
	t = l.withoutOddEntries(t)
	for _, p := range t.Primaries {
		l.groupOf(now, p.Service).machine.Adopt(now, p.Upstream, p.Term)
	}
	l.registry.AddUnconfirmed(now, t)
	l.adoptWarmups(now, t)
	l.adoptHolders(t)
	l.adoptedRevision = max(l.adoptedRevision, t.Revision)
}

// withoutOddEntries returns a topology without the entries that name no upstream to use.
func (l *Leader) withoutOddEntries(t *controlpb.Topology) *controlpb.Topology {
	kept := &controlpb.Topology{Revision: t.Revision}
	for _, u := range t.Upstreams {
		if err := topology.CheckUpstream(u); err != nil {
			l.logSkippedEntry(u.GetId(), err)
			continue
		}
		kept.Upstreams = append(kept.Upstreams, u)
	}
	for _, p := range t.Primaries {
		if err := topology.CheckPrimary(p); err != nil {
			l.logSkippedEntry(p.GetUpstream(), err)
			continue
		}
		kept.Primaries = append(kept.Primaries, p)
	}
	return kept
}

func (l *Leader) logSkippedEntry(id string, err error) {
	countRefusedEntry(entryFromEarlierLeader, err)
	l.log.WithFields(logrus.Fields{"event": "entry_skipped", "upstream": id[:min(len(id), maxLoggedBytes)], "cause": err.Error()}).
		Warn("entry of an earlier leader's topology skipped")
}

// currentTopology returns the newest published topology, which must not be modified. All nodes get the same
// one of each revision, because reports name primaries by their position in it.
func (l *Leader) currentTopology() *controlpb.Topology {
	return l.sentTopologies.newest()
}

// addTopology adds the current topology, or the change to it, to an update for a node that does not
// have it. A large one may have to wait for another update.
func (l *Leader) addTopology(s *nodeStream, u *controlpb.NodeUpdate) {
	current := l.currentTopology()
	if current.Revision == s.sentTopologyRevision {
		return
	}
	if change, ok := l.sentTopologies.changeFrom(s.sentTopologyRevision); ok {
		if !l.pacer.allow(change.size()) {
			return
		}
		u.TopologyChange, u.CompressedTopologyChange = change.plain, change.compressed
	} else {
		complete := l.sentTopologies.encodedNewest()
		if !l.pacer.allow(complete.size()) {
			return
		}
		u.Topology, u.CompressedTopology = complete.plain, complete.compressed
	}
	s.sentTopologyRevision = current.Revision
}

// earlierTopology returns what nodes have that were sent an earlier leader's topology of the given saved one. Whether
// changes of primaries were under way is not saved, so that nodes are told of all primaries again.
func earlierTopology(saved *controlpb.Topology) *controlpb.Topology {
	t := &controlpb.Topology{Revision: saved.Revision, Upstreams: saved.Upstreams}
	for _, p := range saved.Primaries {
		t.Primaries = append(t.Primaries, &controlpb.TopologyPrimary{
			Service: p.Service, Upstream: p.Upstream, Term: p.Term, Changing: true,
		})
	}
	return t
}

func (l *Leader) newTopology() *controlpb.Topology {
	t := &controlpb.Topology{Revision: l.registry.Revision()}
	for _, u := range l.registry.Live() {
		t.Upstreams = append(t.Upstreams, &controlpb.TopologyUpstream{
			Id: u.ID, Service: u.Service, Address: u.Address, Place: u.Place, Slots: u.Slots, Draining: u.Draining,
			Warming: l.isWarming(u),
			Holders: l.holders.chosen[u.ID],
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
