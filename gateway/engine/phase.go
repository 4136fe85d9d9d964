package engine

// Phase is how far a session has come with its current statement. It tells why a statement has
// no answer yet.
type Phase uint32

// Phases of a statement.
const (
	// PhaseWaiting means that the statement waits for a primary, for a connection or for its
	// next attempt. No upstream works on it.
	PhaseWaiting Phase = iota
	// PhaseUpstream means that the statement was sent to an upstream, which has not answered.
	PhaseUpstream
	// PhaseAnswered means that the answer is decided and may be partly written.
	PhaseAnswered
)

// String returns the name of the phase in logs and counters.
func (p Phase) String() string {
	names := [...]string{"waiting", "upstream", "answered"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Phase returns the phase of the session's current or last statement. It may be called while
// a statement runs.
func (s *Session) Phase() Phase {
	return Phase(s.phase.Load())
}

func (s *Session) setPhase(p Phase) {
	s.phase.Store(uint32(p))
}
