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

// sessionSetting carries a session token, from the proxy as ParameterStatus and
// back as a startup option.
const sessionSetting = "jayloom.session"

// session is one user of a team: one connection at a time, and the memory of its
// last write.
type session struct {
	run    *run
	team   *teamState
	name   string
	slot   int
	random *rand.Rand

	conn   *pgconn.PgConn
	target int
	moves  uint64 // the team's moves that the connection follows
	token  string
	// shown says that the connection has shown a token, so that its reads may rely on
	// the positions in it.
	shown  bool
	number int
	last   *writeIntent
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

// serve takes the team's arrivals until there are no more.
func (s *session) serve(ctx context.Context) {
	for a := range s.team.queue {
		s.run.recorder.add(s.request(ctx, a))
	}
	s.drop()
}

func (s *session) request(ctx context.Context, a arrival) record {
	rec := record{team: s.team.index, kind: a.kind, group: s.run.profile.groupOf(s.slot), at: a.at}
	rec.taken = s.run.elapsed()
	ctx, cancel := context.WithDeadline(ctx, s.run.start.Add(a.at+s.run.config.RequestTimeout))
	defer cancel()
	rec.sent = s.run.elapsed()
	if err := s.connect(ctx); err != nil {
		rec.done = s.run.elapsed()
		rec.fault(err, false)
		return rec
	}
	rec.sent = s.run.elapsed()
	err := s.perform(ctx, &rec)
	rec.done = s.run.elapsed()
	if err != nil {
		rec.fault(err, true)
	}
	s.after(&rec)
	return rec
}

// after keeps what later requests of the session depend on.
func (s *session) after(rec *record) {
	if s.conn == nil || s.conn.IsClosed() {
		s.conn = nil
	} else if token := s.conn.ParameterStatus(sessionSetting); token != "" {
		s.token = token
	}
	switch {
	case rec.kind.isWrite() && rec.outcome == Answered && rec.intent.id != "":
		s.last = rec.intent
	case rec.code == rescode.SessionPositionLost:
		// The session was told; it starts again without the lost write.
		s.last, s.token = nil, ""
		s.drop()
	case rec.code == rescode.SessionTokenInvalid:
		s.token = ""
	case rec.missing:
		s.last = nil
	}
	s.show()
}

// identityLength is the length of a bare session identity, which a proxy reports
// before the session's first write. It holds no positions.
const identityLength = 32

func (s *session) hasPositions() bool {
	return s.run.config.SessionTokens && len(s.token) > identityLength
}

// show shows the first token that a connection was given back to its proxy. The
// session has no other connection, so it is the newest one.
func (s *session) show() {
	if s.conn == nil || s.shown || !s.hasPositions() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.shown = true
	if _, err := s.conn.Exec(ctx, "SET "+sessionSetting+" = '"+s.token+"'").ReadAll(); err != nil {
		s.drop()
	}
}

func (s *session) drop() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// An error means that the connection is gone, which is the purpose.
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// connect opens a connection if there is none, if the session roams, or if the
// team was moved.
func (s *session) connect(ctx context.Context) error {
	target, moves := s.team.target()
	roams := target < 0 && s.random.Float64() < s.run.config.ReconnectProbability
	if s.conn != nil && !roams && moves == s.moves {
		return nil
	}
	s.drop()
	s.moves = moves
	switch {
	case target >= 0:
		s.target = target
	default:
		// A session that lost its proxy tries another, as behind a balancer.
		s.target = s.random.IntN(len(s.run.config.Targets))
	}
	config, err := s.run.config.connection(s.run.config.Targets[s.target], s.run.profile.Service, s.team.Team)
	if err != nil {
		return err
	}
	s.shown = s.hasPositions()
	if s.token != "" && s.run.config.SessionTokens {
		config.RuntimeParams["options"] = "-c " + sessionSetting + "=" + s.token
	}
	s.conn, err = pgconn.ConnectConfig(ctx, config)
	return err
}

func (s *session) perform(ctx context.Context, rec *record) error {
	switch rec.kind {
	case ReadYourWrites:
		return s.ownRead(ctx, rec)
	case Write:
		return s.write(ctx, rec)
	case TransactionWrite:
		return s.transaction(ctx, rec)
	case ClockUpdate:
		return s.writeClock(ctx, rec)
	}
	return s.lookup(ctx, rec)
}

func (s *session) lookup(ctx context.Context, rec *record) error {
	if s.random.Float64() < clockShare {
		return s.readClock(ctx, rec)
	}
	i := s.random.IntN(lookupRows)
	results, err := s.conn.Exec(ctx, s.run.profile.lookupStatement(lookupCode(i), s.slot)).ReadAll()
	if err != nil {
		return err
	}
	rec.wrong = !holds(results, lookupCode(i), lookupLabel(i))
	return nil
}

// holds reports whether the answer is exactly one row of these values.
func holds(results []*pgconn.Result, values ...string) bool {
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

// ownRead looks for the session's last write; without one it reads a row that
// does not exist and expects nothing.
func (s *session) ownRead(ctx context.Context, rec *record) error {
	id := "0"
	if s.last != nil {
		id = s.last.id
	}
	params := [][]byte{[]byte(id)}
	result := s.conn.ExecParams(ctx, s.run.profile.ownReadStatement(s.slot), params, nil, nil, nil).Read()
	if result.Err != nil {
		return result.Err
	}
	rec.expected = s.last
	if s.last != nil {
		// After a failover another write may have the number of a lost one.
		rec.missing = !holds([]*pgconn.Result{result}, s.last.request)
	}
	return nil
}

func (s *session) intent(lines bool) *writeIntent {
	s.number++
	return &writeIntent{
		request: fmt.Sprintf("%s-%d", s.name, s.number),
		team:    s.team.Name,
		session: s.name,
		number:  s.number,
		lines:   lines,
	}
}

func (s *session) write(ctx context.Context, rec *record) error {
	rec.intent = s.intent(false)
	identity := ""
	if s.run.config.RequestIdentities {
		identity = rec.intent.request
	}
	statement := s.run.profile.insertStatement(rec.intent) + tag(s.run.profile.writeRoute(), s.slot, identity)
	results, err := s.conn.Exec(ctx, statement).ReadAll()
	if err != nil {
		return err
	}
	rec.inserted(results)
	return nil
}

// inserted takes id and timeline from the answer of an insert.
func (r *record) inserted(results []*pgconn.Result) {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 2 {
		// A repeated request identity is answered with the tag only.
		r.wrong = len(results) != 1 || !strings.HasPrefix(results[0].CommandTag.String(), "INSERT")
		return
	}
	row := results[0].Rows[0]
	r.intent.id = string(row[0])
	_, err := fmt.Sscan(string(row[1]), &r.timeline)
	r.wrong = err != nil
}

func (s *session) transaction(ctx context.Context, rec *record) error {
	rec.intent = s.intent(true)
	t := tag(s.run.profile.writeRoute(), s.slot, "")
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
			s.abandon(ctx, i > 0)
			return commitError(err, i == last)
		}
		if i == 1 {
			inserted = results
		}
		if i == last && (len(results) != 1 || results[0].CommandTag.String() != "COMMIT") {
			return errNotCommitted
		}
	}
	rec.inserted(inserted)
	return nil
}

// errNotCommitted means that the transaction has no effect.
var errNotCommitted = errors.New("the transaction was not committed")

// commitError marks an error in front of COMMIT, after which nothing was stored.
func commitError(err error, atCommit bool) error {
	if atCommit {
		return err
	}
	return errors.Join(err, errNotCommitted)
}

// abandon returns the connection to idle after an error inside a transaction.
func (s *session) abandon(ctx context.Context, begun bool) {
	if begun && !s.conn.IsClosed() && s.conn.TxStatus() != 'I' {
		if _, err := s.conn.Exec(ctx, "ROLLBACK").ReadAll(); err != nil {
			s.drop()
		}
	}
}
