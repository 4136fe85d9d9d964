package engine

import (
	"container/list"
	"crypto/sha256"
	"io"
	"strconv"
)

const (
	// maxPreparedStatements and maxPreparedBytes bound what is prepared on an upstream connection. The upstream
	// holds the texts for each of its connections; the bound in bytes has room for one message of the largest size.
	// What a transaction prepares may exceed them until it has ended.
	maxPreparedStatements = 256
	maxPreparedBytes      = 1 << 20
	// maxEvictions bounds the statements that one write closes. The upstream answers each while the node still
	// writes, and a long transaction may leave any number.
	maxEvictions = maxPreparedStatements
	// preparedEntryBytes is counted for each statement on top of its text.
	preparedEntryBytes = 128
)

// preparedStatement is the access and shape of a prepared statement. Statements that are equal in both are prepared
// once on a connection, whichever callers use them.
type preparedStatement struct {
	writes bool
	shape  string
}

// key returns the digest that identifies the statement on connections, which do not hold its text.
func (p preparedStatement) key() textDigest {
	h := sha256.New()
	access := byte('r')
	if p.writes {
		access = 'w'
	}
	h.Write([]byte{access})
	// A hash never returns an error.
	_, _ = io.WriteString(h, p.shape)
	return textDigest(h.Sum(nil))
}

// preparedNames holds the names of the statements that are prepared on an upstream connection. Callers share
// the connection, and with it the statements of equal access and shape. The names are numbers of the connection:
// text of a caller inside a name could be read as more than a name.
type preparedNames struct {
	entries map[textDigest]*list.Element
	// recent holds the *preparedEntry of all statements, the most recently used first.
	recent list.List
	bytes  int64
	// given counts the names of the connection. A name is given once, also after a reset.
	given uint64
}

// preparedEntry is a statement that is prepared on a connection.
type preparedEntry struct {
	key   textDigest
	name  string
	bytes int64
}

// prepare returns the statement that prepares p under the name of the entry.
func (e *preparedEntry) prepare(p preparedStatement) Statement {
	return Statement{Kind: Prepare, Name: e.name, Writes: p.writes, Shape: p.shape}
}

// preparedChange is what a batch of statements changes of what is prepared on a connection.
type preparedChange struct {
	// evicted are closed at the upstream. added, if there is one, is prepared there.
	evicted []*preparedEntry
	added   *preparedEntry
}

// statements returns the statements that make the change at the upstream; p is the statement that is added, if one is.
func (c preparedChange) statements(p preparedStatement) []Statement {
	var out []Statement
	for _, entry := range c.evicted {
		out = append(out, Statement{Kind: Forget, Name: entry.name})
	}
	if c.added != nil {
		out = append(out, c.added.prepare(p))
	}
	return out
}

// lookup returns the name of a statement on the connection, and counts it as used.
func (n *preparedNames) lookup(key textDigest) (name string, ok bool) {
	e, ok := n.entries[key]
	if !ok {
		return "", false
	}
	n.recent.MoveToFront(e)
	return e.Value.(*preparedEntry).name, true
}

// next returns the entry of a statement that is not prepared yet, with a new name.
func (n *preparedNames) next(p sessionStatement) *preparedEntry {
	n.given++
	return &preparedEntry{
		key: p.key, name: "p" + strconv.FormatUint(n.given, 10), bytes: preparedEntryBytes + int64(len(p.shape)),
	}
}

// overflow returns the least recently used statements that must be closed so that the others and added, which may
// be nil, are within the bounds, or the first maxEvictions of them. The most recently used one is kept if there is
// none to add.
func (n *preparedNames) overflow(added *preparedEntry) []*preparedEntry {
	count, bytes, kept := n.recent.Len(), n.bytes, 1
	if added != nil {
		count, bytes, kept = count+1, bytes+added.bytes, 0
	}
	var out []*preparedEntry
	for e := n.recent.Back(); e != nil && (count > maxPreparedStatements || bytes > maxPreparedBytes); e = e.Prev() {
		if n.recent.Len()-len(out) <= kept || len(out) == maxEvictions {
			break
		}
		entry := e.Value.(*preparedEntry)
		out = append(out, entry)
		count--
		bytes -= entry.bytes
	}
	return out
}

// apply makes a change that was sent to the upstream. It assumes that the upstream carries it out; otherwise the
// caller closes the connection.
func (n *preparedNames) apply(c preparedChange) {
	for _, entry := range c.evicted {
		n.recent.Remove(n.entries[entry.key])
		delete(n.entries, entry.key)
		n.count(-1, -entry.bytes)
		metricStatementEvictions.Inc()
	}
	if c.added == nil {
		return
	}
	if n.entries == nil {
		n.entries = map[textDigest]*list.Element{}
	}
	n.entries[c.added.key] = n.recent.PushFront(c.added)
	n.count(1, c.added.bytes)
}

// clear removes all statements, as a reset of the upstream's session does.
func (n *preparedNames) clear() {
	n.count(-n.recent.Len(), -n.bytes)
	n.entries = nil
	n.recent.Init()
}

// count adds to what is held on the connection, and on all connections.
func (n *preparedNames) count(statements int, bytes int64) {
	n.bytes += bytes
	metricConnStatements.Add(float64(statements))
	metricConnStatementBytes.Add(float64(bytes))
}
