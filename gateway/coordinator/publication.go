package coordinator

import "time"

// maxPublicationDelay bounds how long a topology waits until all nodes have been sent the one before.
const maxPublicationDelay = 500 * time.Millisecond

// publication decides when nodes are told a new topology.
//
// Load pattern: thousands of upstreams announce themselves within a second, while hundreds of nodes report.
// A topology for each announcement would be built, compared and compressed between any two reports, which
// takes longer than the reports themselves. And while nodes still wait for a large one, each further
// topology adds a difference to compute: so it waits, and covers the changes that come meanwhile.
type publication struct {
	publishedAt time.Duration
}

// due reports whether a changed topology is to be published in a tick. delayed is set while nodes wait for the
// topology before.
func (p *publication) due(now time.Duration, delayed bool) bool {
	return !delayed || now-p.publishedAt >= maxPublicationDelay
}

// publishChanges makes the present topology the one that nodes are sent, if it has changed and one is due. It
// reports whether it did.
func (l *Leader) publishChanges(now time.Duration) bool {
	if l.registry.Revision() == l.currentTopology().GetRevision() || !l.publication.due(now, l.pacer.delayed) {
		return false
	}
	l.publishTopology(now)
	return true
}

// publishTopology makes the present topology the one that nodes are sent.
func (l *Leader) publishTopology(now time.Duration) {
	l.publication.publishedAt = now
	l.sentTopologies.add(l.newTopology())
	l.drains = drainList{revision: l.registry.Revision(), ends: knownDrainEnds(l.registry.Live())}
}
