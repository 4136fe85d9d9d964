package engine

import "strconv"

// preparedStatement is a prepared statement of a caller.
type preparedStatement struct {
	writes bool
	shape  string
}

// preparedNames holds the names of the statements that are prepared on an upstream connection. Callers share
// the connection, and with it the statements of equal access and shape. The names are numbers of the connection:
// text of a caller inside a name could be read as more than a name.
type preparedNames struct {
	names map[preparedStatement]string
	// given counts the names of the connection. A name is given once, also after a reset.
	given uint64
}

// ensure returns the name that p has on the connection, and the statement that prepares it if it is missing
// there. It assumes that the statement will succeed; otherwise the caller calls forget or closes the connection.
func (n *preparedNames) ensure(p preparedStatement) (name string, st Statement, missing bool) {
	if name, ok := n.names[p]; ok {
		return name, Statement{}, false
	}
	if n.names == nil {
		n.names = map[preparedStatement]string{}
	}
	n.given++
	name = "p" + strconv.FormatUint(n.given, 10)
	n.names[p] = name
	return name, Statement{Kind: Prepare, Name: name, Writes: p.writes, Shape: p.shape}, true
}

// forget removes a statement that was not prepared after all.
func (n *preparedNames) forget(p preparedStatement) {
	delete(n.names, p)
}

// clear removes all statements, as a reset of the upstream's session does.
func (n *preparedNames) clear() {
	n.names = nil
}
