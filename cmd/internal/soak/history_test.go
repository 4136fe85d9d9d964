package soak

import (
	"sync"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// history is what callers, servers, the operator and the infrastructure have seen.
type history struct {
	mu       sync.Mutex
	sessions uint64
	attempts []*attempt
	runs     []standin.Execution
	sent     []*sent
	readings []reading

	// The rest is set when the run is over.
	log         []standin.Commit
	orders      []standin.PromotionOrder
	exits       []string
	last        int
	cutsAllowed bool
	faultsBegan time.Time
	faultsEnded time.Time
	ended       time.Time
}

func (h *history) newSession() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sessions++
	return h.sessions
}

func (h *history) ran(r standin.Execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
}

func (h *history) attempted(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

func (h *history) configured(s *sent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, s)
}

func (h *history) acknowledged(s *sent, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.acknowledged = at
}

func (h *history) read(r reading) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readings = append(h.readings, r)
}

func (h *history) served() int {
	n := 0
	for _, a := range h.attempts {
		if a.done() {
			n++
		}
	}
	return n
}
