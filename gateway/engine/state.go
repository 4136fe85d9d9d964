package engine

import (
	"crypto/sha256"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/gateway/sessionmem"
)

const (
	// stateEntryBytes is counted for each value and prepared statement of a session on top of its texts: its place
	// in the session's map, and what a connection to an upstream holds for it.
	stateEntryBytes = 256
	// stateRefusalLogInterval is the time between two log lines about the refused state of a team's sessions.
	stateRefusalLogInterval = time.Minute
)

// textDigest identifies a text of a caller. Callers choose the texts, so collisions must be infeasible.
type textDigest [sha256.Size]byte

func digestText(text string) textDigest { return sha256.Sum256([]byte(text)) }

// sessionValue is a value that a caller set.
type sessionValue struct {
	name, value string
	digest      textDigest
}

func (v sessionValue) bytes() int64 { return stateBytes(v.name, v.value) }

// sessionStatement is a prepared statement of a caller's session, with the key that it has on connections.
type sessionStatement struct {
	preparedStatement
	key textDigest
}

// stateBytes returns what is counted for a name and the text that the session holds under it.
func stateBytes(name, text string) int64 {
	return stateEntryBytes + int64(len(name)+len(text))
}

// setValue keeps a value of the session, unless that would exceed what the session may hold.
func (s *Session) setValue(st Statement) Answer {
	key := digestText(st.Name)
	replaced := int64(0)
	if old, ok := s.values[key]; ok {
		replaced = old.bytes()
	}
	if refusal := s.resizeState(replaced, stateBytes(st.Name, st.Value)); refusal != nil {
		return Answer{Refusal: refusal}
	}
	if s.values == nil {
		s.values = map[textDigest]sessionValue{}
	}
	// The texts are parts of the message, which would be kept whole with them.
	s.values[key] = sessionValue{name: strings.Clone(st.Name), value: strings.Clone(st.Value), digest: digestText(st.Value)}
	return Answer{}
}

// prepare keeps a prepared statement of the session, unless that would exceed what the session may hold.
func (s *Session) prepare(st Statement) Answer {
	replaced := s.preparedBytes(st.Name)
	if refusal := s.resizeState(replaced, stateBytes(st.Name, st.Shape)); refusal != nil {
		return Answer{Refusal: refusal}
	}
	if s.prepared == nil {
		s.prepared = map[string]sessionStatement{}
	}
	p := preparedStatement{writes: st.Writes, shape: strings.Clone(st.Shape)}
	s.prepared[strings.Clone(st.Name)] = sessionStatement{preparedStatement: p, key: p.key()}
	return Answer{}
}

// forget removes a prepared statement of the session, if there is one of this name.
func (s *Session) forget(name string) {
	s.releaseState(s.preparedBytes(name))
	delete(s.prepared, name)
}

// preparedBytes returns what is counted for the prepared statement of a name.
func (s *Session) preparedBytes(name string) int64 {
	p, ok := s.prepared[name]
	if !ok {
		return 0
	}
	return stateBytes(name, p.shape)
}

// resizeState counts an entry of the session that grows or shrinks, or refuses to.
func (s *Session) resizeState(from, to int64) *Refusal {
	if to <= from {
		s.releaseState(from - to)
		return nil
	}
	switch s.state.Reserve(to - from) {
	case sessionmem.SessionFull:
		return &Refusal{Code: rescode.StatementLimit, Reason: reasonSessionStateFull}
	case sessionmem.NodeFull:
		return &Refusal{Code: rescode.SessionMemoryFull, Reason: reasonNodeStateFull, RetryAfter: failoverRetryAfter}
	}
	metricSessionStateBytes.Add(float64(to - from))
	return nil
}

func (s *Session) releaseState(n int64) {
	s.state.Release(n)
	metricSessionStateBytes.Add(float64(-n))
}

// dropState gives back all that the session holds.
func (s *Session) dropState() {
	s.releaseState(s.state.Held())
	s.values, s.prepared = nil, nil
}

// isStateRefusal reports whether a statement was refused because of what sessions hold.
func isStateRefusal(r *Refusal) bool {
	return r.Reason == reasonSessionStateFull || r.Reason == reasonNodeStateFull
}

// startStateRefusalLog reports whether a refusal of session state is to be logged for a team, and records that it was:
// one in each stateRefusalLogInterval is. All are counted.
func (e *Engine) startStateRefusalLog(now time.Duration, team string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.stateRefusalLoggedAt[team]
	if known && now-last < stateRefusalLogInterval {
		return false
	}
	e.stateRefusalLoggedAt[team] = now
	return true
}

// addStateFields adds what the session holds to the fields of a log line about a refusal.
func (s *Session) addStateFields(fields logrus.Fields) {
	fields["session_bytes"] = s.state.Held()
	fields["session_limit_bytes"] = s.engine.opts.SessionMemory.SessionLimit()
}
