package engine

import (
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// advisoryLock takes a lock that the session holds until it ends, unlocks it or
// runs DISCARD ALL. A lock that is held counts once, however often it is taken.
func (e *env) advisoryLock(args []any) (any, error) {
	s := e.session
	if s.advisory == nil {
		s.advisory = s.Store.NewAdvisoryLocks()
	}
	return "", s.advisory.Lock(e.ctx, value.Format(first(args)))
}

func (e *env) advisoryUnlock(args []any) (any, error) {
	s := e.session
	return s.advisory != nil && s.advisory.Unlock(value.Format(first(args))), nil
}

func (e *env) advisoryUnlockAll([]any) (any, error) {
	e.session.dropAdvisory()
	return "", nil
}

func (s *Session) dropAdvisory() {
	if s.advisory != nil {
		s.advisory.UnlockAll()
		s.advisory = nil
	}
}

// lastValue returns the last serial number that the session was given.
func (e *env) lastValue([]any) (any, error) {
	if e.session.lastSerial == 0 {
		return nil, sqlerr.New(sqlerr.ObjectNotInPrerequisiteState, "lastval is not yet defined in this session")
	}
	return e.session.lastSerial, nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
