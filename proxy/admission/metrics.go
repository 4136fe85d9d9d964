package admission

import "github.com/VictoriaMetrics/metrics"

// rateRefusalReason tells why a request got no token in time. It is a metric label.
type rateRefusalReason string

const (
	// reasonExhausted: the allocator has reported the team's bucket as empty.
	reasonExhausted rateRefusalReason = "exhausted"
	// reasonGrantTooSmall: the allocator answered, but granted too little before the deadline.
	reasonGrantTooSmall rateRefusalReason = "short"
	// reasonNoAllocator: no allocator answered while the request waited.
	reasonNoAllocator rateRefusalReason = "no_owner"
)

var metricTokenWaits = metrics.NewCounter("jayloom_proxy_token_waits_total")

var metricRateRefusals = map[rateRefusalReason]*metrics.Counter{
	reasonExhausted:     metrics.NewCounter(`jayloom_proxy_rate_refusals_total{reason="exhausted"}`),
	reasonGrantTooSmall: metrics.NewCounter(`jayloom_proxy_rate_refusals_total{reason="short"}`),
	reasonNoAllocator:   metrics.NewCounter(`jayloom_proxy_rate_refusals_total{reason="no_owner"}`),
}
