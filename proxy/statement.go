package proxy

import (
	"bytes"
	"encoding/binary"
	"strconv"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/policy/route"
	"github.com/jayloom/jayloom/proxy/wire"
)

// statement is a prepared statement of a caller. It is parsed again on each
// connection where it is needed, under a name that the proxy chooses.
type statement struct {
	name     string
	upstreamName string
	sql      string
	// tail is the Parse message behind the name.
	tail    []byte
	tag     route.Tag
	local   localCommand
	isLocal bool
}

// batchMessage is one message of an extended batch.
type batchMessage struct {
	kind byte
	// target is 'S' or 'P' for Describe and Close.
	target byte
	name   string
	// stmt is the statement that the message names, nil when there is none.
	stmt *statement
	// existing is the statement of the same name that a Parse finds.
	existing *statement
	// unknownName is sent in place of a name that the caller has not defined.
	unknownName string
	// raw is the whole message; tail is what follows the statement's name.
	raw  []byte
	tail []byte
}

func truncatedMessageError() *rescode.Error {
	return malformed("a message of the extended protocol is cut short")
}

// newBatchMessage reads a message of the extended protocol as far as the proxy needs it.
// Everything is copied, because the batch outlives the reader's buffer.
func (s *caller) newBatchMessage(frame wire.Frame) (batchMessage, *rescode.Error) {
	raw := bytes.Clone(frame.Raw)
	it := batchMessage{kind: frame.Type, raw: raw}
	body := wire.Frame{Raw: raw}.Body()
	switch frame.Type {
	case 'P':
		return s.decodeParse(it, body)
	case 'B':
		return s.decodeBind(it, body)
	case 'D', 'C':
		return s.decodeDescribeOrClose(it, body)
	default:
		portal, _, ok := cutString(body)
		if !ok {
			return it, truncatedMessageError()
		}
		it.name = portal
		it.stmt = s.portals[portal]
		return it, nil
	}
}

func (s *caller) decodeParse(it batchMessage, body []byte) (batchMessage, *rescode.Error) {
	name, tail, ok := cutString(body)
	if !ok {
		return it, truncatedMessageError()
	}
	sql, _, ok := cutString(tail)
	if !ok {
		return it, truncatedMessageError()
	}
	tag, refused := route.ParseTag(sql)
	if refused != nil {
		return it, refused
	}
	it.name = name
	it.stmt = &statement{name: name, sql: sql, tail: tail, tag: tag}
	it.stmt.local, it.stmt.isLocal = parseLocal(sql)
	if name != "" {
		it.existing = s.statement(name)
		s.nextName++
		it.stmt.upstreamName = "jl" + strconv.Itoa(s.nextName)
	}
	if it.existing != nil {
		// The upstream reports the duplicate, under the name that it knows.
		it.stmt.upstreamName = it.existing.upstreamName
		return it, nil
	}
	if refused := s.checkRoom(it.stmt); refused != nil {
		return it, refused
	}
	s.batch.define(name, it.stmt)
	return it, nil
}

func (s *caller) decodeBind(it batchMessage, body []byte) (batchMessage, *rescode.Error) {
	portal, rest, ok := cutString(body)
	if !ok {
		return it, truncatedMessageError()
	}
	name, tail, ok := cutString(rest)
	if !ok {
		return it, truncatedMessageError()
	}
	it.name, it.tail = portal, tail
	it.stmt = s.statement(name)
	it.unknownName = unknownName(name)
	if s.portals == nil {
		s.portals = map[string]*statement{}
	}
	s.portals[portal] = it.stmt
	return it, nil
}

func (s *caller) decodeDescribeOrClose(it batchMessage, body []byte) (batchMessage, *rescode.Error) {
	if len(body) < 2 {
		return it, truncatedMessageError()
	}
	name, _, ok := cutString(body[1:])
	if !ok {
		return it, truncatedMessageError()
	}
	it.target, it.name = body[0], name
	if it.target != 'S' {
		it.stmt = s.portals[name]
		return it, nil
	}
	it.stmt = s.statement(name)
	it.unknownName = unknownName(name)
	if it.kind == 'C' {
		s.batch.define(name, nil)
	}
	return it, nil
}

// unknownName is a name that no statement has on an upstream: the names that the
// proxy chooses must not be reachable by guessing.
func unknownName(name string) string {
	return name + "?"
}

// statement finds a statement by the caller's name, in the open batch first.
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

// recordPrepared records that a statement was prepared.
func (c *upstreamConn) recordPrepared(stmt *statement) {
	if stmt.name == "" {
		c.unnamed = stmt
		return
	}
	c.prepared[stmt.upstreamName] = true
}

// expectedAnswer is the answer to one message that was sent.
type expectedAnswer struct {
	// kind is the type of the message, or 'd' for Describe of a statement.
	kind byte
	// internal says that the proxy added the message, so that its answer is dropped.
	internal  bool
	stmt *statement
	message *batchMessage
}

// batchEncoder writes a batch for one connection.
type batchEncoder struct {
	conn   *upstreamConn
	expected []expectedAnswer
	// prepared are the statements that the batch itself prepares before this point.
	prepared map[*statement]bool
	unnamed *statement
}

// encodeBatch appends the messages of a request, with Parse messages for the
// statements that the connection does not have.
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

func (e *batchEncoder) encode(it *batchMessage) {
	switch {
	case it.kind == 'P':
		if it.existing != nil {
			e.prepare(it.existing)
		}
		e.parse(it.stmt, false, it)
	case it.kind == 'B':
		name := it.unknownName
		if it.stmt != nil {
			e.prepare(it.stmt)
			name = it.stmt.upstreamName
		}
		e.message('B', it.name, name, it.tail)
		e.expected = append(e.expected, expectedAnswer{kind: 'B', message: it})
	case it.target == 'S':
		name := it.unknownName
		if it.stmt != nil {
			name = it.stmt.upstreamName
			if it.kind == 'D' {
				e.prepare(it.stmt)
			}
		}
		e.message(it.kind, "S"+name, "", nil)
		e.expected = append(e.expected, expectedAnswer{kind: describeKind(it), stmt: it.stmt, message: it})
	default:
		e.conn.out.Raw(it.raw)
		e.expected = append(e.expected, expectedAnswer{kind: describeKind(it), message: it})
	}
}

func describeKind(it *batchMessage) byte {
	if it.kind == 'D' && it.target == 'S' {
		return 'd'
	}
	return it.kind
}

// prepare adds a Parse for a statement that the connection does not have.
func (e *batchEncoder) prepare(stmt *statement) {
	if stmt.name == "" && e.unnamed == stmt {
		return
	}
	if stmt.name != "" && (e.prepared[stmt] || e.conn.hasPrepared(stmt)) {
		return
	}
	e.parse(stmt, true, nil)
}

func (e *batchEncoder) parse(stmt *statement, internal bool, it *batchMessage) {
	e.message('P', stmt.upstreamName, "", stmt.tail)
	e.expected = append(e.expected, expectedAnswer{kind: 'P', internal: internal, stmt: stmt, message: it})
	if stmt.name == "" {
		e.unnamed = stmt
		return
	}
	if e.prepared == nil {
		e.prepared = map[*statement]bool{}
	}
	e.prepared[stmt] = true
}

// message writes a message of one or two strings and a tail. Bind has two; for the
// others second is left out.
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
