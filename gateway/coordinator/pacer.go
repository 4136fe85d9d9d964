package coordinator

// maxBytesPerTick is how many bytes of configurations and topologies the leader sends in a tick, two
// thirds of what a link of 100 Mbit/s carries.
const maxBytesPerTick = 800 << 10

// pacer spreads configurations and topologies over ticks.
//
// Load pattern: a configuration grows by more than a thousand routes, or as many upstreams announce
// themselves at the start of the fleet, and hundreds of nodes need the change. Sent to all at once, it
// delays the leader's heartbeats and answers on its link until nodes and voters take it for silent.
type pacer struct {
	// sent is the number of bytes sent since the last tick.
	sent int
	// delayed is set if something has to wait for the next tick.
	delayed bool
}

// startTick begins a tick and reports whether something was delayed in the last one.
func (p *pacer) startTick() bool {
	delayed := p.delayed
	*p = pacer{}
	return delayed
}

// allow reports whether so many bytes may be sent now; else they have to wait for the next tick. Small
// ones never do, and the first ones of a tick do not, however many they are.
func (p *pacer) allow(bytes int) bool {
	if bytes > maxPlainBytes && p.sent > 0 && p.sent+bytes > maxBytesPerTick {
		p.delayed = true
		return false
	}
	p.sent += bytes
	return true
}

// pushDelayed begins a tick and sends the configuration and topology to nodes that had to wait for them.
func (l *Leader) pushDelayed() {
	if !l.pacer.startTick() {
		return
	}
	for s := range l.streams {
		if l.lacksCatalog(s) || l.currentTopology().Revision != s.sentTopologyRevision {
			l.push(s)
		}
	}
}
