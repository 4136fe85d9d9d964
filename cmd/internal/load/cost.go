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

// CostConfig configures a comparison of a proxy with a direct connection.
type CostConfig struct {
	Proxy, Direct  *pgconn.Config
	ProxyStatement string
	// DirectStatement is the same statement without a tag.
	DirectStatement string
	// Rounds is the number of rounds. They alternate between the two, so that a
	// change of the machine's speed affects both.
	Rounds int
	// StatementsPerRound is the number of statements of a latency round.
	StatementsPerRound int
	// Clients is the number of connections and ThroughputDuration the length of a
	// throughput round.
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

// endpoint is the proxy or the direct connection, with its measurements.
type endpoint struct {
	config     *pgconn.Config
	statement  string
	conns      []*pgconn.PgConn
	latencies  *hdrhistogram.Histogram
	throughput []float64
}

// MeasureCost measures proxy and direct connection in alternation, first their
// latency, then their throughput.
func MeasureCost(ctx context.Context, c CostConfig) (*CostReport, error) {
	endpoints := []*endpoint{
		newEndpoint(c.Direct, c.DirectStatement),
		newEndpoint(c.Proxy, c.ProxyStatement),
	}
	for _, e := range endpoints {
		defer e.close(ctx)
		if err := e.connect(ctx, c.Clients); err != nil {
			return nil, err
		}
	}
	for range c.Rounds {
		for _, e := range endpoints {
			if err := e.measureLatency(ctx, c.StatementsPerRound); err != nil {
				return nil, err
			}
		}
	}
	for range c.Rounds {
		for _, e := range endpoints {
			if err := e.measureThroughput(ctx, c.ThroughputDuration); err != nil {
				return nil, err
			}
		}
	}
	return costReport(endpoints[0], endpoints[1]), nil
}

func costReport(direct, proxy *endpoint) *CostReport {
	us := func(e *endpoint, q float64) float64 { return float64(e.latencies.ValueAtQuantile(q)) / 1000 }
	r := &CostReport{
		DirectMedianUs: us(direct, 50), ProxyMedianUs: us(proxy, 50),
		DirectP99Us: us(direct, 99), ProxyP99Us: us(proxy, 99),
		DirectThroughput: median(direct.throughput), ProxyThroughput: median(proxy.throughput),
		Statements: direct.latencies.TotalCount() + proxy.latencies.TotalCount(),
	}
	r.AddedMedianUs = r.ProxyMedianUs - r.DirectMedianUs
	if r.DirectThroughput > 0 {
		r.ThroughputRatio = r.ProxyThroughput / r.DirectThroughput
	}
	return r
}

func newEndpoint(config *pgconn.Config, statement string) *endpoint {
	// The histogram covers 1 ns to 10 s.
	return &endpoint{config: config, statement: statement, latencies: hdrhistogram.New(1, 10_000_000_000, significantDigits)}
}

func (e *endpoint) connect(ctx context.Context, clients int) error {
	for range clients {
		conn, err := pgconn.ConnectConfig(ctx, e.config)
		if err != nil {
			return err
		}
		e.conns = append(e.conns, conn)
		if err := e.runStatement(ctx, conn); err != nil {
			return errors.Wrapf(err, "statement on %e:%d", e.config.Host, e.config.Port)
		}
	}
	return nil
}

func (e *endpoint) close(ctx context.Context) {
	for _, conn := range e.conns {
		conn.Close(ctx)
	}
}

func (e *endpoint) runStatement(ctx context.Context, conn *pgconn.PgConn) error {
	_, err := conn.Exec(ctx, e.statement).ReadAll()
	return err
}

func (e *endpoint) measureLatency(ctx context.Context, statements int) error {
	for range statements {
		began := time.Now()
		if err := e.runStatement(ctx, e.conns[0]); err != nil {
			return err
		}
		if err := e.latencies.RecordValue(time.Since(began).Nanoseconds()); err != nil {
			return err
		}
	}
	return nil
}

func (e *endpoint) measureThroughput(ctx context.Context, duration time.Duration) error {
	var completed atomic.Int64
	errs := make(chan error, len(e.conns))
	var clients sync.WaitGroup
	began := time.Now()
	for _, conn := range e.conns {
		clients.Go(func() {
			for time.Since(began) < duration {
				if err := e.runStatement(ctx, conn); err != nil {
					errs <- err
					return
				}
				completed.Add(1)
			}
		})
	}
	clients.Wait()
	e.throughput = append(e.throughput, float64(completed.Load())/time.Since(began).Seconds())
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}
