package proxy

import "github.com/jayloom/jayloom/api/rescode"

// statementSet holds a caller's prepared statements by the caller's names. The proxy
// keeps their texts because it may have to prepare them on any connection.
type statementSet struct {
	byName map[string]*statement
	bytes  int
}

// preparedBytes is the size that counts against the caller's limit. Unnamed statements
// replace each other and count nothing.
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

// storeStatement stores a statement whose Parse the upstream has answered.
func (s *caller) storeStatement(stmt *statement) {
	s.statements.put(stmt)
	s.batch.definedBytes -= stmt.preparedBytes()
}

// checkStatementLimit refuses a statement that would exceed the caller's limit.
// Statements of the open batch count even if they fail later, because they have not been
// answered yet.
func (s *caller) checkStatementLimit(stmt *statement) *rescode.Error {
	used := s.statements.bytes + s.batch.definedBytes
	if stmt.preparedBytes() > 0 && used+stmt.preparedBytes() > int(s.server.settings.MaxPreparedBytes) {
		return rescode.New(rescode.StatementLimit, "%d bytes are in use", used)
	}
	return nil
}
