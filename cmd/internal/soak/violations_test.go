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
		{"twice", func(h *history) {
			h.commits = append(h.commits, standin.Commit{Term: 1, Number: 3, IDs: []string{"a"}})
		}},
		{"lost: a", func(h *history) { h.commits[0].IDs = nil }},
		{"refused", func(h *history) { h.attempts[0].statements[0].answer.Refusal = standin.RefusedNotRun }},
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
