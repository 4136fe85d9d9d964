package probe

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/lsn"
	"github.com/jayloom/jayloom/base/pgaccount"
	"github.com/jayloom/jayloom/base/settings"
)

// probeStatement queries everything that a probe needs in one round trip.
const probeStatement = "SELECT pg_is_in_recovery(), " +
	"CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_insert_lsn() END, " +
	"(SELECT timeline_id FROM pg_control_checkpoint()), " +
	"COALESCE((SELECT extract(epoch FROM now() - last_msg_receipt_time) FROM pg_stat_wal_receiver), -1)"

// probeColumns is the number of columns of probeStatement.
const probeColumns = 4

// closeTimeout bounds the close of a connection to a server that may not answer.
const closeTimeout = 100 * time.Millisecond

// Postgres is a Dialer that logs in to upstreams with jayloom's account.
type Postgres struct {
	Account settings.UpstreamAccount
}

// Server implements Dialer.
func (p Postgres) Server(address, service string) Server {
	return &postgresServer{address: address, service: service, account: p.Account}
}

// postgresServer keeps one connection open. It must be used by one goroutine only.
type postgresServer struct {
	address string
	service string
	account settings.UpstreamAccount
	conn    *pgconn.PgConn
}

func (s *postgresServer) connect(ctx context.Context) (*pgconn.PgConn, error) {
	if s.conn != nil && !s.conn.IsClosed() {
		return s.conn, nil
	}
	config, err := pgaccount.Config(s.account, s.address, s.service)
	if err != nil {
		return nil, err
	}
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to upstream %s", s.address)
	}
	s.conn = conn
	return conn, nil
}

// exec runs one statement. It closes the connection on failure, so that a late answer
// cannot be read as the answer to the next statement.
func (s *postgresServer) exec(ctx context.Context, sql string) ([][][]byte, error) {
	conn, err := s.connect(ctx)
	if err != nil {
		return nil, err
	}
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		s.Close()
		return nil, errors.Wrapf(err, "run a statement on upstream %s", s.address)
	}
	if len(results) != 1 {
		return nil, errors.Newf("upstream %s sent %d results for one statement", s.address, len(results))
	}
	return results[0].Rows, nil
}

// Probe implements Server.
func (s *postgresServer) Probe(ctx context.Context) (Result, error) {
	result := Result{Address: s.address, SentAt: clock.Now()}
	rows, err := s.exec(ctx, probeStatement)
	if err != nil {
		return result, err
	}
	if len(rows) != 1 || len(rows[0]) != probeColumns {
		return result, errors.Newf("upstream %s answered a probe with an unexpected number of rows or columns", s.address)
	}
	if err := result.parseRow(rows[0]); err != nil {
		return result, errors.Wrapf(err, "probe of upstream %s", s.address)
	}
	result.Reachable = true
	return result, nil
}

func (r *Result) parseRow(row [][]byte) error {
	r.InRecovery = string(row[0]) == "t"
	position, err := lsn.Parse(string(row[1]))
	if err != nil {
		return err
	}
	r.LSN = position
	timeline, err := strconv.ParseUint(string(row[2]), 10, 32)
	if err != nil {
		return errors.Wrap(err, "timeline")
	}
	r.Timeline = uint32(timeline)
	seconds, err := strconv.ParseFloat(string(row[3]), 64)
	if err != nil {
		return errors.Wrap(err, "age of the last message of the WAL receiver")
	}
	r.ReceiverAge = time.Duration(seconds * float64(time.Second))
	return nil
}

// Promote implements Server.
func (s *postgresServer) Promote(ctx context.Context) error {
	_, err := s.exec(ctx, "SELECT pg_promote()")
	return err
}

// Follow implements Server.
func (s *postgresServer) Follow(ctx context.Context, primary string) error {
	host, port, err := net.SplitHostPort(primary)
	if err != nil {
		return errors.Wrapf(err, "address of primary %s", primary)
	}
	conninfo := fmt.Sprintf("host=%s port=%s user=%s password=%s",
		conninfoValue(host), conninfoValue(port), conninfoValue(s.account.User), conninfoValue(s.account.Password))
	// ALTER SYSTEM accepts no parameters and must not run in a transaction block.
	statement := "ALTER SYSTEM SET primary_conninfo = '" + strings.ReplaceAll(conninfo, "'", "''") + "'"
	if _, err := s.exec(ctx, statement); err != nil {
		return err
	}
	_, err = s.exec(ctx, "SELECT pg_reload_conf()")
	return err
}

// conninfoValue quotes a value of a libpq connection string.
func conninfoValue(value string) string {
	escaped := strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(value)
	return "'" + escaped + "'"
}

// Close implements Server.
func (s *postgresServer) Close() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// The connection is dropped even if the server does not receive the message.
	_ = s.conn.Close(ctx)
	s.conn = nil
}
