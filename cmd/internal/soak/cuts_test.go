package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// Bounds of the users' rule on requests around a planned stop.
const (
	// lossSlack is how soon after a statement was sent its connection may end unanswered, if no
	// server got the statement: it may have crossed the end of an idle session.
	lossSlack = 200 * time.Millisecond
	// stopWindow is how long after the SIGTERM a request still belongs to the stop.
	stopWindow = shutdownGracePeriod + time.Second
	// lateWork is the time after the SIGTERM from which the work of a server may be cut off, if
	// its request was sent before lateWorkSentBy.
	lateWork       = shutdownGracePeriod * 5 / 6
	lateWorkSentBy = 3 * time.Second
	// arrivalSlack covers the time between the end of a caller's connection, as the caller sees
	// it, and the receipt of a statement that was sent to the server just before.
	arrivalSlack = 20 * time.Millisecond
	// phaseUpstream is the phase of a request that was passed on, in the nodes' logs.
	phaseUpstream = "upstream"
)

// cutLine is a node's log line on a request that its stop has cut.
type cutLine struct {
	Event             string `json:"event"`
	ID                string `json:"id"`
	Phase             string `json:"phase"`
	ReceivedAfterStop int    `json:"received_after_stop_ms"`
	Elapsed           int    `json:"elapsed_ms"`
}

// readCutLines returns the log lines of all nodes on cut requests, by statement.
func (f *fleet) readCutLines() map[string]cutLine {
	all := map[string]cutLine{}
	for _, p := range f.nodes {
		for _, l := range readLog[cutLine](p) {
			if l.Event == "request_cut" {
				all[l.ID] = l
			}
		}
	}
	return all
}

// ending is how a statement ended whose connection ended without a complete answer.
type ending int

const (
	// crossed statements reached no server and met the end of an idle session.
	crossed ending = iota
	// excused statements were cut as the rule allows.
	excused
	// cut statements break the rule.
	cut
)

// endingOf returns how an unanswered statement of an attempt ended. The servers of these runs
// never break off, so no cut is theirs.
func (x *index) endingOf(a *attempt, s *statement) ending {
	held := s.endedAt.Sub(s.sentAt)
	executions := x.executionsByID[s.id]
	// Of statements that a server refuses only the node's log tells that they were passed on.
	passedOn := len(executions) > 0 || x.cutLines[s.id].Phase == phaseUpstream
	if !passedOn && held <= lossSlack {
		return crossed
	}
	if held >= standin.StatementTimeout {
		return excused
	}
	stop := x.stopOf(a, s)
	isLate := func(r standin.Execution) bool { return r.At.Sub(stop.signalledAt) > lateWork }
	if stop != nil && s.sentAt.Sub(stop.signalledAt) <= lateWorkSentBy && slices.ContainsFunc(executions, isLate) {
		return excused
	}
	return cut
}

// stopOf returns the newest stop of the node during which a statement was sent or in flight, or
// nil.
func (x *index) stopOf(a *attempt, s *statement) (newest *nodeStop) {
	for i, stop := range x.stops {
		during := s.endedAt.After(stop.signalledAt) && s.sentAt.Before(stop.signalledAt.Add(stopWindow))
		if stop.node == a.node && during && (newest == nil || stop.signalledAt.After(newest.signalledAt)) {
			newest = &x.stops[i]
		}
	}
	return newest
}

// unanswered calls f for each statement whose connection ended without a complete answer.
func (x *index) unanswered(f func(a *attempt, s *statement, e ending)) {
	for _, a := range x.attempts {
		if s := a.lastStatement(); s.err != nil {
			f(a, s, x.endingOf(a, s))
		}
	}
}

// checkCuts finds statements that a planned stop has cut. Nothing else disturbs these runs, so a
// cut outside a stop counts too.
func checkCuts(x *index) (found []string) {
	x.unanswered(func(a *attempt, s *statement, e ending) {
		if e == cut {
			found = append(found, "cut: "+x.describeCut(a, s))
		}
	})
	return found
}

// describeCut says when a statement was sent, received by a server, executed and cut, against
// the SIGTERM of its node.
func (x *index) describeCut(a *attempt, s *statement) string {
	kind, since := "single", s.sentAt
	if len(a.statements) > 1 {
		kind = fmt.Sprintf("statement %d of a transaction", len(a.statements))
	}
	text := fmt.Sprintf("%s (%s, %s on %s) at %s", s.id, s.text, kind, a.workload.database, a.node)
	if stop := x.stopOf(a, s); stop != nil {
		since = stop.signalledAt
		text += fmt.Sprintf(", SIGTERM %s", since.UTC().Format(time.RFC3339Nano))
	} else {
		text += ", outside a stop"
	}
	after := func(at time.Time) int64 { return at.Sub(since).Milliseconds() }
	text += fmt.Sprintf(": sent at %d ms", after(s.sentAt))
	for _, r := range x.executionsByID[s.id] {
		text += fmt.Sprintf(", at %s from %d to %d ms", r.Server, after(r.ArrivedAt), after(r.At))
	}
	text += fmt.Sprintf(", cut at %d ms (%v)", after(s.endedAt), s.err)
	if l, ok := x.cutLines[s.id]; ok {
		return text + fmt.Sprintf("; logged: phase %s, received_after_stop_ms %d, elapsed_ms %d", l.Phase, l.ReceivedAfterStop, l.Elapsed)
	}
	return text + "; not logged"
}

// checkSentAfterDisconnect finds statements that a server received after the connection of
// their caller had ended.
func checkSentAfterDisconnect(x *index) (found []string) {
	x.unanswered(func(a *attempt, s *statement, _ ending) {
		for _, r := range x.executionsByID[s.id] {
			if late := r.ArrivedAt.Sub(s.endedAt); late > arrivalSlack {
				found = append(found, fmt.Sprintf("sent to the server after its caller was disconnected: %s (%s) at %s, %s later at %s",
					s.id, s.text, a.node, late, r.Server))
			}
		}
	})
	return found
}

// cutSummary counts the unanswered statements by their ending, and the transactions among them.
func (x *index) cutSummary() string {
	counts, inTransactions := map[ending]int{}, map[ending]int{}
	x.unanswered(func(a *attempt, _ *statement, e ending) {
		counts[e]++
		if len(a.statements) > 1 {
			inTransactions[e]++
		}
	})
	return fmt.Sprintf("cut %d (%d in transactions), excused %d (%d), crossed the end of an idle session %d (%d), cuts logged by the nodes %d",
		counts[cut], inTransactions[cut], counts[excused], inTransactions[excused], counts[crossed], inTransactions[crossed], len(x.cutLines))
}

// waitSummary returns the 95th percentiles of the time that executed statements spent at a node
// before a server received them, and then at the server.
func (x *index) waitSummary() string {
	var atNodes, atServers []time.Duration
	for _, a := range x.attempts {
		for _, s := range a.statements {
			for _, r := range x.executionsByID[s.id] {
				atNodes = append(atNodes, r.ArrivedAt.Sub(s.sentAt))
				atServers = append(atServers, r.At.Sub(r.ArrivedAt))
			}
		}
	}
	return fmt.Sprintf("95%% waited less than %s at the node and took less than %s at the server", percentile95(atNodes), percentile95(atServers))
}

func percentile95(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*95/100].Round(time.Millisecond)
}

// Guards against a check of planned stops that never fails, or that counts what the rule allows.
func TestCutCheckAppliesTheRule(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		// The times are after the SIGTERM; arrival 0 means that no server got the statement.
		sent, arrival, worked, ended time.Duration
		node, want                   string
	}{
		"answered by the server after the cut": {4 * second, 4100 * time.Millisecond, 4900 * time.Millisecond, 4800 * time.Millisecond, "n0", "cut: a"},
		"in flight at the SIGTERM":             {-second, -second / 2, second, second / 2, "n0", "cut: a"},
		"after the restart of the node":        {6500 * time.Millisecond, 6600 * time.Millisecond, 7 * second, 7 * second, "n0", "cut: a"},
		"at another node":                      {4 * second, 4100 * time.Millisecond, 4900 * time.Millisecond, 4800 * time.Millisecond, "n1", "outside a stop"},
		"sent too late for late work":          {3100 * time.Millisecond, 4 * second, 5010 * time.Millisecond, 4800 * time.Millisecond, "n0", "cut: a"},
		"late work":                            {2900 * time.Millisecond, 4 * second, 5010 * time.Millisecond, 4800 * time.Millisecond, "n0", ""},
		"timeout reached":                      {2 * second, 2100 * time.Millisecond, 3 * second, 4 * second, "n0", ""},
		"waited and reached no server":         {4 * second, 0, 0, 4300 * time.Millisecond, "n0", "cut: a"},
		"crossed the end of an idle session":   {4 * second, 0, 0, 4100 * time.Millisecond, "n0", ""},
		"passed on and refused":                {4 * second, 0, 0, 4150 * time.Millisecond, "n0", "cut: a"},
		"sent on after the cut":                {4 * second, 4500 * time.Millisecond, 4900 * time.Millisecond, 4100 * time.Millisecond, "n0", "sent to the server after"},
	} {
		h := validHistory()
		a, r := h.attempts[0], &h.executions[0]
		at := a.sentAt()
		h.stops = []nodeStop{{node: c.node, signalledAt: at}}
		s := &a.statements[0]
		s.err, s.sentAt, s.endedAt = errConnectionReset, at.Add(c.sent), at.Add(c.ended)
		r.ArrivedAt, r.At = at.Add(c.arrival), at.Add(c.worked)
		if c.arrival == 0 {
			h.executions = h.executions[1:]
		}
		if name == "passed on and refused" {
			h.cutLines = map[string]cutLine{"a": {ID: "a", Phase: phaseUpstream}}
		}
		found := strings.Join(newIndex(h).plannedStopViolations(), "\n")
		if (c.want == "") != (found == "") || !strings.Contains(found, c.want) {
			t.Errorf("%s: want %q, found %q", name, c.want, found)
		}
	}
}
