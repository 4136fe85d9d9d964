package server

import "time"

const (
	// maxOpeningFraction is the part of the callers that may be before the begin of their sessions.
	maxOpeningFraction = 0.25
	// minOpeningTime is how long a connection has waited for its START message before it is closed rather than a session.
	minOpeningTime = 500 * time.Millisecond
	// minIdleTime is how long a session has waited for its caller before it may be closed for another. A caller that
	// has just got an answer may be about to send its next statement.
	minIdleTime = time.Second
	// maxBusyFraction is the part of all connections above which an owner's sessions may be closed even while they run
	// a statement.
	maxBusyFraction = 0.5
	// minBusySessions is the number of sessions up to which an owner's busy ones are kept in any case.
	minBusySessions = 16
)

// candidate is a caller connection that may be closed in favour of another.
type candidate struct {
	// owner is empty before the session begins.
	owner string
	// waitingSince is the time since which the node waits for the caller, 0 while a statement runs.
	waitingSince  time.Duration
	inTransaction bool
}

// rank orders the connections that may be closed; lower ones are closed first.
type rank uint8

const (
	// stalledOpening has shown no key for minOpeningTime.
	stalledOpening rank = iota
	idleSession
	idleTransaction
	// majorityResting waits for its caller, whose owner has more than maxBusyFraction of the connections, and
	// majoritySession is any other session of such an owner.
	majorityResting
	majoritySession
	newOpening
	// notClosed is in use.
	notClosed
)

// noVictim means that all connections are in use.
const noVictim = -1

// chooseVictim returns the index of the connection that is to be closed in favour of a new one, or noVictim. It answers
// crowds that open connections and leave them, before or behind their key: first goes who has shown no key for some
// time; then the longest idle session of the owner with the most sessions. Sessions that are closed while they are idle
// reconnect without a loss.
func chooseVictim(all []candidate, now time.Duration) int {
	sessions := map[string]int{}
	for _, c := range all {
		sessions[c.owner]++
	}
	majority := max(minBusySessions, int(maxBusyFraction*float64(len(all))))
	victim, lowest := noVictim, notClosed
	for i, c := range all {
		r := c.rank(now, sessions[c.owner] > majority)
		if r < lowest || r == lowest && r != notClosed && c.closesBefore(all[victim], sessions) {
			victim, lowest = i, r
		}
	}
	return victim
}

func (c candidate) rank(now time.Duration, ownsMajority bool) rank {
	waited := time.Duration(0)
	if c.waitingSince != 0 {
		waited = now - c.waitingSince
	}
	switch {
	case c.owner == "" && waited >= minOpeningTime:
		return stalledOpening
	case c.owner == "" && c.waitingSince != 0:
		return newOpening
	case c.owner == "":
		return notClosed
	case waited >= minIdleTime && !c.inTransaction:
		return idleSession
	case waited >= minIdleTime:
		return idleTransaction
	case ownsMajority && c.waitingSince != 0 && !c.inTransaction:
		return majorityResting
	case ownsMajority:
		return majoritySession
	default:
		return notClosed
	}
}

// closesBefore reports whether c is closed rather than other, which has the same rank.
func (c candidate) closesBefore(other candidate, sessions map[string]int) bool {
	if sessions[c.owner] != sessions[other.owner] {
		return sessions[c.owner] > sessions[other.owner]
	}
	return c.waitingSince < other.waitingSince
}
