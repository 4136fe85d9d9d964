package soak

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// Bounds as the users state them.
const (
	revokeBound    = 5 * time.Second
	applyBound     = 3 * time.Second
	quotaWindow    = 5 * time.Second
	quotaExcess    = 0.1
	quotaSlack     = 20
	servedShare    = 0.25
	violationsEach = 3
)

// violations returns what the history shows to be broken, a few of each kind.
func (h *history) violations() []string {
	checks := []func(*index) []string{
		checkOrigin, checkResults, checkOnce, checkPromises, checkFreshness, checkTransactions,
		checkKeys, checkRate, checkConfiguration, checkFences, checkCuts, checkRecovery,
	}
	all := h.exits
	x := newIndex(h)
	for _, check := range checks {
		found := check(x)
		if len(found) > violationsEach {
			found = append(found[:violationsEach], fmt.Sprintf("... %d more", len(found)-violationsEach))
		}
		all = append(all, found...)
	}
	return all
}

// index finds runs and statements by their identity.
type index struct {
	*history
	owner map[string]*attempt
	text  map[string]string
	runs  map[string][]standin.Execution
	// commits holds those that were not rolled back, by the statements in them.
	commits map[string][]standin.Commit
	// rolledBack holds the statements in commits that were.
	rolledBack map[string]bool
}

func newIndex(h *history) *index {
	x := &index{
		history: h, owner: map[string]*attempt{}, text: map[string]string{},
		runs: map[string][]standin.Execution{}, commits: map[string][]standin.Commit{}, rolledBack: map[string]bool{},
	}
	for _, a := range h.attempts {
		for _, s := range a.statements {
			x.owner[s.id], x.text[s.id] = a, s.text
		}
	}
	for _, r := range h.runs {
		x.runs[r.ID] = append(x.runs[r.ID], r)
	}
	for _, c := range h.log {
		for _, id := range c.IDs {
			if c.RolledBack {
				x.rolledBack[id] = true
				continue
			}
			x.commits[id] = append(x.commits[id], c)
		}
	}
	return x
}

// checkOrigin finds statements that nobody sent, or sent otherwise.
func checkOrigin(x *index) (found []string) {
	for _, r := range x.history.runs {
		a := x.owner[r.ID]
		switch {
		case a == nil:
			found = append(found, fmt.Sprintf("unasked: %s ran %q (%s), which no caller sent", r.Server, r.Text, r.ID))
		case !sameText(r.Text, x.text[r.ID]):
			found = append(found, fmt.Sprintf("unasked: %s was sent as %q and ran as %q", r.ID, x.text[r.ID], r.Text))
		case r.Team != a.kind.team:
			found = append(found, fmt.Sprintf("unasked: %s of team %s ran for %s", r.ID, a.kind.team, r.Team))
		}
	}
	return found
}

// checkResults finds successes with results that no run of the statement had.
func checkResults(x *index) (found []string) {
	for _, a := range x.attempts {
		for _, s := range a.statements {
			if s.err != nil || s.answer.Refusal != "" || s.answer.Digest == "-" {
				continue
			}
			same := func(r standin.Execution) bool {
				return r.Digest == s.answer.Digest && slices.Equal(r.Rows, s.answer.Rows)
			}
			if !slices.ContainsFunc(x.runs[s.id], same) {
				found = append(found, fmt.Sprintf("mixed: %s (%s) got %s %v", s.id, s.text, s.answer.Digest, s.answer.Rows))
			}
		}
	}
	return found
}

// checkOnce finds writes that took effect twice, and confirmed ones that took none. What a
// promotion has rolled back took effect before.
func checkOnce(x *index) (found []string) {
	for id, commits := range x.commits {
		if len(commits) > 1 {
			found = append(found, fmt.Sprintf("twice: %s is in %d commits", id, len(commits)))
		}
	}
	for _, a := range x.attempts {
		if id := a.final().id; a.done() && a.writes() && len(x.commits[id]) == 0 && !x.rolledBack[id] {
			found = append(found, fmt.Sprintf("lost: %s (%s) was confirmed and is in no commit", id, a.final().text))
		}
	}
	return found
}

// checkPromises finds attempts that were told that nothing is kept, and are kept.
func checkPromises(x *index) (found []string) {
	for _, a := range x.attempts {
		if s := a.final(); s.err == nil && s.answer.NotRun() || a.rollsBack() {
			for _, s := range a.statements {
				if len(x.commits[s.id]) > 0 {
					found = append(found, fmt.Sprintf("refused: %s (%s) is kept, the caller was told %q", s.id, s.text, a.final().answer.Refusal))
				}
			}
		}
	}
	return found
}

// acknowledgement says that a commit was confirmed to a caller at a time.
type acknowledgement struct {
	at      time.Time
	session uint64
	number  uint64
	id      string
}

// acknowledgements are those of commits that were not rolled back, in order of time.
func (x *index) acknowledgements() []acknowledgement {
	var all []acknowledgement
	for _, a := range x.attempts {
		s := a.final()
		if !a.done() {
			continue
		}
		for _, c := range x.commits[s.id] {
			all = append(all, acknowledgement{s.endedAt, a.session, c.Number, s.id})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all
}

// checkFreshness finds reads on a log that lacks what the database promises.
func checkFreshness(x *index) (found []string) {
	acknowledged := x.acknowledgements()
	newest := make([]acknowledgement, len(acknowledged)+1)
	for i, a := range acknowledged {
		newest[i+1] = newest[i]
		if a.number > newest[i].number {
			newest[i+1] = a
		}
	}
	before := func(at time.Time) acknowledgement {
		return newest[sort.Search(len(acknowledged), func(i int) bool { return !acknowledged[i].at.Before(at) })]
	}
	for _, a := range x.attempts {
		need := before(a.sentAt().Add(-age(a.kind.database)))
		if a.kind.database == "lots" {
			if own := x.newestOf(acknowledged, a); own.number > need.number {
				need = own
			}
		}
		for _, s := range a.statements {
			if s.err != nil || s.answer.Refusal != "" || s.answer.Digest == "-" || len(s.answer.Rows) == 0 {
				continue
			}
			for _, r := range x.runs[s.id] {
				if r.Digest == s.answer.Digest && r.LogLength < need.number {
					found = append(found, fmt.Sprintf("stale: %s (%s on %s, server %s) saw %d commits, %s was acknowledged as number %d, %s before",
						s.id, s.text, a.kind.database, r.Server, r.LogLength, need.id, need.number, a.sentAt().Sub(need.at)))
				}
			}
		}
	}
	return found
}

func age(database string) time.Duration {
	switch database {
	case "lots":
		return standin.LotsMaxStaleness
	case "codes":
		return standin.CodesMaxStaleness
	default:
		return 0
	}
}

// newestOf returns the newest commit of the attempt's session that was acknowledged before.
func (x *index) newestOf(all []acknowledgement, a *attempt) acknowledgement {
	newest := acknowledgement{}
	for _, c := range all {
		if c.session == a.session && c.at.Before(a.sentAt()) && c.number > newest.number {
			newest = c
		}
	}
	return newest
}

// checkTransactions finds statements outside their transaction, or with values of another
// session.
func checkTransactions(x *index) (found []string) {
	for _, a := range x.attempts {
		transaction := len(a.statements) > 1
		connection := uint64(0)
		for _, s := range a.statements {
			for _, r := range x.runs[s.id] {
				if transaction && !r.InTransaction {
					found = append(found, fmt.Sprintf("pinned: %s (%s) ran outside its transaction", s.id, s.text))
				}
				if transaction && connection != 0 && r.Session != connection {
					found = append(found, fmt.Sprintf("pinned: %s (%s) ran on connection %d, the first on %d", s.id, s.text, r.Session, connection))
				}
				connection = r.Session
				if !sameValues(r.Values, a.values) {
					found = append(found, fmt.Sprintf("pinned: %s (%s) ran with values %v, the session has %v", s.id, s.text, r.Values, a.values))
				}
			}
		}
	}
	return found
}

func sameValues(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, value := range a {
		if b[name] != value {
			return false
		}
	}
	return true
}

// checkKeys finds requests with a key that was withdrawn.
func checkKeys(x *index) (found []string) {
	for _, s := range x.sent {
		if s.spareKey || s.acknowledged.IsZero() {
			continue
		}
		from, until := s.acknowledged.Add(revokeBound), x.ended
		for _, later := range x.sent {
			if later.version > s.version && later.spareKey && later.at.Before(until) {
				until = later.at
			}
		}
		for _, a := range x.attempts {
			if a.kind.key != spareKey {
				continue
			}
			for _, st := range a.statements {
				if st.sentAt.After(from) && st.sentAt.Before(until) && len(x.runs[st.id]) > 0 {
					found = append(found, fmt.Sprintf("key: %s (%s) ran %s after version %d withdrew its key", st.id, st.text, st.sentAt.Sub(s.acknowledged), s.version))
				}
			}
		}
	}
	return found
}

// checkRate finds windows in which the small team has run more than its rate and burst.
func checkRate(x *index) (found []string) {
	var at []time.Time
	for _, a := range x.attempts {
		if a.kind.team != smallTeam {
			continue
		}
		for _, s := range a.statements {
			if runs := x.runs[s.id]; len(runs) > 0 {
				at = append(at, runs[0].At)
				break
			}
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	limit := int((smallRate*quotaWindow.Seconds()+smallBurst)*(1+quotaExcess)) + quotaSlack
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > limit {
			found = append(found, fmt.Sprintf("rate: %d operations of %s in %s, the bound is %d", n, smallTeam, quotaWindow, limit))
		}
	}
	return found
}

// checkConfiguration finds reads of a configuration that was replaced, and one that was
// acknowledged and is lost.
func checkConfiguration(x *index) (found []string) {
	for _, s := range x.sent {
		if s.acknowledged.IsZero() {
			continue
		}
		for _, r := range x.readings {
			if r.version < s.version && r.sentAt.After(s.acknowledged.Add(applyBound)) {
				found = append(found, fmt.Sprintf("configuration: %s told version %d, %s after %d was acknowledged",
					r.node, r.version, r.sentAt.Sub(s.acknowledged), s.version))
			}
		}
		if x.last < s.version {
			found = append(found, fmt.Sprintf("configuration: version %d was acknowledged, at the end %d is in force", s.version, x.last))
		}
	}
	return found
}

// checkFences finds two nodes that ordered with the same fence.
func checkFences(x *index) (found []string) {
	holders := map[uint64]string{}
	for _, o := range x.orders {
		if holder, ok := holders[o.Fence]; ok && holder != o.Holder {
			found = append(found, fmt.Sprintf("fence: %s and %s ordered with %d", holder, o.Holder, o.Fence))
		}
		holders[o.Fence] = o.Holder
	}
	return found
}

// checkCuts finds requests that were cut although there was planned work only. A node that
// shuts down closes idle sessions; a first statement that crosses the close is not read, and
// no server has run it.
func checkCuts(x *index) (found []string) {
	if x.cutsAllowed {
		return nil
	}
	for _, a := range x.attempts {
		s := a.final()
		crossed := len(a.statements) == 1 && len(x.runs[s.id]) == 0
		if s.err != nil && !crossed {
			found = append(found, fmt.Sprintf("cut: %s (%s) at %s got no answer: %v", s.id, s.text, a.node, s.err))
		}
	}
	return found
}

// checkRecovery finds that less than the stated share is served once the faults are over.
func checkRecovery(x *index) (found []string) {
	asked, served := 0, 0
	for _, a := range x.attempts {
		if a.kind.team == smallTeam || a.sentAt().Before(x.faultsEnded.Add(recoverTime)) {
			continue
		}
		asked++
		if a.done() || a.rollsBack() {
			served++
		}
	}
	if float64(served) < servedShare*float64(asked) || asked == 0 {
		return []string{fmt.Sprintf("recovery: %d of %d served %s after the faults", served, asked, recoverTime)}
	}
	return nil
}
