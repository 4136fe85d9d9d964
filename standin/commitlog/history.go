package commitlog

import (
	"crypto/rand"

	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// Entry describes one timeline of a history.
type Entry struct {
	Timeline uint32
	// Start is the position at which the timeline branched off its predecessor.
	Start value.LSN
	// Branch is a random identifier. It distinguishes timelines with the same
	// number, which arise when two replicas of one timeline are promoted.
	Branch string
}

// History lists the timelines of a log, oldest first.
type History []Entry

func newHistory() History {
	return History{{Timeline: 1, Start: InitialLSN, Branch: rand.Text()}}
}

// Timeline returns the newest timeline. It is 1 for a follower that has not yet
// connected to a primary.
func (h History) Timeline() uint32 {
	if len(h) == 0 {
		return 1
	}
	return h[len(h)-1].Timeline
}

// withNextTimeline returns a copy of the history with a new timeline that starts at
// the given position.
func (h History) withNextTimeline(at value.LSN) History {
	if len(h) == 0 {
		h = newHistory()
	}
	next := Entry{Timeline: h.Timeline() + 1, Start: at, Branch: rand.Text()}
	return append(append(History(nil), h...), next)
}

// UpTo returns the timelines that a log ending at position contains.
func (h History) UpTo(position value.LSN) History {
	var entered History
	for i, e := range h {
		if i == 0 || e.Start < position {
			entered = append(entered, e)
		}
	}
	return entered
}

// CheckFollower returns an error if the log of a follower, which ends at position,
// contains records that the log with history h and the given end does not contain.
func (h History) CheckFollower(follower History, position, end value.LSN) error {
	if position > end {
		return sqlerr.New(sqlerr.UndefinedFile,
			"requested starting point %s is ahead of the WAL flush position of this server %s", position, end)
	}
	if len(follower) == 0 {
		return nil
	}
	last := follower[len(follower)-1]
	for i, e := range h {
		if e.Branch != last.Branch {
			continue
		}
		if i+1 < len(h) && position > h[i+1].Start {
			return sqlerr.New(sqlerr.UndefinedFile,
				"requested starting point %s on timeline %d is not in this server's history, which left it at %s",
				position, e.Timeline, h[i+1].Start)
		}
		return nil
	}
	return sqlerr.New(sqlerr.UndefinedFile,
		"requested timeline %d is not in this server's history", last.Timeline)
}
