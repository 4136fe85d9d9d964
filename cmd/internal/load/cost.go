package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// CostConfig describes a comparison of a proxy with a direct connection.
type CostConfig struct {
	Proxy, Direct  *pgconn.Config
	ProxyStatement string
	// DirectStatement is the same statement without a tag.
	DirectStatement string
	// Rounds alternate between the two, so that a change of the machine's speed
	// hits both.
	Rounds int
	// StatementsPerRound is the number of statements of a round for the latency.
	StatementsPerRound int
	// Clients and Span are the connections and the time of a round for the throughput.
	Clients            int
	ThroughputDuration time.Duration
}

// CostReport holds latencies in microseconds and statements per second.
type CostReport struct {
	DirectMedianUs   float64 `json:"direct_median_us"`
	ProxyMedianUs    float64 `json:"proxy_median_us"`
	AddedMedianUs    float64 `json:"added_median_us"`
	DirectP99Us      float64 `json:"direct_p99_us"`
	ProxyP99Us       float64 `json:"proxy_p99_us"`
	DirectThroughput float64 `json:"direct_throughput"`
	ProxyThroughput  float64 `json:"proxy_throughput"`
	ThroughputRatio  float64 `json:"throughput_ratio"`
	Statements       int64   `json:"statements"`
}

// side is one of the two ways to the database.
type side struct {
	config     *pgconn.Config
	statement  string
	conns      []*pgconn.PgConn
	nanos      *hdrhistogram.Histogram
	throughput []float64
}

// MeasureCost measures both ways in turn, first the latency, then the throughput.
func MeasureCost(ctx context.Context, c CostConfig) (*CostReport, error) {
	sides := []*side{
		newSide(c.Direct, c.DirectStatement),
		newSide(c.Proxy, c.ProxyStatement),
	}
	for _, s := range sides {
		defer s.close(ctx)
		if err := s.connect(ctx, c.Clients); err != nil {
			return nil, err
		}
	}
	for range c.Rounds {
		for _, s := range sides {
			if err := s.measureLatency(ctx, c.StatementsPerRound); err != nil {
				return nil, err
			}
		}
	}
	for range c.Rounds {
		for _, s := range sides {
			if err := s.measureThroughput(ctx, c.ThroughputDuration); err != nil {
				return nil, err
			}
		}
	}
	return costReport(sides[0], sides[1]), nil
}

func costReport(direct, proxy *side) *CostReport {
	us := func(s *side, q float64) float64 { return float64(s.nanos.ValueAtQuantile(q)) / 1000 }
	r := &CostReport{
		DirectMedianUs: us(direct, 50), ProxyMedianUs: us(proxy, 50),
		DirectP99Us: us(direct, 99), ProxyP99Us: us(proxy, 99),
		DirectThroughput: median(direct.throughput), ProxyThroughput: median(proxy.throughput),
		Statements: direct.nanos.TotalCount() + proxy.nanos.TotalCount(),
	}
	r.AddedMedianUs = r.ProxyMedianUs - r.DirectMedianUs
	if r.DirectThroughput > 0 {
		r.ThroughputRatio = r.ProxyThroughput / r.DirectThroughput
	}
	return r
}

func newSide(config *pgconn.Config, statement string) *side {
	// 1 ns to 10 s.
	return &side{config: config, statement: statement, nanos: hdrhistogram.New(1, 10_000_000_000, digits)}
}

func (s *side) connect(ctx context.Context, clients int) error {
	for range clients {
		conn, err := pgconn.ConnectConfig(ctx, s.config)
		if err != nil {
			return err
		}
		s.conns = append(s.conns, conn)
		if err := s.once(ctx, conn); err != nil {
			return errors.Wrapf(err, "statement on %s:%d", s.config.Host, s.config.Port)
		}
	}
	return nil
}

func (s *side) close(ctx context.Context) {
	for _, conn := range s.conns {
		conn.Close(ctx)
	}
}

func (s *side) once(ctx context.Context, conn *pgconn.PgConn) error {
	_, err := conn.Exec(ctx, s.statement).ReadAll()
	return err
}

func (s *side) measureLatency(ctx context.Context, block int) error {
	for range block {
		began := time.Now()
		if err := s.once(ctx, s.conns[0]); err != nil {
			return err
		}
		if err := s.nanos.RecordValue(time.Since(began).Nanoseconds()); err != nil {
			return err
		}
	}
	return nil
}

func (s *side) measureThroughput(ctx context.Context, span time.Duration) error {
	var done atomic.Int64
	errs := make(chan error, len(s.conns))
	var clients sync.WaitGroup
	began := time.Now()
	for _, conn := range s.conns {
		clients.Go(func() {
			for time.Since(began) < span {
				if err := s.once(ctx, conn); err != nil {
					errs <- err
					return
				}
				done.Add(1)
			}
		})
	}
	clients.Wait()
	s.throughput = append(s.throughput, float64(done.Load())/time.Since(began).Seconds())
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}
