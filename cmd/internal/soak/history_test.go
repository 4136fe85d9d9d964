package soak

import (
	"sync"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// history records what callers, servers, the operator and the infrastructure observe.
type history struct {
	mu       sync.Mutex
	sessions uint64
	attempts []*attempt
	// setups are the statements outside attempts that set up sessions.
	setups         []statement
	executions     []standin.Execution
	refusals       []standin.Refusal
	configurations []*sentConfiguration
	versionReads   []versionRead

	// The fields below are set when the run is over.
	commits         []standin.Commit
	promotionOrders []standin.PromotionOrder
	unexpectedExits []string
	finalVersion    int
	cutsAllowed     bool
	faultsStartedAt time.Time
	faultsEndedAt   time.Time
	endedAt         time.Time
	// stops are the planned stops, and cutLines the nodes' log lines on cut requests, by
	// statement.
	stops    []nodeStop
	cutLines map[string]cutLine
}

func (h *history) newSession() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sessions++
	return h.sessions
}

func (h *history) recordExecution(r standin.Execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions = append(h.executions, r)
}

func (h *history) recordRefusal(r standin.Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, r)
}

func (h *history) recordSetup(s statement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setups = append(h.setups, s)
}

func (h *history) recordAttempt(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

func (h *history) recordConfiguration(s *sentConfiguration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configurations = append(h.configurations, s)
}

func (h *history) recordAcknowledgement(s *sentConfiguration, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.acknowledgedAt = at
}

func (h *history) recordVersionRead(r versionRead) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versionReads = append(h.versionReads, r)
}

// observe records what the servers of a group execute and refuse.
func (h *history) observe(g *standin.Group) {
	g.OnExecution(h.recordExecution)
	g.OnRefusal(h.recordRefusal)
}

// executedCount returns how many prepared statements ran.
func (h *history) executedCount() int {
	n := 0
	for _, r := range h.executions {
		if r.Prepared != (standin.Prepared{}) {
			n++
		}
	}
	return n
}

func (h *history) succeededCount() int {
	n := 0
	for _, a := range h.attempts {
		if a.succeeded() {
			n++
		}
	}
	return n
}
