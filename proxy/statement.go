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
	upstream string
	sql      string
	// tail is the Parse message behind the name.
	tail    []byte
	tag     route.Tag
	local   localCommand
	isLocal bool
}

// item is one message of an extended batch.
type item struct {
	kind byte
	// target is 'S' or 'P' for Describe and Close.
	target byte
	name   string
	// stmt is the statement that the message names, nil when there is none.
	stmt *statement
	// existing is the statement of the same name that a Parse finds.
	existing *statement
	// unknown is sent in place of a name that the caller has not defined.
	unknown string
	// raw is the whole message; tail is what follows the statement's name.
	raw  []byte
	tail []byte
}

func truncated() *rescode.Error {
	return malformed("a message of the extended protocol is cut short")
}

// newItem reads a message of the extended protocol as far as the proxy needs it.
// Everything is copied, because the batch outlives the reader's buffer.
func (s *caller) newItem(frame wire.Frame) (item, *rescode.Error) {
	raw := bytes.Clone(frame.Raw)
	it := item{kind: frame.Type, raw: raw}
	body := wire.Frame{Raw: raw}.Body()
	switch frame.Type {
	case 'P':
		return s.parseItem(it, body)
	case 'B':
		return s.bindItem(it, body)
	case 'D', 'C':
		return s.namedItem(it, body)
	default:
		portal, _, ok := cutString(body)
		if !ok {
			return it, truncated()
		}
		it.name = portal
		it.stmt = s.portals[portal]
		return it, nil
	}
}

func (s *caller) parseItem(it item, body []byte) (item, *rescode.Error) {
	name, tail, ok := cutString(body)
	if !ok {
		return it, truncated()
	}
	sql, _, ok := cutString(tail)
	if !ok {
		return it, truncated()
	}
	tag, refused := route.ParseTag(sql)
	if refused != nil {
		return it, refused
	}
	it.name = name
	it.stmt = &statement{name: name, sql: sql, tail: tail, tag: tag}
	it.stmt.local, it.stmt.isLocal = parseLocalCommand(sql)
	if name != "" {
		it.existing = s.statement(name)
		s.nextName++
		it.stmt.upstream = "jl" + strconv.Itoa(s.nextName)
	}
	if it.existing != nil {
		// The upstream reports the duplicate, under the name that it knows.
		it.stmt.upstream = it.existing.upstream
		return it, nil
	}
	if refused := s.checkStatementLimit(it.stmt); refused != nil {
		return it, refused
	}
	s.batch.define(name, it.stmt)
	return it, nil
}

func (s *caller) bindItem(it item, body []byte) (item, *rescode.Error) {
	portal, rest, ok := cutString(body)
	if !ok {
		return it, truncated()
	}
	name, tail, ok := cutString(rest)
	if !ok {
		return it, truncated()
	}
	it.name, it.tail = portal, tail
	it.stmt = s.statement(name)
	it.unknown = unknownName(name)
	if s.portals == nil {
		s.portals = map[string]*statement{}
	}
	s.portals[portal] = it.stmt
	return it, nil
}

func (s *caller) namedItem(it item, body []byte) (item, *rescode.Error) {
	if len(body) < 2 {
		return it, truncated()
	}
	name, _, ok := cutString(body[1:])
	if !ok {
		return it, truncated()
	}
	it.target, it.name = body[0], name
	if it.target != 'S' {
		it.stmt = s.portals[name]
		return it, nil
	}
	it.stmt = s.statement(name)
	it.unknown = unknownName(name)
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

// has reports whether a statement is prepared on a connection.
func (c *upstreamConn) has(stmt *statement) bool {
	if stmt.name == "" {
		return c.unnamed == stmt
	}
	return c.prepared[stmt.upstream]
}

// note records that a statement was prepared.
func (c *upstreamConn) note(stmt *statement) {
	if stmt.name == "" {
		c.unnamed = stmt
		return
	}
	c.prepared[stmt.upstream] = true
}

// expectation is the answer to one message that was sent.
type expectation struct {
	// kind is the type of the message, or 'd' for Describe of a statement.
	kind byte
	// own says that the proxy added the message, so that its answer is dropped.
	own  bool
	stmt *statement
	item *item
}

// batchEncoder writes a batch for one connection.
type batchEncoder struct {
	conn   *upstreamConn
	expect []expectation
	// planned are the statements that the batch itself prepares before this point.
	planned map[*statement]bool
	unnamed *statement
}

// encodeBatch appends the messages of a request, with Parse messages for the
// statements that the connection does not have.
func (s *caller) encodeBatch(conn *upstreamConn, r *request) []expectation {
	e := &batchEncoder{conn: conn, unnamed: conn.unnamed}
	for i := range r.items {
		e.encode(&r.items[i])
	}
	if r.sync {
		conn.out.Raw(syncMessage)
		e.expect = append(e.expect, expectation{kind: 'S'})
	} else {
		conn.out.Raw(flushMessage)
	}
	return e.expect
}

var (
	syncMessage  = []byte{'S', 0, 0, 0, 4}
	flushMessage = []byte{'H', 0, 0, 0, 4}
)

func (e *batchEncoder) encode(it *item) {
	switch {
	case it.kind == 'P':
		if it.existing != nil {
			e.prepare(it.existing)
		}
		e.parse(it.stmt, false, it)
	case it.kind == 'B':
		name := it.unknown
		if it.stmt != nil {
			e.prepare(it.stmt)
			name = it.stmt.upstream
		}
		e.message('B', it.name, name, it.tail)
		e.expect = append(e.expect, expectation{kind: 'B', item: it})
	case it.target == 'S':
		name := it.unknown
		if it.stmt != nil {
			name = it.stmt.upstream
			if it.kind == 'D' {
				e.prepare(it.stmt)
			}
		}
		e.message(it.kind, "S"+name, "", nil)
		e.expect = append(e.expect, expectation{kind: describeKind(it), stmt: it.stmt, item: it})
	default:
		e.conn.out.Raw(it.raw)
		e.expect = append(e.expect, expectation{kind: describeKind(it), item: it})
	}
}

func describeKind(it *item) byte {
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
	if stmt.name != "" && (e.planned[stmt] || e.conn.has(stmt)) {
		return
	}
	e.parse(stmt, true, nil)
}

func (e *batchEncoder) parse(stmt *statement, own bool, it *item) {
	e.message('P', stmt.upstream, "", stmt.tail)
	e.expect = append(e.expect, expectation{kind: 'P', own: own, stmt: stmt, item: it})
	if stmt.name == "" {
		e.unnamed = stmt
		return
	}
	if e.planned == nil {
		e.planned = map[*statement]bool{}
	}
	e.planned[stmt] = true
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
