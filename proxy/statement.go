package proxy

import (
	"bytes"
	"encoding/binary"
	"strconv"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/policy/route"
	"github.com/jayloom/jayloom/proxy/wire"
)

// statement is a prepared statement of a caller. It is prepared again on each upstream
// connection where it is needed, under a name that the proxy chooses.
type statement struct {
	name         string
	upstreamName string
	sql          string
	// tail is the body of the Parse message after the name.
	tail    []byte
	tag     route.Tag
	local   localCommand
	isLocal bool
}

// batchMessage is one message of an extended-protocol batch.
type batchMessage struct {
	kind byte
	// target is 'S' (statement) or 'P' (portal) for Describe and Close.
	target byte
	name   string
	// stmt is the statement that the message refers to, or nil.
	stmt *statement
	// existing is the statement that already has the name of a Parse.
	existing *statement
	// unknownName is sent in place of a name that the caller has not defined.
	unknownName string
	// raw is the whole message; tail is what follows the statement's name.
	raw  []byte
	tail []byte
}

func truncatedMessageError() *rescode.Error {
	return malformed("a message of the extended protocol is truncated")
}

// newBatchMessage decodes the parts of an extended-protocol message that the proxy
// needs. Everything is copied, because the batch outlives the reader's buffer.
func (s *caller) newBatchMessage(frame wire.Frame) (batchMessage, *rescode.Error) {
	raw := bytes.Clone(frame.Raw)
	m := batchMessage{kind: frame.Type, raw: raw}
	body := wire.Frame{Raw: raw}.Body()
	switch frame.Type {
	case 'P':
		return s.decodeParse(m, body)
	case 'B':
		return s.decodeBind(m, body)
	case 'D', 'C':
		return s.decodeDescribeOrClose(m, body)
	default:
		portal, _, ok := cutString(body)
		if !ok {
			return m, truncatedMessageError()
		}
		m.name = portal
		m.stmt = s.portals[portal]
		return m, nil
	}
}

func (s *caller) decodeParse(m batchMessage, body []byte) (batchMessage, *rescode.Error) {
	name, tail, ok := cutString(body)
	if !ok {
		return m, truncatedMessageError()
	}
	sql, _, ok := cutString(tail)
	if !ok {
		return m, truncatedMessageError()
	}
	tag, refused := route.ParseTag(sql)
	if refused != nil {
		return m, refused
	}
	m.name = name
	m.stmt = &statement{name: name, sql: sql, tail: tail, tag: tag}
	m.stmt.local, m.stmt.isLocal = parseLocalCommand(sql)
	if name != "" {
		m.existing = s.statement(name)
		s.nextName++
		m.stmt.upstreamName = "jl" + strconv.Itoa(s.nextName)
	}
	if m.existing != nil {
		// The upstream must report the duplicate, so the Parse reuses its name there.
		m.stmt.upstreamName = m.existing.upstreamName
		return m, nil
	}
	if refused := s.checkStatementLimit(m.stmt); refused != nil {
		return m, refused
	}
	s.batch.define(name, m.stmt)
	return m, nil
}

func (s *caller) decodeBind(m batchMessage, body []byte) (batchMessage, *rescode.Error) {
	portal, rest, ok := cutString(body)
	if !ok {
		return m, truncatedMessageError()
	}
	name, tail, ok := cutString(rest)
	if !ok {
		return m, truncatedMessageError()
	}
	m.name, m.tail = portal, tail
	m.stmt = s.statement(name)
	m.unknownName = unknownName(name)
	if s.portals == nil {
		s.portals = map[string]*statement{}
	}
	s.portals[portal] = m.stmt
	return m, nil
}

func (s *caller) decodeDescribeOrClose(m batchMessage, body []byte) (batchMessage, *rescode.Error) {
	if len(body) < 2 {
		return m, truncatedMessageError()
	}
	name, _, ok := cutString(body[1:])
	if !ok {
		return m, truncatedMessageError()
	}
	m.target, m.name = body[0], name
	if m.target != 'S' {
		m.stmt = s.portals[name]
		return m, nil
	}
	m.stmt = s.statement(name)
	m.unknownName = unknownName(name)
	if m.kind == 'C' {
		s.batch.define(name, nil)
	}
	return m, nil
}

// unknownName returns a name that no statement has on an upstream. A caller must not
// reach the names that the proxy chooses by guessing them.
func unknownName(name string) string {
	return name + "?"
}

// statement returns the statement with the caller's name for it. The open batch takes
// precedence.
func (s *caller) statement(name string) *statement {
	if stmt, ok := s.batch.defined[name]; ok {
		return stmt
	}
	return s.statements.get(name)
}

// hasPrepared reports whether a statement is prepared on a connection.
func (c *upstreamConn) hasPrepared(stmt *statement) bool {
	if stmt.name == "" {
		return c.unnamed == stmt
	}
	return c.prepared[stmt.upstreamName]
}

// recordPrepared records that a statement is prepared on the connection.
func (c *upstreamConn) recordPrepared(stmt *statement) {
	if stmt.name == "" {
		c.unnamed = stmt
		return
	}
	c.prepared[stmt.upstreamName] = true
}

// expectedAnswer describes the answer that is expected to one message.
type expectedAnswer struct {
	// kind is the type of the message, or 'd' for Describe of a statement.
	kind byte
	// internal marks a message that the proxy added; its answer is not forwarded.
	internal bool
	stmt     *statement
	message  *batchMessage
}

// batchEncoder encodes a batch for one connection.
type batchEncoder struct {
	conn     *upstreamConn
	expected []expectedAnswer
	// prepared holds the named statements that the batch has prepared so far; unnamed is
	// the unnamed one.
	prepared map[*statement]bool
	unnamed  *statement
}

// encodeBatch appends the messages of a request to the connection's output. It adds
// Parse messages for statements that are not prepared on the connection.
func (s *caller) encodeBatch(conn *upstreamConn, r *request) []expectedAnswer {
	e := &batchEncoder{conn: conn, unnamed: conn.unnamed}
	for i := range r.messages {
		e.encode(&r.messages[i])
	}
	if r.sync {
		conn.out.Raw(syncMessage)
		e.expected = append(e.expected, expectedAnswer{kind: 'S'})
	} else {
		conn.out.Raw(flushMessage)
	}
	return e.expected
}

var (
	syncMessage  = []byte{'S', 0, 0, 0, 4}
	flushMessage = []byte{'H', 0, 0, 0, 4}
)

func (e *batchEncoder) encode(m *batchMessage) {
	switch {
	case m.kind == 'P':
		if m.existing != nil {
			e.prepare(m.existing)
		}
		e.parse(m.stmt, false, m)
	case m.kind == 'B':
		name := m.unknownName
		if m.stmt != nil {
			e.prepare(m.stmt)
			name = m.stmt.upstreamName
		}
		e.message('B', m.name, name, m.tail)
		e.expected = append(e.expected, expectedAnswer{kind: 'B', message: m})
	case m.target == 'S':
		name := m.unknownName
		if m.stmt != nil {
			name = m.stmt.upstreamName
			if m.kind == 'D' {
				e.prepare(m.stmt)
			}
		}
		e.message(m.kind, "S"+name, "", nil)
		e.expected = append(e.expected, expectedAnswer{kind: describeKind(m), stmt: m.stmt, message: m})
	default:
		e.conn.out.Raw(m.raw)
		e.expected = append(e.expected, expectedAnswer{kind: describeKind(m), message: m})
	}
}

func describeKind(m *batchMessage) byte {
	if m.kind == 'D' && m.target == 'S' {
		return 'd'
	}
	return m.kind
}

// prepare adds a Parse for a statement that is not prepared on the connection.
func (e *batchEncoder) prepare(stmt *statement) {
	if stmt.name == "" && e.unnamed == stmt {
		return
	}
	if stmt.name != "" && (e.prepared[stmt] || e.conn.hasPrepared(stmt)) {
		return
	}
	e.parse(stmt, true, nil)
}

func (e *batchEncoder) parse(stmt *statement, internal bool, m *batchMessage) {
	e.message('P', stmt.upstreamName, "", stmt.tail)
	e.expected = append(e.expected, expectedAnswer{kind: 'P', internal: internal, stmt: stmt, message: m})
	if stmt.name == "" {
		e.unnamed = stmt
		return
	}
	if e.prepared == nil {
		e.prepared = map[*statement]bool{}
	}
	e.prepared[stmt] = true
}

// message writes a message of one or two strings and a tail. Only Bind has two; for
// other messages second is ignored.
func (e *batchEncoder) message(kind byte, first, second string, tail []byte) {
	var header [5]byte
	length := 4 + len(first) + 1 + len(tail)
	if kind == 'B' {
		length += len(second) + 1
	}
	header[0] = kind
	binary.BigEndian.PutUint32(header[1:], uint32(length))
	out := e.conn.out
	out.Raw(header[:])
	out.String(first)
	if kind == 'B' {
		out.String(second)
	}
	out.Raw(tail)
}
