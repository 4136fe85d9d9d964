package failover

import (
	"slices"
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

// minPromotionTime is the least time from an order until its server leads. The platform states "some hundred
// ms".
const minPromotionTime = 100 * time.Millisecond

const (
	// endConfirmTime is how long a server whose address another one has taken must not announce itself to count as
	// ended. It is longer than the interval of announcements, so that one that has started elsewhere is noticed.
	endConfirmTime = 2 * time.Second
	// silenceTimeout is how long a server that says nothing may still run behind a partition. The platform states
	// partitions of some seconds.
	silenceTimeout = 20 * time.Second
)

// departure is a server that is no longer in the group, or that has ended, and may have acknowledged commits.
type departure struct {
	// at is the time after which the server receives nothing. It may lie ahead for one that has fallen silent.
	at   time.Duration
	last Sample
	// bound is a position that no acknowledged commit on the server exceeds, or zero.
	bound position.Position
	// settled is set if the primary was seen to lead later, so that no promotion preceded the end.
	settled bool
}

// knownServer is a server of the group, and when the leader first knew of it.
type knownServer struct {
	Server
	since time.Duration
}

// heardAt is the time of the last word of a server, or when the leader first knew of it.
func (k knownServer) heardAt() time.Duration {
	return max(k.since, k.Sample.At)
}

// hasEnded reports whether the process of a listed server is known not to run.
func hasEnded(now time.Duration, s Server) bool {
	return s.EndedSince != 0 && now-s.EndedSince >= endConfirmTime
}

// trackDepartures keeps the servers that have left or ended until a remaining one has what they may have. A server
// that is not listed any more because it has fallen silent may receive for longer than one that has left.
func (m *Machine) trackDepartures(now time.Duration, in Input) {
	for id, k := range m.replicas {
		_, known := m.departed[id]
		if known || findServer(in.Servers, id) != nil {
			continue
		}
		at := now
		if !slices.Contains(in.Left, id) {
			at = max(now, k.heardAt()+silenceTimeout)
		}
		m.departed[id] = departure{at: at, last: k.Sample}
	}
	before := m.replicas
	m.replicas = map[string]knownServer{}
	newest := position.Position{}
	for _, s := range in.Servers {
		since := now
		if k, known := before[s.ID]; known {
			since = k.since
		}
		m.replicas[s.ID] = knownServer{s, since}
		m.trackEnd(s)
		if s.ID != m.primary {
			newest = position.Max(newest, s.Sample.Position)
		}
	}
	m.boundDepartures(now, in.Servers, newest)
}

// trackEnd keeps a listed server among the departed while its process is known to have ended.
func (m *Machine) trackEnd(s Server) {
	if s.EndedSince == 0 {
		delete(m.departed, s.ID)
		return
	}
	if _, known := m.departed[s.ID]; !known {
		m.departed[s.ID] = departure{at: s.EndedSince, last: s.Sample}
	}
}

// boundDepartures sets the bounds of departed servers, and forgets those whose commits a remaining one has;
// newest is the newest position of the remaining replicas. A primary has every acknowledged commit, so its
// position bounds the commits of all that ended before its answer. That of a replica which received nothing
// more until it ended is known from its last answer: had it restarted since, it would have announced itself,
// and that answer would not count any more. A listed server is kept, since its bound could not be set again after
// the primary is lost.
func (m *Machine) boundDepartures(now time.Duration, servers []Server, newest position.Position) {
	primary, leads := findServer(servers, m.primary), m.leads(now, servers)
	for id, d := range m.departed {
		ledLater := leads && primary.Sample.At > d.at
		d.settled = d.settled || ledLater
		switch {
		case !d.bound.IsZero():
		case m.receivedNothingMore(now, id, d):
			d.bound = d.last.Position
		case ledLater:
			d.bound = primary.Sample.Position
		}
		m.departed[id] = d
		covered := !d.bound.IsZero() && !newest.Before(d.bound)
		if covered && findServer(servers, id) == nil && !m.mayHaveLed(id) && (d.settled || !m.mayHaveBeenPromoted(now, d.at)) {
			delete(m.departed, id)
		}
	}
}

// receivedNothingMore reports whether a departed replica has received nothing between its last answer and its
// end: it was paused, or nobody led.
func (m *Machine) receivedNothingMore(now time.Duration, id string, d departure) bool {
	if !d.settled && m.mayHaveBeenPromoted(now, d.at) {
		return false
	}
	return m.isFinal(id, d.last) || m.nobodyLed(now, d)
}

// nobodyLed reports whether the last primary had ended when a departed replica answered last, and did not
// run until after the end of that replica. An order that has taken effect voids all earlier ones.
func (m *Machine) nobodyLed(now time.Duration, d departure) bool {
	primary, ended := m.departed[m.newestPrimary]
	orderIsOutstanding := now < m.outstanding.until && m.outstanding.candidate != m.newestPrimary
	return ended && !orderIsOutstanding && primary.at < d.last.At && now >= d.at+endConfirmTime
}

// mayHaveBeenPromoted reports whether an outstanding order may have been carried out before a time without
// having been noticed: its server may have led a term that this leader does not know of yet.
func (m *Machine) mayHaveBeenPromoted(now, before time.Duration) bool {
	noticed := m.newestPrimary != "" && m.newestPrimary == m.outstanding.candidate && m.newestTerm >= m.outstanding.pauseTerm
	return now < m.outstanding.until && m.outstanding.firstOrderedAt+minPromotionTime < before && !noticed
}

// mayHaveLed reports whether a server led the newest term, as far as is known. When it ended tells since when
// nobody leads.
func (m *Machine) mayHaveLed(id string) bool {
	return id == m.newestPrimary || id == m.outstanding.candidate
}

// resetBounds forgets the bounds of servers that ended after a promotion was ordered which has taken effect:
// the promoted server may have led before they ended.
func (m *Machine) resetBounds() {
	for id, d := range m.departed {
		if !d.settled && d.at > m.outstanding.firstOrderedAt+minPromotionTime {
			d.bound = position.Position{}
			m.departed[id] = d
		}
	}
}

// boundByPromotion bounds the commits of the servers that had ended when a promotion was ordered that has
// taken effect: the promoted server had every acknowledged commit.
func (m *Machine) boundByPromotion() {
	ordered := m.outstanding
	for id, d := range m.departed {
		if d.at <= ordered.orderedAt && (d.bound.IsZero() || ordered.position.Before(d.bound)) {
			d.bound = ordered.position
			m.departed[id] = d
		}
	}
}

// departedAhead returns the departed servers that may have an acknowledged commit which a candidate at p
// lacks. Those of the last primary are on its replicas.
func (m *Machine) departedAhead(now time.Duration, servers []Server, p position.Position) []string {
	var ahead []string
	for id, d := range m.departed {
		if s := findServer(servers, id); id == m.newestPrimary || s != nil && !hasEnded(now, *s) {
			continue
		}
		if d.bound.IsZero() || p.Before(d.bound) {
			ahead = append(ahead, id)
		}
	}
	return ahead
}
