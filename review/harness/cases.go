package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() {
	plays["sync-release"] = syncRelease
	plays["drain-outage"] = drainOutage
	plays["term-cut"] = termCut
}

const serviceName = "wax"

// Times of syncRelease.
const (
	releaseRounds  = 6
	nearReceive    = time.Millisecond
	farReceive     = 8 * time.Millisecond
	serveAfterDone = 2 * time.Second
)

// syncRelease replaces servers one after the other, in a service with a synchronous replica: first a
// replica, then the primary while that replica still drains. Without trouble only the primary is
// replaced. LOST: an acknowledged commit isn't in the log of the server that is promoted.
func syncRelease(w *world, trouble bool) (bool, error) {
	c := configuration{version: 3, timeout: 1000, sync: 1, service: serviceName}
	if err := w.begin(c, 3, func(int) time.Duration { return farReceive }, 6*time.Millisecond); err != nil {
		return false, err
	}
	l := w.startLoad("intake", 24, 0)
	defer l.end()
	for round := 1; round <= releaseRounds; round++ {
		w.rec.note("round %d", round)
		if err := releaseRound(w, trouble, round); err != nil {
			return false, err
		}
		if lostCommits(w, l) {
			return true, nil
		}
		// The servers that drain end.
		time.Sleep(drainTime + serveAfterDone)
	}
	return false, nil
}

// replacement starts the server that comes in place of one that is released.
func (w *world) replacement() error {
	w.group.mu.Lock()
	id := fmt.Sprintf("i-%d", len(w.group.servers)+1)
	w.group.mu.Unlock()
	_, err := w.newServer(id, farReceive, 6*time.Millisecond)
	return err
}

// releaseRound replaces a replica and, a second later, the primary. It returns a second after the
// promotion.
func releaseRound(w *world, trouble bool, round int) error {
	g := w.group
	promoted := make(chan struct{}, 8)
	g.mu.Lock()
	g.onPromote = func(s *server) {
		w.rec.note("commits: %s", g.lengths())
		promoted <- struct{}{}
	}
	primary, near := g.primary, (*server)(nil)
	for _, s := range g.servers {
		if s.up && !s.draining && s != primary && near == nil {
			near = s
		}
	}
	// The replica in the primary's zone receives first.
	near.receive = nearReceive
	g.mu.Unlock()
	time.Sleep(time.Second)
	steps := []*server{primary}
	if trouble {
		steps = []*server{near, primary}
	}
	for _, s := range steps {
		if err := w.replacement(); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if _, ok := w.release(s, serveAfterDone); !ok {
			return fmt.Errorf("draining was not acknowledged")
		}
	}
	select {
	case <-promoted:
	case <-time.After(15 * time.Second):
		return fmt.Errorf("no server was promoted in round %d", round)
	}
	time.Sleep(time.Second)
	return nil
}

// lostCommits reports whether an acknowledged commit isn't in the log of the primary.
func lostCommits(w *world, l *load) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	held := w.group.primary.committed()
	lost := 0
	for id, at := range l.acknowledged {
		if !held[id] {
			lost++
			w.rec.note("LOST: write %s, acknowledged at %.3f, isn't in the log of primary %s",
				id, at.Sub(w.rec.start).Seconds(), w.group.primary.id)
		}
	}
	w.rec.note("%d writes acknowledged, %d unclear, %d refused, %d lost", len(l.acknowledged), l.unclear, l.refused, lost)
	return lost > 0
}

// slowCall is how long a call to a slow infrastructure takes.
const slowCall = 800 * time.Millisecond

// drainOutage replaces the primary while the infrastructure is down. DRAIN: a request reaches a server
// later than drain_ms after a node acknowledged that it is draining.
func drainOutage(w *world, trouble bool) (bool, error) {
	c := configuration{version: 3, timeout: 1000, service: serviceName}
	if err := w.begin(c, 3, func(int) time.Duration { return 8 * time.Millisecond }, 8*time.Millisecond); err != nil {
		return false, err
	}
	g := w.group
	l := w.startLoad("intake", 12, 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	// With INFRA=slow, the infrastructure is up and takes slowCall for each call.
	slow := os.Getenv("INFRA") == "slow"
	switch {
	case trouble && slow:
		w.infra.setLatency(slowCall)
		w.rec.note("the infrastructure takes %v for a call", slowCall)
	case trouble:
		w.infra.stop()
		w.rec.note("the infrastructure is down")
	}
	if _, err := w.newServer("i-4", 8*time.Millisecond, 8*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	old := g.servers[0]
	acknowledged, ok := w.release(old, 3*time.Second)
	if !ok {
		return false, fmt.Errorf("draining was not acknowledged")
	}
	time.Sleep(drainTime + 3*time.Second + 500*time.Millisecond)
	if trouble && !slow {
		if err := w.infra.start(); err != nil {
			return false, err
		}
		w.rec.note("the infrastructure is up again")
	}
	time.Sleep(3 * time.Second)
	l.end()
	return lateRuns(w, old, acknowledged, l), nil
}

// lateTolerance is added to drain_ms, for what was on its way.
const lateTolerance = 200 * time.Millisecond

func lateRuns(w *world, old *server, acknowledged time.Time, l *load) bool {
	g := w.group
	g.mu.Lock()
	defer g.mu.Unlock()
	late, unanswered, last := 0, 0, time.Duration(0)
	for _, r := range g.runs {
		after := r.at.Sub(acknowledged)
		if r.server == old.id && r.id != "-" && r.singleOrTx && after > drainTime+lateTolerance {
			late++
			last = after
			if l.unclearIDs[r.id] {
				unanswered++
			}
			if late <= 3 {
				w.rec.note("DRAIN: %s ran id=%s %q %.2f s after the acknowledgement", r.server, r.id, r.text, after.Seconds())
			}
		}
	}
	w.rec.note("%d requests reached the draining server later than %v after the acknowledgement, the last one %.2f s after it",
		late, drainTime, last.Seconds())
	w.rec.note("%d of them were writes whose consumers got no answer, or one that promises nothing", unanswered)
	w.rec.note("%d writes acknowledged, %d unclear, %d refused", len(l.acknowledged), l.unclear, l.refused)
	return late > 0
}

// termCut stops a node with SIGTERM while statements run that end well inside grace_s. LOST: the
// connection ends without a complete answer.
func termCut(w *world, trouble bool) (bool, error) {
	c := configuration{version: 3, timeout: 4000, service: serviceName}
	if err := w.begin(c, 3, func(int) time.Duration { return 8 * time.Millisecond }, 8*time.Millisecond); err != nil {
		return false, err
	}
	n := w.nodes[0]
	var sessions []*consumer
	for i := range 3 {
		s, err := dial(w.rec, n.front(), "intake", fmt.Sprintf("s%d", i))
		if err != nil {
			return false, err
		}
		if a := s.query("WRITE lot1 x", 2*time.Second); !a.done() {
			return false, fmt.Errorf("first write: %s", a)
		}
		sessions = append(sessions, s)
	}
	time.Sleep(4500 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		w.rec.note("SIGTERM to %s", n.name)
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() { _ = n.cmd.Process.Kill() })
	}
	time.Sleep(1950 * time.Millisecond)
	var wg sync.WaitGroup
	answers := make([]answer, len(sessions))
	for i, s := range sessions {
		wg.Go(func() {
			sent := time.Since(stopped)
			answers[i] = s.query(fmt.Sprintf("WRITE ms%d x", 2890+30*i), 5*time.Second)
			w.rec.note("write %s sent %.3f s after SIGTERM: %s at %.3f s", answers[i].id, sent.Seconds(), answers[i], time.Since(stopped).Seconds())
		})
	}
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	return cutInTime(w, answers, stopped), nil
}

// lastSixth is when the last sixth of the grace period begins, after the SIGTERM.
const lastSixth = graceTime * 5 / 6

// cutInTime reports whether a write got no complete answer although a server had done its work before the
// last sixth of the grace period.
func cutInTime(w *world, answers []answer, stopped time.Time) bool {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	broken := false
	for _, a := range answers {
		for _, r := range w.group.runs {
			if r.id != a.id || r.ended.IsZero() {
				continue
			}
			done := r.ended.Sub(stopped)
			w.rec.note("write %s: the server had done its work %.3f s after SIGTERM", a.id, done.Seconds())
			if a.err != nil && done < lastSixth {
				broken = true
				w.rec.note("LOST: write %s was cut, though its server was not at work in the last sixth of grace_s", a.id)
			}
		}
	}
	return broken
}
