package soak

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// sound returns a history that breaks nothing: a write on each of two sessions and a read
// that sees both.
func sound() *history {
	at := time.Now()
	ask := func(session uint64, id, text, digest string, after time.Duration, rows ...string) *attempt {
		return &attempt{
			kind: kindsOfCallers[0], node: "n0", session: session, values: map[string]string{},
			statements: []statement{{
				id: id, text: text, sentAt: at.Add(after), endedAt: at.Add(after + time.Millisecond),
				answer: standin.Answer{Digest: digest, Rows: rows, Idle: true},
			}},
		}
	}
	run := func(id, text, digest string, length uint64, rows ...string) standin.Execution {
		return standin.Execution{
			Server: "i-1", Team: largeTeam, ID: id, Text: text, Session: 1, LogLength: length, Digest: digest, Rows: rows,
			Values: map[string]string{}, At: at,
		}
	}
	return &history{
		attempts: []*attempt{
			ask(1, "a", "WRITE x 1", "da", 0), ask(2, "b", "WRITE x 2", "db", time.Second),
			ask(1, "c", "READ x", "dc", 2*time.Second, "2"),
		},
		runs:        []standin.Execution{run("a", "WRITE x 1", "da", 1), run("b", "WRITE x 2", "db", 2), run("c", "READ x", "dc", 2, "2")},
		log:         []standin.Commit{{Term: 1, Number: 1, IDs: []string{"a"}}, {Term: 1, Number: 2, IDs: []string{"b"}}},
		sent:        []*sent{{plan: plan{version: 1, spareKey: true}, at: at, acknowledged: at}},
		readings:    []reading{{"n0", 1, at.Add(time.Minute)}},
		orders:      []standin.PromotionOrder{{Holder: "n0", Fence: 1}, {Holder: "n1", Fence: 2}},
		last:        1,
		faultsEnded: at.Add(-time.Minute),
		ended:       at.Add(time.Minute),
	}
}

// Guards against checks that cannot fail: each is shown a history that breaks its promise.
func TestChecksFindViolations(t *testing.T) {
	if found := sound().violations(); len(found) != 0 {
		t.Fatalf("in a sound history: %v", found)
	}
	for _, c := range []struct {
		want  string
		spoil func(h *history)
	}{
		{"unasked: i-1 ran", func(h *history) { h.runs = append(h.runs, standin.Execution{Server: "i-1", ID: "z", Text: "READ x"}) }},
		{"ran as", func(h *history) { h.runs[0].Text = "WRITE x 9" }},
		{"ran for", func(h *history) { h.runs[0].Team = smallTeam }},
		{"mixed", func(h *history) { h.attempts[2].statements[0].answer.Rows = []string{"1"} }},
		{"twice", func(h *history) { h.log = append(h.log, standin.Commit{Term: 1, Number: 3, IDs: []string{"a"}}) }},
		{"lost: a", func(h *history) { h.log[0].IDs = nil }},
		{"refused", func(h *history) { h.attempts[0].statements[0].answer.Refusal = standin.RefusedNotRun }},
		{"stale", func(h *history) { h.runs[2].LogLength = 1 }},
		{"stale", func(h *history) {
			h.runs[2].LogLength = 0
			h.attempts[0].kind, h.attempts[2].kind = kindsOfCallers[1], kindsOfCallers[1]
			h.attempts[1].statements[0].answer.Refusal = standin.RefusedUnknown
		}},
		{"pinned: b (WRITE x 2) ran on connection", func(h *history) {
			h.attempts[0].statements = append(h.attempts[0].statements, h.attempts[1].statements...)
			h.runs[0].InTransaction, h.runs[1].InTransaction = true, true
			h.runs[1].Session = 2
		}},
		{"outside its transaction", func(h *history) {
			h.attempts[0].statements = append(h.attempts[0].statements, h.attempts[1].statements...)
		}},
		{"ran with values", func(h *history) { h.runs[0].Values = map[string]string{"v0": "1"} }},
		{"key", func(h *history) {
			h.attempts[2].kind.key = spareKey
			h.sent = append(h.sent, &sent{plan: plan{version: 2}, acknowledged: h.sent[0].at.Add(-revokeBound)})
			h.last = 2
			h.readings = nil
		}},
		{"rate", func(h *history) {
			for range 200 {
				a := *h.attempts[2]
				a.kind.team = smallTeam
				h.attempts = append(h.attempts, &a)
			}
		}},
		{"configuration: n0 told", func(h *history) { h.readings[0].version = 0 }},
		{"at the end", func(h *history) { h.last = 0 }},
		{"fence", func(h *history) { h.orders[1].Fence = 1 }},
		{"cut", func(h *history) { h.attempts[0].statements[0].err = errCut }},
		{"recovery", func(h *history) { h.attempts = nil; h.runs = nil }},
	} {
		h := sound()
		c.spoil(h)
		if found := strings.Join(h.violations(), "\n"); !strings.Contains(found, c.want) {
			t.Errorf("no %q in %q", c.want, found)
		}
	}
}

var errCut = errors.New("connection reset")
