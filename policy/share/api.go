package share

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Config holds the time limits of an Owner.
type Config struct {
	Lifetime   time.Duration
	LapseAfter time.Duration
	Reserve    uint32
}

func DefaultConfig() Config {
	return Config{Lifetime: 2500 * time.Millisecond, LapseAfter: 2625 * time.Millisecond, Reserve: 2}
}

// Pool is what a proxy's pool has and could use of one upstream.
type Pool struct {
	Upstream string
	// Open counts connections that are open or being opened.
	Open int
	// Wanted counts connections that could be used now, open ones included.
	Wanted int
}

type Holder struct{}

func NewHolder() *Holder                                                          { return &Holder{} }
func (h *Holder) Allowed(now time.Duration, upstream string) int                  { return 0 }
func (h *Holder) Urgent(now time.Duration, pools []Pool) bool                     { return false }
func (h *Holder) Report(now time.Duration, pools []Pool) []*controlpb.ShareDemand { return nil }
func (h *Holder) Grant(now, sentAt time.Duration, g *controlpb.ShareGrant)        {}
func (h *Holder) StreamStarted(now time.Duration)                                 {}

type Owner struct{}

// Push is an update to send to a proxy without a report.
type Push struct {
	Proxy  string
	Shares []*controlpb.ShareGrant
}

func NewOwner(cfg Config) *Owner                                             { return &Owner{} }
func (o *Owner) Lead(now time.Duration, registeredProxies []string)          {}
func (o *Owner) SetUpstream(now time.Duration, address string, limit uint32) {}
func (o *Owner) RemoveUpstream(now time.Duration, address string)            {}
func (o *Owner) RemoveProxy(now time.Duration, name string)                  {}
func (o *Owner) Report(now time.Duration, proxy, incarnation string, stream uint64, d []*controlpb.ShareDemand) []*controlpb.ShareGrant {
	return nil
}
func (o *Owner) Pushes(now time.Duration) []Push { return nil }
func (o *Owner) Expire(now time.Duration)        {}
