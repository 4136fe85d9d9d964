package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/api/rescode"
)

// sessionSetting carries the session token: the proxy reports it as ParameterStatus,
// and the client presents it as a startup option or with SET.
const sessionSetting = "jayloom.session"

// session is one client session of a team. It has one connection at a time and keeps
// its last write across connections.
type session struct {
	run    *run
	team   *teamState
	name   string
	slot   int
	random *rand.Rand

	conn      *pgconn.PgConn
	target    int
	moveCount uint64 // the team's move count when the connection was opened
	token     string
	// tokenPresented is set once the connection has presented a token, so that its
	// reads may rely on the positions in it.
	tokenPresented bool
	writeCount     int
	lastWrite      *writeIntent
}

func newSession(r *run, team *teamState, index int) *session {
	s := &session{
		run:    r,
		team:   team,
		name:   fmt.Sprintf("%s-%s-%d", r.id, team.Name, index),
		slot:   (team.index + index) % r.profile.Slots(),
		random: rand.New(rand.NewPCG(r.config.Seed, uint64(team.index)<<32|uint64(index))),
	}
	s.target = s.random.IntN(len(r.config.Targets))
	return s
}

// processQueue runs the team's queued arrivals until the queue is closed.
func (s *session) processQueue(ctx context.Context) {
	for a := range s.team.queue {
		s.run.recorder.add(s.runRequest(ctx, a))
	}
	s.disconnect()
}

func (s *session) runRequest(ctx context.Context, a arrival) record {
	rec := record{team: s.team.index, kind: a.kind, group: s.run.profile.groupOf(s.slot), scheduled: a.at}
	rec.dequeued = s.run.elapsed()
	ctx, cancel := context.WithDeadline(ctx, s.run.start.Add(a.at+s.run.config.RequestTimeout))
	defer cancel()
	rec.sent = s.run.elapsed()
	if err := s.connect(ctx); err != nil {
		rec.done = s.run.elapsed()
		rec.setError(err, false)
		return rec
	}
	rec.sent = s.run.elapsed()
	err := s.executeStatement(ctx, &rec)
	rec.done = s.run.elapsed()
	if err != nil {
		rec.setError(err, true)
	}
	s.updateState(&rec)
	return rec
}

// updateState stores the token and the last write for later requests of the session.
func (s *session) updateState(rec *record) {
	if s.conn == nil || s.conn.IsClosed() {
		s.conn = nil
	} else if token := s.conn.ParameterStatus(sessionSetting); token != "" {
		s.token = token
	}
	switch {
	case rec.kind.isWrite() && rec.outcome == Answered && rec.intent.rowID != "":
		s.lastWrite = rec.intent
	case rec.code == rescode.SessionPositionLost:
		// The loss was reported to the session, which continues without the lost
		// write.
		s.lastWrite, s.token = nil, ""
		s.disconnect()
	case rec.code == rescode.SessionTokenInvalid:
		s.token = ""
	case rec.rowMissing:
		s.lastWrite = nil
	}
	s.presentToken()
}

// sessionIdentityLength is the length of a token that holds only the session identity
// and no positions. A proxy reports it before the session's first write.
const sessionIdentityLength = 32

func (s *session) hasPositions() bool {
	return s.run.config.SessionTokens && len(s.token) > sessionIdentityLength
}

// presentToken sends the first token that a connection received back to its proxy. The
// session has no other connection, so this token is the newest.
func (s *session) presentToken() {
	if s.conn == nil || s.tokenPresented || !s.hasPositions() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.tokenPresented = true
	if _, err := s.conn.Exec(ctx, "SET "+sessionSetting+" = '"+s.token+"'").ReadAll(); err != nil {
		s.disconnect()
	}
}

func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// An error means that the connection is already closed, as intended.
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// connect opens a connection if there is none, if the session reconnects at random,
// or if the team was moved to another target.
func (s *session) connect(ctx context.Context) error {
	target, moves := s.team.currentTarget()
	reconnects := target < 0 && s.random.Float64() < s.run.config.ReconnectProbability
	if s.conn != nil && !reconnects && moves == s.moveCount {
		return nil
	}
	s.disconnect()
	s.moveCount = moves
	switch {
	case target >= 0:
		s.target = target
	default:
		// Picks a random target, so that a session that lost its proxy may reach
		// another, as behind a load balancer.
		s.target = s.random.IntN(len(s.run.config.Targets))
	}
	config, err := s.run.config.connectionConfig(s.run.config.Targets[s.target], s.run.profile.Service, s.team.Team)
	if err != nil {
		return err
	}
	s.tokenPresented = s.hasPositions()
	if s.token != "" && s.run.config.SessionTokens {
		config.RuntimeParams["options"] = "-c " + sessionSetting + "=" + s.token
	}
	s.conn, err = pgconn.ConnectConfig(ctx, config)
	return err
}

func (s *session) executeStatement(ctx context.Context, rec *record) error {
	switch rec.kind {
	case ReadYourWrites:
		return s.readOwnWrite(ctx, rec)
	case Write:
		return s.insertRow(ctx, rec)
	case TransactionWrite:
		return s.insertInTransaction(ctx, rec)
	case ClockUpdate:
		return s.updateClockRow(ctx, rec)
	}
	return s.readLookup(ctx, rec)
}

func (s *session) readLookup(ctx context.Context, rec *record) error {
	if s.random.Float64() < clockReadShare {
		return s.readClockRow(ctx, rec)
	}
	i := s.random.IntN(lookupRowCount)
	results, err := s.conn.Exec(ctx, s.run.profile.lookupStatement(lookupCode(i), s.slot)).ReadAll()
	if err != nil {
		return err
	}
	rec.wrongAnswer = !isSingleRow(results, lookupCode(i), lookupLabel(i))
	return nil
}

// isSingleRow reports whether the result is exactly one row with these values.
func isSingleRow(results []*pgconn.Result, values ...string) bool {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != len(values) {
		return false
	}
	for i, v := range values {
		if string(results[0].Rows[0][i]) != v {
			return false
		}
	}
	return true
}

// readOwnWrite looks for the session's last write. Without one it reads a row that
// does not exist and expects nothing.
func (s *session) readOwnWrite(ctx context.Context, rec *record) error {
	id := "0"
	if s.lastWrite != nil {
		id = s.lastWrite.rowID
	}
	params := [][]byte{[]byte(id)}
	result := s.conn.ExecParams(ctx, s.run.profile.ownReadStatement(s.slot), params, nil, nil, nil).Read()
	if result.Err != nil {
		return result.Err
	}
	rec.expected = s.lastWrite
	if s.lastWrite != nil {
		// After a failover another write may have the row id of a lost one.
		rec.rowMissing = !isSingleRow([]*pgconn.Result{result}, s.lastWrite.request)
	}
	return nil
}

func (s *session) newIntent(lines bool) *writeIntent {
	s.writeCount++
	return &writeIntent{
		request:  fmt.Sprintf("%s-%d", s.name, s.writeCount),
		team:     s.team.Name,
		session:  s.name,
		sequence: s.writeCount,
		hasLine:  lines,
	}
}

func (s *session) insertRow(ctx context.Context, rec *record) error {
	rec.intent = s.newIntent(false)
	identity := ""
	if s.run.config.RequestIdentities {
		identity = rec.intent.request
	}
	statement := s.run.profile.insertStatement(rec.intent) + routeTag(s.run.profile.writeRoute(), s.slot, identity)
	results, err := s.conn.Exec(ctx, statement).ReadAll()
	if err != nil {
		return err
	}
	rec.parseInsertResult(results)
	return nil
}

// parseInsertResult reads row id and timeline from the result of an insert.
func (r *record) parseInsertResult(results []*pgconn.Result) {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 2 {
		// A repeated request identity is answered with the command tag only.
		r.wrongAnswer = len(results) != 1 || !strings.HasPrefix(results[0].CommandTag.String(), "INSERT")
		return
	}
	row := results[0].Rows[0]
	r.intent.rowID = string(row[0])
	_, err := fmt.Sscan(string(row[1]), &r.timeline)
	r.wrongAnswer = err != nil
}

func (s *session) insertInTransaction(ctx context.Context, rec *record) error {
	rec.intent = s.newIntent(true)
	t := routeTag(s.run.profile.writeRoute(), s.slot, "")
	var inserted []*pgconn.Result
	const last = 3
	for i, statement := range []string{
		"BEGIN",
		s.run.profile.insertStatement(rec.intent),
		s.run.profile.lineStatement(rec.intent),
		"COMMIT",
	} {
		results, err := s.conn.Exec(ctx, statement+t).ReadAll()
		if err != nil {
			s.rollBack(ctx, i > 0)
			return transactionError(err, i == last)
		}
		if i == 1 {
			inserted = results
		}
		if i == last && (len(results) != 1 || results[0].CommandTag.String() != "COMMIT") {
			return errNotCommitted
		}
	}
	rec.parseInsertResult(inserted)
	return nil
}

// errNotCommitted means that nothing of the transaction was stored.
var errNotCommitted = errors.New("the transaction was not committed")

// transactionError marks an error before COMMIT with errNotCommitted, because nothing was
// stored. An error of COMMIT itself leaves the outcome unknown.
func transactionError(err error, atCommit bool) error {
	if atCommit {
		return err
	}
	return errors.Join(err, errNotCommitted)
}

// rollBack ends the transaction after an error, so that the connection is idle again.
func (s *session) rollBack(ctx context.Context, begun bool) {
	if begun && !s.conn.IsClosed() && s.conn.TxStatus() != 'I' {
		if _, err := s.conn.Exec(ctx, "ROLLBACK").ReadAll(); err != nil {
			s.disconnect()
		}
	}
}
