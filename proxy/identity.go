package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/proxy/wire"
)

// Statements around a write with a request identity. The identity is inserted in
// the write's own transaction, so that both are committed or neither is.
const (
	sqlIdentityTable = "CREATE TABLE IF NOT EXISTS jayloom_request " +
		"(team text, identity text, hash text, tag text, PRIMARY KEY (team, identity))"
	sqlIdentityInsert = "INSERT INTO jayloom_request (team, identity, hash, tag) " +
		"VALUES (%s, %s, %s, '') ON CONFLICT DO NOTHING"
	sqlIdentitySelect = "SELECT hash, tag FROM jayloom_request WHERE team = %s AND identity = %s"
	sqlIdentityUpdate = "UPDATE jayloom_request SET tag = %s WHERE team = %s AND identity = %s"
)

// undefinedTable is the SQLSTATE of a missing table.
const undefinedTable = "42P01"

// quoteLiteral returns text as a literal that does not depend on the setting standard_conforming_strings, which
// callers may change.
func quoteLiteral(text string) string {
	quoted := "'" + strings.ReplaceAll(text, "'", "''") + "'"
	if !strings.Contains(text, `\`) {
		return quoted
	}
	return "E" + strings.ReplaceAll(quoted, `\`, `\\`)
}

// checkIdentity returns an error if the request's kind does not support a request
// identity.
func (s *caller) checkIdentity(r *request) *rescode.Error {
	if r.messages != nil || s.txConn != nil || len(r.statements) != 1 || !isSingleStatement(r.statements[0]) {
		return rescode.New(rescode.RequestIdentityUnsupported, "")
	}
	switch word, _ := firstWord(r.statements[0]); word {
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		return nil
	default:
		return rescode.New(rescode.RequestIdentityUnsupported, "only INSERT, UPDATE, DELETE and MERGE")
	}
}

// hasIdentity reports whether the request is a write with a request identity.
func (r *request) hasIdentity() bool {
	return r.tag.RequestID != "" && !r.plan.Read
}

// statementHash hashes a statement without its tag, whose fields a client may write in
// another order when it sends the statement again.
func statementHash(sql string) string {
	sum := sha256.Sum256([]byte(strings.TrimRight(skipSpaceAndComments(stripTrailingComment(sql)), "; \t\r\n")))
	return hex.EncodeToString(sum[:])
}

func stripTrailingComment(sql string) string {
	trimmed := strings.TrimRight(sql, "; \t\r\n")
	if strings.HasSuffix(trimmed, "*/") {
		if start := strings.LastIndex(trimmed, "/*"); start >= 0 {
			return trimmed[:start]
		}
	}
	return sql
}

// identifiedWrite runs one write under its request identity, in three flushes: begin and
// look up, the write, and record and commit.
type identifiedWrite struct {
	x                         *exchange
	team, name, hash          string
	tag                       string
	recordedHash, recordedTag string
}

var errNoIdentityTable = errors.New("table jayloom_request does not exist")

// runIdentifiedWrite replaces the usual forwarding for a write with a request identity.
func (x *exchange) runIdentifiedWrite() error {
	id := &identifiedWrite{x: x, team: quoteLiteral(x.caller.team), name: quoteLiteral(x.r.tag.RequestID), hash: statementHash(x.r.statements[0])}
	found, err := id.begin()
	if errors.Is(err, errNoIdentityTable) {
		if answer, createErr := runInternal(x.conn, sqlIdentityTable); createErr != nil || answer.failed {
			return errors.CombineErrors(createErr, err)
		}
		found, err = id.begin()
	}
	if err != nil {
		return err
	}
	if found {
		return id.replay()
	}
	failed, err := id.write()
	if err != nil {
		return err
	}
	if failed {
		return id.rollBack()
	}
	return id.commit()
}

// begin opens the transaction and inserts the identity. It reports whether the write was
// recorded before. The insert waits for a concurrent one of the same identity.
func (id *identifiedWrite) begin() (bool, error) {
	conn := id.x.conn
	conn.query("BEGIN")
	conn.query(fmt.Sprintf(sqlIdentityInsert, id.team, id.name, quoteLiteral(id.hash)))
	conn.query(fmt.Sprintf(sqlIdentitySelect, id.team, id.name))
	if _, err := conn.send(); err != nil {
		return false, err
	}
	var answers [3]internalResult
	for i := range answers {
		var err error
		if answers[i], err = readInternalResult(conn); err != nil {
			return false, err
		}
	}
	if answers[1].sqlState == undefinedTable {
		if _, err := runInternal(conn, "ROLLBACK"); err != nil {
			return false, err
		}
		return false, errNoIdentityTable
	}
	inserted := answers[1].tag == "INSERT 0 1"
	if answers[2].failed || len(answers[2].columns) != 2 {
		return false, errors.New("cannot look up the request identity")
	}
	id.recordedHash, id.recordedTag = answers[2].columns[0], answers[2].columns[1]
	return !inserted, nil
}

// replay answers a write that was committed before with its recorded command tag.
func (id *identifiedWrite) replay() error {
	x := id.x
	answer, err := runInternal(x.conn, "ROLLBACK")
	if err != nil {
		return err
	}
	x.caller.tx, x.readyReceived = answer.txStatus, true
	if id.recordedHash != id.hash {
		return rescode.New(rescode.RequestIdentityReused, "request %q", x.r.tag.RequestID)
	}
	return id.complete(id.recordedTag)
}

// complete sends the command tag and lets the exchange acknowledge the write.
func (id *identifiedWrite) complete(tag string) error {
	x := id.x
	x.holdFrom = x.caller.out.Pending()
	x.completed, x.effects.writes = 1, true
	x.caller.out.Message(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// write runs the caller's statement and holds back its command tag. It reports whether
// the statement failed.
func (id *identifiedWrite) write() (bool, error) {
	x := id.x
	x.conn.out.Raw(x.r.raw)
	if _, err := x.conn.send(); err != nil {
		return false, err
	}
	for {
		frame, err := x.conn.rd.Next()
		if err != nil {
			return false, err
		}
		switch frame.Type {
		case 'Z':
			return x.failed, nil
		case 'C':
			id.tag = string(wire.Frame{Raw: frame.Raw}.Body()[:len(frame.Body())-1])
		case 'E':
			x.failed = true
			x.caller.out.Raw(frame.Raw)
		default:
			if x.caller.out.Pending() > maxHeldBytes {
				return false, errHeldAnswerTooLarge
			}
			x.caller.out.Raw(frame.Raw)
		}
	}
}

// rollBack ends the transaction of a failed write. Its identity stays unused.
func (id *identifiedWrite) rollBack() error {
	answer, err := runInternal(id.x.conn, "ROLLBACK")
	if err != nil {
		return err
	}
	id.x.caller.tx, id.x.readyReceived = answer.txStatus, true
	return nil
}

func (id *identifiedWrite) commit() error {
	x := id.x
	x.conn.query(fmt.Sprintf(sqlIdentityUpdate, quoteLiteral(id.tag), id.team, id.name))
	x.conn.query("COMMIT")
	x.commitSent = true
	if _, err := x.conn.send(); err != nil {
		return err
	}
	update, err := readInternalResult(x.conn)
	if err != nil {
		return err
	}
	answer, err := readInternalResult(x.conn)
	if err != nil {
		return err
	}
	if update.failed || answer.failed || answer.tag != "COMMIT" {
		return errors.New("the write and its request identity were not committed")
	}
	x.caller.tx, x.readyReceived = answer.txStatus, true
	return id.complete(id.tag)
}
