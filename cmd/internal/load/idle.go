package load

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// warmUpConnections is the number of connections opened before the first
// measurement, so that one-time allocations of the process do not count.
const warmUpConnections = 16

// IdleReport holds the memory used by idle caller connections.
type IdleReport struct {
	Connections        int     `json:"connections"`
	ResidentBefore     int64   `json:"resident_before_bytes"`
	ResidentAfter      int64   `json:"resident_after_bytes"`
	BytesPerConnection float64 `json:"bytes_per_connection"`
	// Prepared is the number of prepared statements of each connection.
	Prepared int `json:"prepared"`
}

// MeasureIdle opens connections, prepares statements on each, leaves them idle, and
// reports by how much the resident memory of process pid grew.
func MeasureIdle(ctx context.Context, config *pgconn.Config, connections, prepared, pid int) (*IdleReport, error) {
	var conns []*pgconn.PgConn
	defer func() {
		for _, c := range conns {
			c.Close(ctx)
		}
	}()
	open := func(count int) error {
		for range count {
			c, err := pgconn.ConnectConfig(ctx, config)
			if err != nil {
				return errors.Wrapf(err, "connection %d", len(conns)+1)
			}
			conns = append(conns, c)
			if err := prepareStatements(ctx, c, prepared); err != nil {
				return err
			}
		}
		return nil
	}
	if err := open(warmUpConnections); err != nil {
		return nil, err
	}
	before, err := residentBytes(pid)
	if err != nil {
		return nil, err
	}
	if err := open(connections); err != nil {
		return nil, err
	}
	after, err := residentBytes(pid)
	if err != nil {
		return nil, err
	}
	return &IdleReport{
		Connections: connections, ResidentBefore: before, ResidentAfter: after,
		BytesPerConnection: float64(after-before) / float64(connections),
		Prepared:           prepared,
	}, nil
}

// prepareStatements prepares different statements of about 60 bytes.
func prepareStatements(ctx context.Context, c *pgconn.PgConn, count int) error {
	for i := range count {
		text := fmt.Sprintf("SELECT code, label FROM colour WHERE code = $1 /* %08d */", i)
		if _, err := c.Prepare(ctx, fmt.Sprintf("statement%d", i), text, nil); err != nil {
			return errors.Wrapf(err, "prepared statement %d", i)
		}
	}
	return nil
}

// residentBytes returns the resident memory of a process. The second field of statm
// is the resident size in pages.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read resident memory")
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0, errors.Newf("statm of process %d has no second field", pid)
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "statm of process %d", pid)
	}
	return pages * int64(os.Getpagesize()), nil
}
