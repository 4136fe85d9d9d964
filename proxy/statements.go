package proxy

import "github.com/jayloom/jayloom/api/rescode"

// statementSet holds the prepared statements of a caller by the caller's names. The
// proxy keeps their texts, because it may have to prepare them on any connection.
type statementSet struct {
	byName map[string]*statement
	bytes  int
}

// preparedBytes is what a statement counts against the caller's limit. Statements without a
// name replace each other and count nothing.
func (s *statement) preparedBytes() int {
	if s.name == "" {
		return 0
	}
	return len(s.name) + len(s.tail)
}

func (set *statementSet) get(name string) *statement {
	return set.byName[name]
}

func (set *statementSet) put(stmt *statement) {
	set.remove(stmt.name)
	if set.byName == nil {
		set.byName = map[string]*statement{}
	}
	set.byName[stmt.name] = stmt
	set.bytes += stmt.preparedBytes()
}

func (set *statementSet) remove(name string) {
	if old, ok := set.byName[name]; ok {
		set.bytes -= old.preparedBytes()
		delete(set.byName, name)
	}
}

func (set *statementSet) clear() {
	*set = statementSet{}
}

// storeStatement records a statement whose Parse was answered.
func (s *caller) storeStatement(stmt *statement) {
	s.statements.put(stmt)
	s.batch.definedBytes -= stmt.preparedBytes()
}

// checkStatementLimit refuses a statement for which the caller has no room. Statements of the
// open batch count even if they fail later, because nothing is answered yet.
func (s *caller) checkStatementLimit(stmt *statement) *rescode.Error {
	taken := s.statements.bytes + s.batch.definedBytes
	if stmt.preparedBytes() > 0 && taken+stmt.preparedBytes() > int(s.server.settings.MaxPreparedBytes) {
		return rescode.New(rescode.StatementLimit, "%d bytes are taken", taken)
	}
	return nil
}
