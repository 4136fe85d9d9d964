package soak

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// Bounds that users require.
const (
	maxRevokeDelay        = 5 * time.Second
	maxApplyDelay         = 3 * time.Second
	rateWindow            = 5 * time.Second
	rateExcess            = 0.1
	rateSlack             = 20
	minServedFraction     = 0.25
	maxViolationsPerCheck = 3
	// operationInterval is the interval at which a violation of a rate counts the operations.
	operationInterval = 500 * time.Millisecond
)

// violations returns the guarantees that the history shows to be broken, limited to
// maxViolationsPerCheck for each check.
func (h *history) violations() []string {
	checks := []func(*index) []string{
		checkOrigin, checkResults, checkExactlyOnce, checkRefusals, checkNotRun, checkFreshness, checkTransactions,
		checkPrepared, checkSetups, checkKeys, checkRate, checkConfiguration, checkFenceHolders, checkUnanswered, checkRecovery,
	}
	return append(h.unexpectedExits, newIndex(h).violationsOf(checks)...)
}

// violationsOf returns what the given checks find, limited to maxViolationsPerCheck for each.
func (x *index) violationsOf(checks []func(*index) []string) []string {
	var all []string
	for _, check := range checks {
		found := check(x)
		if len(found) > maxViolationsPerCheck {
			found = append(found[:maxViolationsPerCheck], fmt.Sprintf("... %d more", len(found)-maxViolationsPerCheck))
		}
		all = append(all, found...)
	}
	return all
}

// index finds attempts, statements, executions and commits by statement ID.
type index struct {
	*history
	attemptByID    map[string]*attempt
	textByID       map[string]string
	executionsByID map[string][]standin.Execution
	// commitsByID holds the commits that were not rolled back, by the statements in them.
	commitsByID map[string][]standin.Commit
	// rolledBack holds the statements in commits that a promotion rolled back.
	rolledBack map[string]bool
}

func newIndex(h *history) *index {
	x := &index{
		history: h, attemptByID: map[string]*attempt{}, textByID: map[string]string{},
		executionsByID: map[string][]standin.Execution{}, commitsByID: map[string][]standin.Commit{}, rolledBack: map[string]bool{},
	}
	for _, a := range h.attempts {
		for _, s := range a.statements {
			x.attemptByID[s.id], x.textByID[s.id] = a, s.text
		}
	}
	for _, r := range h.executions {
		x.executionsByID[r.ID] = append(x.executionsByID[r.ID], r)
	}
	for _, c := range h.commits {
		for _, id := range c.IDs {
			if c.RolledBack {
				x.rolledBack[id] = true
				continue
			}
			x.commitsByID[id] = append(x.commitsByID[id], c)
		}
	}
	return x
}

// checkOrigin finds executions that no caller sent, or that differ from what was sent.
func checkOrigin(x *index) (found []string) {
	for _, r := range x.history.executions {
		a := x.attemptByID[r.ID]
		switch {
		case a == nil:
			found = append(found, fmt.Sprintf("unasked: %s ran %q (%s), which no caller sent", r.Server, r.Text, r.ID))
		case !isSameStatement(r.Text, x.textByID[r.ID]):
			found = append(found, fmt.Sprintf("unasked: %s was sent as %q and ran as %q", r.ID, x.textByID[r.ID], r.Text))
		case r.Team != a.workload.team:
			found = append(found, fmt.Sprintf("unasked: %s of team %s ran for %s", r.ID, a.workload.team, r.Team))
		}
	}
	return found
}

// checkResults finds successful answers with a result that no execution of the statement
// returned, and reads, writes and COMMITs that succeeded without a result of a server.
func checkResults(x *index) (found []string) {
	for _, a := range x.attempts {
		for _, s := range a.statements {
			if !s.succeeded() || s.answer.Digest == "-" && s.mayBeAnsweredByNode() {
				continue
			}
			same := func(r standin.Execution) bool {
				return r.Digest == s.answer.Digest && slices.Equal(r.Rows, s.answer.Rows)
			}
			if !slices.ContainsFunc(x.executionsByID[s.id], same) {
				found = append(found, fmt.Sprintf("mixed: %s (%s) got %s %v", s.id, s.text, s.answer.Digest, s.answer.Rows))
			}
		}
	}
	return found
}

// checkExactlyOnce finds writes that took effect twice, and confirmed writes that took no
// effect. A write that a promotion rolled back counts as having taken effect.
func checkExactlyOnce(x *index) (found []string) {
	for id, commits := range x.commitsByID {
		if len(commits) > 1 {
			found = append(found, fmt.Sprintf("twice: %s is in %d commits", id, len(commits)))
		}
	}
	for _, a := range x.attempts {
		if id := a.lastStatement().id; a.succeeded() && a.hasWrite() && len(x.commitsByID[id]) == 0 && !x.rolledBack[id] {
			found = append(found, fmt.Sprintf("lost: %s (%s) was confirmed and is in no commit", id, a.lastStatement().text))
		}
	}
	return found
}

// checkRefusals finds statements that were committed although the caller was told that
// they did not run, or rolled them back.
func checkRefusals(x *index) (found []string) {
	for _, a := range x.attempts {
		if s := a.lastStatement(); s.err == nil && s.answer.NotRun() || a.endsWithRollback() {
			for _, s := range a.statements {
				if len(x.commitsByID[s.id]) > 0 {
					found = append(found, fmt.Sprintf("refused: %s (%s) is committed, the caller was told %q", s.id, s.text, a.lastStatement().answer.Refusal))
				}
			}
		}
	}
	return found
}

// checkNotRun finds single statements, reads among them, that ran although their callers were told that they did not.
func checkNotRun(x *index) (found []string) {
	for _, a := range x.attempts {
		s := a.lastStatement()
		if len(a.statements) > 1 || s.err != nil || !s.answer.NotRun() {
			continue
		}
		for _, r := range x.executionsByID[s.id] {
			found = append(found, fmt.Sprintf("ran: %s (%s) ran on %s, the caller was told %q", s.id, s.text, r.Server, s.answer.Refusal))
		}
	}
	return found
}

// acknowledgement is the confirmation of a commit to a caller.
type acknowledgement struct {
	receivedAt   time.Time
	sessionID    uint64
	commitNumber uint64
	statementID  string
}

// acknowledgements returns the confirmations of commits that were not rolled back, ordered
// by the time at which callers received them.
func (x *index) acknowledgements() []acknowledgement {
	var all []acknowledgement
	for _, a := range x.attempts {
		s := a.lastStatement()
		if !a.succeeded() {
			continue
		}
		for _, c := range x.commitsByID[s.id] {
			all = append(all, acknowledgement{s.endedAt, a.sessionID, c.Number, s.id})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].receivedAt.Before(all[j].receivedAt) })
	return all
}

// checkFreshness finds reads that do not see a commit which the database's maximum
// staleness, or read-your-writes on the database "lots", requires them to see.
func checkFreshness(x *index) (found []string) {
	acknowledged := x.acknowledgements()
	newest := make([]acknowledgement, len(acknowledged)+1)
	for i, a := range acknowledged {
		newest[i+1] = newest[i]
		if a.commitNumber > newest[i].commitNumber {
			newest[i+1] = a
		}
	}
	newestBefore := func(at time.Time) acknowledgement {
		return newest[sort.Search(len(acknowledged), func(i int) bool { return !acknowledged[i].receivedAt.Before(at) })]
	}
	for _, a := range x.attempts {
		required := newestBefore(a.sentAt().Add(-maxStaleness(a.workload.database)))
		if a.workload.database == "lots" {
			if own := x.newestOwnCommit(acknowledged, a); own.commitNumber > required.commitNumber {
				required = own
			}
		}
		for _, s := range a.statements {
			if s.err != nil || s.answer.Refusal != "" || s.answer.Digest == "-" || len(s.answer.Rows) == 0 {
				continue
			}
			for _, r := range x.executionsByID[s.id] {
				if r.Digest == s.answer.Digest && r.LogLength < required.commitNumber {
					found = append(found, fmt.Sprintf("stale: %s (%s on %s, server %s) saw %d commits, %s was acknowledged as number %d, %s before",
						s.id, s.text, a.workload.database, r.Server, r.LogLength, required.statementID, required.commitNumber, a.sentAt().Sub(required.receivedAt)))
				}
			}
		}
	}
	return found
}

func maxStaleness(database string) time.Duration {
	switch database {
	case "lots":
		return standin.LotsMaxStaleness
	case "codes":
		return standin.CodesMaxStaleness
	default:
		return 0
	}
}

// newestOwnCommit returns the newest commit that the attempt's own session had acknowledged
// before the attempt.
func (x *index) newestOwnCommit(all []acknowledgement, a *attempt) acknowledgement {
	newest := acknowledgement{}
	for _, c := range all {
		if c.sessionID == a.sessionID && c.receivedAt.Before(a.sentAt()) && c.commitNumber > newest.commitNumber {
			newest = c
		}
	}
	return newest
}

// checkTransactions finds statements that ran outside their transaction, on another
// connection than the rest of it, or with the settings of another session.
func checkTransactions(x *index) (found []string) {
	for _, a := range x.attempts {
		transaction := len(a.statements) > 1
		connection := uint64(0)
		for _, s := range a.statements {
			for _, r := range x.executionsByID[s.id] {
				if transaction && !r.InTransaction {
					found = append(found, fmt.Sprintf("pinned: %s (%s) ran outside its transaction", s.id, s.text))
				}
				if transaction && connection != 0 && r.Session != connection {
					found = append(found, fmt.Sprintf("pinned: %s (%s) ran on connection %d, the first on %d", s.id, s.text, r.Session, connection))
				}
				connection = r.Session
				if !maps.Equal(r.Values, s.values) {
					found = append(found, fmt.Sprintf("pinned: %s (%s) ran with values %q, the session has %q", s.id, s.text, r.Values, s.values))
				}
			}
		}
	}
	return found
}

// checkKeys finds requests that ran later than maxRevokeDelay after the withdrawal of their
// key was acknowledged.
func checkKeys(x *index) (found []string) {
	for _, s := range x.configurations {
		if s.spareKey || s.acknowledgedAt.IsZero() {
			continue
		}
		from, until := s.acknowledgedAt.Add(maxRevokeDelay), x.endedAt
		for _, later := range x.configurations {
			if later.version > s.version && later.spareKey && later.sentAt.Before(until) {
				until = later.sentAt
			}
		}
		for _, a := range x.attempts {
			if a.workload.key != spareKey {
				continue
			}
			for _, st := range a.statements {
				if st.sentAt.After(from) && st.sentAt.Before(until) && len(x.executionsByID[st.id]) > 0 {
					found = append(found, fmt.Sprintf("key: %s (%s) ran %s after version %d withdrew its key", st.id, st.text, st.sentAt.Sub(s.acknowledgedAt), s.version))
				}
			}
		}
	}
	return found
}

// checkRate finds the window in which the small team ran most, if that is more operations than
// its rate and burst allow.
func checkRate(x *index) (found []string) {
	operations := x.operationsOfSmallTeam()
	limit := int((smallRate*rateWindow.Seconds()+smallBurst)*(1+rateExcess)) + rateSlack
	var most []operation
	first := 0
	for i, o := range operations {
		for o.at.Sub(operations[first].at) > rateWindow {
			first++
		}
		if window := operations[first : i+1]; len(window) > len(most) {
			most = window
		}
	}
	if len(most) <= limit {
		return nil
	}
	return []string{fmt.Sprintf("rate: %d operations of %s in the %s up to %s, the bound is %d; %s",
		len(most), smallTeam, rateWindow, most[len(most)-1].at.UTC().Format(time.RFC3339Nano), limit, describeOperations(most))}
}

// operation is an operation that a server ran, with the time at which it was sent and the node that
// its caller used.
type operation struct {
	sentAt, at time.Time
	node       string
}

// operationsOfSmallTeam returns the operations of the small team that ran, in the order of time.
func (x *index) operationsOfSmallTeam() []operation {
	var all []operation
	for _, a := range x.attempts {
		if a.workload.team != smallTeam {
			continue
		}
		for _, s := range a.statements {
			if runs := x.executionsByID[s.id]; len(runs) > 0 {
				all = append(all, operation{s.sentAt, runs[0].At, a.node})
				break
			}
		}
	}
	slices.SortFunc(all, func(a, b operation) int { return a.at.Compare(b.at) })
	return all
}

// describeOperations counts operations by node and by half-second since the first one ran, and those that were
// sent since then too.
func describeOperations(all []operation) string {
	byNode, sentSince := map[string]int{}, 0
	byTime := make([]int, rateWindow/operationInterval+1)
	for _, o := range all {
		byNode[o.node]++
		byTime[o.at.Sub(all[0].at)/operationInterval]++
		if !o.sentAt.Before(all[0].at) {
			sentSince++
		}
	}
	return fmt.Sprintf("%d sent in this time, by node %v, every %s %v", sentSince, byNode, operationInterval, byTime)
}

// checkConfiguration finds reads that return a replaced configuration later than
// maxApplyDelay after its successor was acknowledged, and acknowledged configurations that
// are lost.
func checkConfiguration(x *index) (found []string) {
	for _, s := range x.configurations {
		if s.acknowledgedAt.IsZero() {
			continue
		}
		for _, r := range x.versionReads {
			if r.version < s.version && r.sentAt.After(s.acknowledgedAt.Add(maxApplyDelay)) {
				found = append(found, fmt.Sprintf("configuration: %s reported version %d, %s after %d was acknowledged",
					r.node, r.version, r.sentAt.Sub(s.acknowledgedAt), s.version))
			}
		}
		if x.finalVersion < s.version {
			found = append(found, fmt.Sprintf("configuration: version %d was acknowledged, the final version is %d", s.version, x.finalVersion))
		}
	}
	return found
}

// checkFenceHolders finds two nodes that sent promotion orders with the same fence.
func checkFenceHolders(x *index) (found []string) {
	holders := map[uint64]string{}
	for _, o := range x.promotionOrders {
		if holder, ok := holders[o.Fence]; ok && holder != o.Holder {
			found = append(found, fmt.Sprintf("fence: %s and %s sent promotion orders with fence %d", holder, o.Holder, o.Fence))
		}
		holders[o.Fence] = o.Holder
	}
	return found
}

// checkUnanswered finds requests that got no answer although only planned work was done. A
// node that shuts down closes idle sessions; a first statement that is sent at the same
// moment is never read and no server runs it, so it is allowed to go unanswered.
func checkUnanswered(x *index) (found []string) {
	if x.cutsAllowed {
		return nil
	}
	for _, a := range x.attempts {
		s := a.lastStatement()
		crossed := len(a.statements) == 1 && len(x.executionsByID[s.id]) == 0
		if s.err != nil && !crossed {
			found = append(found, fmt.Sprintf("cut: %s (%s) at %s got no answer: %v", s.id, s.text, a.node, s.err))
		}
	}
	return found
}

// checkRecovery reports when less than minServedFraction of the attempts succeed after the
// recovery time.
func checkRecovery(x *index) (found []string) {
	asked, served := 0, 0
	for _, a := range x.attempts {
		if a.workload.team == smallTeam || a.sentAt().Before(x.faultsEndedAt.Add(recoveryTime)) {
			continue
		}
		asked++
		if a.succeeded() || a.endsWithRollback() {
			served++
		}
	}
	if float64(served) < minServedFraction*float64(asked) || asked == 0 {
		return []string{fmt.Sprintf("recovery: %d of %d served %s after the faults", served, asked, recoveryTime)}
	}
	return nil
}
