package admission

import "github.com/VictoriaMetrics/metrics"

// rateReason says why a request got no token in time.
type rateReason string

const (
	// rateExhausted: the owner has said that the team's bucket is empty.
	rateExhausted rateReason = "exhausted"
	// rateShort: the owner answered, but granted too little before the deadline.
	rateShort rateReason = "short"
	// rateNoOwner: no owner answered while the request waited.
	rateNoOwner rateReason = "no_owner"
)

var metricTokenWaits = metrics.NewCounter("jayloom_proxy_token_waits_total")

var metricRateRefusals = map[rateReason]*metrics.Counter{
	rateExhausted: metrics.NewCounter(`jayloom_proxy_rate_refusals_total{reason="exhausted"}`),
	rateShort:     metrics.NewCounter(`jayloom_proxy_rate_refusals_total{reason="short"}`),
	rateNoOwner:   metrics.NewCounter(`jayloom_proxy_rate_refusals_total{reason="no_owner"}`),
}
