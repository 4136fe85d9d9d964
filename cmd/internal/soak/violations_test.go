package soak

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// validHistory returns a history without a violation: a write in each of two sessions and a
// read that sees both.
func validHistory() *history {
	at := time.Now()
	newAttempt := func(session uint64, id, text, digest string, after time.Duration, rows ...string) *attempt {
		return &attempt{
			workload: workloads[0], node: "n0", sessionID: session,
			statements: []statement{{
				id: id, text: text, values: map[string]string{}, sentAt: at.Add(after), endedAt: at.Add(after + time.Millisecond),
				answer: standin.Answer{Digest: digest, Rows: rows, Idle: true},
			}},
		}
	}
	newExecution := func(id, text, digest string, length uint64, rows ...string) standin.Execution {
		return standin.Execution{
			Server: "i-1", Team: largeTeam, ID: id, Text: text, Session: 1, LogLength: length, Digest: digest, Rows: rows,
			Values: map[string]string{}, At: at,
		}
	}
	return &history{
		attempts: []*attempt{
			newAttempt(1, "a", "WRITE x 1", "da", 0), newAttempt(2, "b", "WRITE x 2", "db", time.Second),
			newAttempt(1, "c", "READ x", "dc", 2*time.Second, "2"),
		},
		executions:      []standin.Execution{newExecution("a", "WRITE x 1", "da", 1), newExecution("b", "WRITE x 2", "db", 2), newExecution("c", "READ x", "dc", 2, "2")},
		commits:         []standin.Commit{{Term: 1, Number: 1, IDs: []string{"a"}}, {Term: 1, Number: 2, IDs: []string{"b"}}},
		configurations:  []*sentConfiguration{{plan: plan{version: 1, spareKey: true}, sentAt: at, acknowledgedAt: at}},
		versionReads:    []versionRead{{"n0", 1, at.Add(time.Minute)}},
		promotionOrders: []standin.PromotionOrder{{Holder: "n0", Fence: 1}, {Holder: "n1", Fence: 2}},
		finalVersion:    1,
		faultsEndedAt:   at.Add(-time.Minute),
		endedAt:         at.Add(time.Minute),
	}
}

// executesInPlaceOf makes an attempt of a valid history the EXECUTE of a prepared statement.
func (h *history) executesInPlaceOf(i int, p standin.Prepared, arguments string) {
	s, r := &h.attempts[i].statements[0], &h.executions[i]
	s.text, r.Text = "EXECUTE s1 "+arguments, "EXECUTE p7 "+arguments
	s.prepared, r.Prepared = p, p
}

// preparedRead is a prepared statement of a valid history.
var preparedRead = standin.Prepared{Access: "READ", Shape: "sg  READ q2 "}

// preparedHistory returns a history without a violation in which the read is a prepared one, whose
// arguments hold blanks and words of the protocol, and the first write is a prepared one too.
func preparedHistory() *history {
	h := validHistory()
	h.executesInPlaceOf(0, standin.Prepared{Access: "WRITE", Shape: "sg"}, "x 1 READ  x ")
	h.executesInPlaceOf(2, preparedRead, "x READ  y ")
	return h
}

// Guards against prepared statements that the checks do not count as what they are: each case must
// be reported.
func TestChecksFindViolationsOfPreparedStatements(t *testing.T) {
	if found := preparedHistory().violations(); len(found) != 0 {
		t.Fatalf("violations in a valid history: %v", found)
	}
	for name, c := range map[string]struct {
		want    string
		corrupt func(h *history)
	}{
		"argument with one blank less": {"ran as", func(h *history) { h.executions[2].Text = "EXECUTE p7 x READ y " }},
		"argument without its end":     {"ran as", func(h *history) { h.executions[2].Text = "EXECUTE p7 x READ  y" }},
		"argument that was put before": {"ran as", func(h *history) { h.executions[2].Text = "EXECUTE p7 READ x READ  y " }},
		"argument that follows":        {"ran as", func(h *history) { h.executions[2].Text += "z" }},
		"no name":                      {"ran as", func(h *history) { h.executions[2].Text = "EXECUTE  x READ  y " }},
		"another word":                 {"ran as", func(h *history) { h.executions[2].Text = "READ p7 x READ  y " }},
		"another shape": {`and ran as READ "sg READ q2 "`, func(h *history) {
			h.executions[2].Prepared.Shape = "sg READ q2 "
		}},
		"another access": {`prepared as READ "sg  READ q2 " and ran as WRITE`, func(h *history) { h.executions[2].Prepared.Access = "WRITE" }},
		"name of another caller": {"was prepared as nothing and ran", func(h *history) {
			h.attempts[2].statements[0].prepared = standin.Prepared{}
		}},
		"answered without a server":      {"mixed: c (EXECUTE s1 x", func(h *history) { h.attempts[2].statements[0].answer = standin.Answer{Digest: "-"} }},
		"nothing prepared at the server": {"ran as nothing", func(h *history) { h.executions[2].Prepared = standin.Prepared{} }},
		"plain read that runs prepared":  {"prepared as nothing and ran", func(h *history) { h.executions[1].Prepared = preparedRead }},
		"unknown at the node":            {"was refused as unknown", func(h *history) { h.attempts[2].statements[0].answer.Refusal = refusedUnknown }},
		"malformed at the node":          {`("EXECUTE s1 x READ  y ") was refused with BAD`, func(h *history) { h.attempts[2].statements[0].answer.Refusal = refusedMalformed }},
		"too large at the node":          {"was refused with TOOBIG", func(h *history) { h.attempts[2].statements[0].answer.Refusal = refusedTooLarge }},
		"PREPARE refused at the node":    {`setup: d ("PREPARE s1 READ  ") was refused with BAD`, func(h *history) { h.setups = append(h.setups, refusedSetup("d", refusedMalformed)) }},
		"CLOSE unknown at the node":      {"was refused with " + refusedUnknown, func(h *history) { h.setups = append(h.setups, refusedSetup("d", refusedUnknown)) }},
		"unknown at the server": {`setup: i-1 refused "EXECUTE p7 x" (c,`, func(h *history) {
			h.refusals = []standin.Refusal{{Server: "i-1", ID: "c", Text: "EXECUTE p7 x", Word: refusedUnknown}}
		}},
		"unknown at the server, nobody's": {"setup: i-1 refused", func(h *history) { h.refusals = []standin.Refusal{{Server: "i-1", ID: "-", Word: refusedUnknown}} }},
		"PREPARE refused at the server": {`setup: i-1 refused "PREPARE p1 READ"`, func(h *history) {
			h.refusals = []standin.Refusal{{Server: "i-1", ID: "-", Text: "PREPARE p1 READ", Word: refusedMalformed}}
		}},
		"execution of a PREPARE": {"unasked: i-1 ran", func(h *history) {
			h.setups = append(h.setups, statement{id: "d"})
			h.executions = append(h.executions, standin.Execution{Server: "i-1", ID: "d"})
		}},
		"empty value of another name": {"ran with values", func(h *history) {
			h.attempts[2].statements[0].values = map[string]string{"v0": ""}
			h.executions[2].Values = map[string]string{"v1": ""}
		}},
		"empty value that is missing": {"ran with values", func(h *history) { h.attempts[2].statements[0].values = map[string]string{"v0": ""} }},
		"value with one blank less": {"ran with values", func(h *history) {
			h.executions[2].Values = map[string]string{"v0": "a"}
			h.attempts[2].statements[0].values = map[string]string{"v0": "a "}
		}},
		"prepared write lost": {"lost: a (EXECUTE s1 x 1", func(h *history) { h.commits[0].IDs = nil }},
		"prepared write twice": {"twice: a", func(h *history) {
			h.commits = append(h.commits, standin.Commit{Term: 1, Number: 3, IDs: []string{"a"}})
		}},
		"refused prepared write": {"refused: a (EXECUTE s1 x 1", func(h *history) { h.attempts[0].statements[0].answer.Refusal = standin.RefusedNotRun }},
		"stale prepared read":    {"stale: c (EXECUTE s1 x", func(h *history) { h.executions[2].LogLength = 1 }},
	} {
		h := preparedHistory()
		c.corrupt(h)
		if found := strings.Join(h.violations(), "\n"); !strings.Contains(found, c.want) {
			t.Errorf("%s: no %q in %q", name, c.want, found)
		}
	}
}

// refusedSetup returns a statement that sets up a session and that a node refused.
func refusedSetup(id, word string) statement {
	return statement{id: id, text: "PREPARE s1 READ  ", answer: standin.Answer{Refusal: word, Idle: true}}
}

// Guards against checks that never fail: each one must report a history that violates its
// guarantee.
func TestChecksFindViolations(t *testing.T) {
	if found := validHistory().violations(); len(found) != 0 {
		t.Fatalf("violations in a valid history: %v", found)
	}
	for _, c := range []struct {
		want    string
		corrupt func(h *history)
	}{
		{"unasked: i-1 ran", func(h *history) {
			h.executions = append(h.executions, standin.Execution{Server: "i-1", ID: "z", Text: "READ x"})
		}},
		{"ran as", func(h *history) { h.executions[0].Text = "WRITE x 9" }},
		{"ran for", func(h *history) { h.executions[0].Team = smallTeam }},
		{"mixed", func(h *history) { h.attempts[2].statements[0].answer.Rows = []string{"1"} }},
		{"mixed: b (WRITE x 2) got -", func(h *history) { h.attempts[1].statements[0].answer.Digest = "-" }},
		{"twice", func(h *history) {
			h.commits = append(h.commits, standin.Commit{Term: 1, Number: 3, IDs: []string{"a"}})
		}},
		{"lost: a", func(h *history) { h.commits[0].IDs = nil }},
		{"refused", func(h *history) { h.attempts[0].statements[0].answer.Refusal = standin.RefusedNotRun }},
		{"ran: c (READ", func(h *history) { h.attempts[2].statements[0].answer.Refusal = standin.RefusedNotRun }},
		{"stale", func(h *history) { h.executions[2].LogLength = 1 }},
		{"stale", func(h *history) {
			h.executions[2].LogLength = 0
			h.attempts[0].workload, h.attempts[2].workload = workloads[1], workloads[1]
			h.attempts[1].statements[0].answer.Refusal = standin.RefusedUnknown
		}},
		{"pinned: b (WRITE x 2) ran on connection", func(h *history) {
			h.attempts[0].statements = append(h.attempts[0].statements, h.attempts[1].statements...)
			h.executions[0].InTransaction, h.executions[1].InTransaction = true, true
			h.executions[1].Session = 2
		}},
		{"outside its transaction", func(h *history) {
			h.attempts[0].statements = append(h.attempts[0].statements, h.attempts[1].statements...)
		}},
		{"ran with values", func(h *history) { h.executions[0].Values = map[string]string{"v0": "1"} }},
		{"key", func(h *history) {
			h.attempts[2].workload.key = spareKey
			h.configurations = append(h.configurations, &sentConfiguration{plan: plan{version: 2}, acknowledgedAt: h.configurations[0].sentAt.Add(-maxRevokeDelay)})
			h.finalVersion = 2
			h.versionReads = nil
		}},
		{"rate", func(h *history) {
			for range 200 {
				a := *h.attempts[2]
				a.workload.team = smallTeam
				h.attempts = append(h.attempts, &a)
			}
		}},
		{"configuration: n0 reported", func(h *history) { h.versionReads[0].version = 0 }},
		{"the final version is 0", func(h *history) { h.finalVersion = 0 }},
		{"fence", func(h *history) { h.promotionOrders[1].Fence = 1 }},
		{"cut", func(h *history) { h.attempts[0].statements[0].err = errConnectionReset }},
		{"recovery", func(h *history) { h.attempts = nil; h.executions = nil }},
	} {
		h := validHistory()
		c.corrupt(h)
		if found := strings.Join(h.violations(), "\n"); !strings.Contains(found, c.want) {
			t.Errorf("no %q in %q", c.want, found)
		}
	}
}

var errConnectionReset = errors.New("connection reset")
