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
// the write's own transaction, so that it is there exactly if the write is.
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

func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// identityRefusal says why a request may not carry an identity.
func (s *caller) identityRefusal(r *request) *rescode.Error {
	if r.messages != nil || s.bound != nil || len(r.statements) != 1 || !isSingle(r.statements[0]) {
		return rescode.New(rescode.RequestIdentityUnsupported, "")
	}
	switch word, _ := firstWord(r.statements[0]); word {
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		return nil
	default:
		return rescode.New(rescode.RequestIdentityUnsupported, "only INSERT, UPDATE, DELETE and MERGE")
	}
}

// identified reports whether a request is run under its identity.
func (r *request) identified() bool {
	return r.tag.RequestID != "" && !r.plan.Read
}

// statementHash identifies a statement without its tag, which a resend may write in
// another order.
func statementHash(sql string) string {
	sum := sha256.Sum256([]byte(strings.TrimRight(skipBlanks(stripTrailingComment(sql)), "; \t\r\n")))
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

// identity runs one write under its request identity. The steps are three flushes:
// begin and look up, the write, and record and commit.
type identity struct {
	x                    *exchange
	team, name, hash     string
	tag                  string
	recordedHash, before string
}

var errNoIdentityTable = errors.New("the table of request identities is missing")

// runIdentified takes the place of forwarding for a request with an identity.
func (x *exchange) runIdentified() error {
	id := &identity{x: x, team: quote(x.caller.team), name: quote(x.r.tag.RequestID), hash: statementHash(x.r.statements[0])}
	found, err := id.begin()
	if errors.Is(err, errNoIdentityTable) {
		if answer, createErr := ask(x.conn, sqlIdentityTable); createErr != nil || answer.failed {
			return errors.CombineErrors(createErr, err)
		}
		found, err = id.begin()
	}
	if err != nil {
		return err
	}
	if found {
		return id.repeat()
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

// begin opens the transaction and claims the identity. It reports whether the write
// was recorded before. A claim by another caller is waited for.
func (id *identity) begin() (bool, error) {
	conn := id.x.conn
	conn.query("BEGIN")
	conn.query(fmt.Sprintf(sqlIdentityInsert, id.team, id.name, quote(id.hash)))
	conn.query(fmt.Sprintf(sqlIdentitySelect, id.team, id.name))
	if _, err := conn.send(); err != nil {
		return false, err
	}
	var answers [3]internalAnswer
	for i := range answers {
		var err error
		if answers[i], err = readInternal(conn); err != nil {
			return false, err
		}
	}
	if answers[1].sqlState == undefinedTable {
		if _, err := ask(conn, "ROLLBACK"); err != nil {
			return false, err
		}
		return false, errNoIdentityTable
	}
	claimed := answers[1].tag == "INSERT 0 1"
	if answers[2].failed || len(answers[2].columns) != 2 {
		return false, errors.New("the request identity could not be looked up")
	}
	id.recordedHash, id.before = answers[2].columns[0], answers[2].columns[1]
	return !claimed, nil
}

// repeat answers a write that was done before with its recorded tag.
func (id *identity) repeat() error {
	x := id.x
	answer, err := ask(x.conn, "ROLLBACK")
	if err != nil {
		return err
	}
	x.caller.tx, x.readyReceived = answer.txStatus, true
	if id.recordedHash != id.hash {
		return rescode.New(rescode.RequestIdentityReused, "request %q", x.r.tag.RequestID)
	}
	return id.complete(id.before)
}

// complete sends the command tag and lets the exchange acknowledge it.
func (id *identity) complete(tag string) error {
	x := id.x
	x.holdFrom = x.caller.out.Pending()
	x.completed, x.effects.writes = 1, true
	x.caller.out.Message(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// write runs the caller's statement and holds back its command tag. It reports
// whether the statement failed.
func (id *identity) write() (bool, error) {
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

// rollBack ends the transaction of a failed write; its identity stays unused.
func (id *identity) rollBack() error {
	answer, err := ask(id.x.conn, "ROLLBACK")
	if err != nil {
		return err
	}
	id.x.caller.tx, id.x.readyReceived = answer.txStatus, true
	return nil
}

func (id *identity) commit() error {
	x := id.x
	x.conn.query(fmt.Sprintf(sqlIdentityUpdate, quote(id.tag), id.team, id.name))
	x.conn.query("COMMIT")
	x.commitSent = true
	if _, err := x.conn.send(); err != nil {
		return err
	}
	update, err := readInternal(x.conn)
	if err != nil {
		return err
	}
	answer, err := readInternal(x.conn)
	if err != nil {
		return err
	}
	if update.failed || answer.failed || answer.tag != "COMMIT" {
		return errors.New("the write and its request identity were not committed")
	}
	x.caller.tx, x.readyReceived = answer.txStatus, true
	return id.complete(id.tag)
}
