package load

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// connectTimeout bounds connecting to an upstream that may be down.
const connectTimeout = 2 * time.Second

// storedRow is a row of the ledger.
type storedRow struct {
	request, team, session string
	sequence               int
}

// storedData is the data that the primaries store after a run.
type storedData struct {
	rows       []storedRow
	lineCounts map[string]int // by request
}

// readStored reads the tables directly from the current primary of each group.
func (r *run) readStored(ctx context.Context) (*storedData, error) {
	s := &storedData{lineCounts: map[string]int{}}
	for group, addresses := range r.config.UpstreamGroups {
		primary, err := r.connectPrimary(ctx, addresses)
		if err != nil {
			return nil, errors.Wrapf(err, "group %d", group)
		}
		err = r.readGroup(ctx, primary, s)
		primary.Close(ctx)
		if err != nil {
			return nil, errors.Wrapf(err, "group %d", group)
		}
	}
	return s, nil
}

// connectPrimary connects to the server that is not in recovery and has the highest
// timeline. A replaced primary that still runs has a lower one.
func (r *run) connectPrimary(ctx context.Context, addresses []string) (*pgconn.PgConn, error) {
	var best *pgconn.PgConn
	highest := 0
	for _, address := range addresses {
		conn, timeline, err := r.connectIfPrimary(ctx, address)
		if err != nil {
			continue // a replica, or down
		}
		if timeline <= highest {
			conn.Close(ctx)
			continue
		}
		if best != nil {
			best.Close(ctx)
		}
		best, highest = conn, timeline
	}
	if best == nil {
		return nil, errors.Newf("none of %v is a primary", addresses)
	}
	return best, nil
}

func (r *run) connectIfPrimary(ctx context.Context, address string) (*pgconn.PgConn, int, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	config, err := targetConfig(address, "")
	if err != nil {
		return nil, 0, err
	}
	config.User, config.Password = r.config.UpstreamUser, r.config.UpstreamPassword
	config.Database = r.profile.Service
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, 0, err
	}
	const statement = "SELECT pg_is_in_recovery(), (SELECT timeline_id FROM pg_control_checkpoint())"
	results, err := conn.Exec(ctx, statement).ReadAll()
	if err != nil || string(results[0].Rows[0][0]) != "f" {
		conn.Close(ctx)
		return nil, 0, errors.CombineErrors(err, errors.New("the server is a replica"))
	}
	timeline, err := strconv.Atoi(string(results[0].Rows[0][1]))
	return conn, timeline, err
}

func (r *run) readGroup(ctx context.Context, conn *pgconn.PgConn, s *storedData) error {
	ledger := "SELECT request, team, session, n FROM " + r.profile.Ledger
	err := forEachRow(ctx, conn, ledger, func(v [][]byte) error {
		n, err := strconv.Atoi(string(v[3]))
		s.rows = append(s.rows, storedRow{string(v[0]), string(v[1]), string(v[2]), n})
		return err
	})
	if err != nil {
		return err
	}
	return forEachRow(ctx, conn, "SELECT request FROM "+r.profile.Lines, func(v [][]byte) error {
		s.lineCounts[string(v[0])]++
		return nil
	})
}

func forEachRow(ctx context.Context, conn *pgconn.PgConn, statement string, f func([][]byte) error) error {
	reader := conn.ExecParams(ctx, statement, nil, nil, nil, nil)
	for reader.NextRow() {
		if err := f(reader.Values()); err != nil {
			return err
		}
	}
	_, err := reader.Close()
	return err
}
