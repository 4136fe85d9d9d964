package commitlog

import (
	"crypto/rand"

	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// Entry is one timeline of a history.
type Entry struct {
	Timeline uint32
	// Start is the position at which the timeline left the one before it.
	Start value.LSN
	// Branch tells two timelines of one number apart, which two promotions from
	// the same timeline start.
	Branch string
}

// History lists the timelines of a log, oldest first.
type History []Entry

func newHistory() History {
	return History{{Timeline: 1, Start: InitialLSN, Branch: rand.Text()}}
}

// Timeline returns the newest timeline; a follower that never met a primary is on 1.
func (h History) Timeline() uint32 {
	if len(h) == 0 {
		return 1
	}
	return h[len(h)-1].Timeline
}

func (h History) withNextTimeline(at value.LSN) History {
	if len(h) == 0 {
		h = newHistory()
	}
	next := Entry{Timeline: h.Timeline() + 1, Start: at, Branch: rand.Text()}
	return append(append(History(nil), h...), next)
}

// UpTo returns the timelines that a log which ends at position has entered.
func (h History) UpTo(position value.LSN) History {
	var entered History
	for i, e := range h {
		if i == 0 || e.Start < position {
			entered = append(entered, e)
		}
	}
	return entered
}

// CheckFollower refuses a follower whose log holds something that the log with
// history h and the given end does not.
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
