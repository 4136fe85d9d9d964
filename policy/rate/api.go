package rate

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

type Holder struct{}

func NewHolder() *Holder                                                   { return &Holder{} }
func (h *Holder) Take(now time.Duration, team string) bool                 { return false }
func (h *Holder) Exhausted(now time.Duration, team string) bool            { return false }
func (h *Holder) Urgent(now time.Duration) bool                            { return false }
func (h *Holder) Waiting(team string, delta int)                           {}
func (h *Holder) Report(now time.Duration) []*controlpb.TokenDemand        { return nil }
func (h *Holder) Grant(now, sentAt time.Duration, g *controlpb.TokenGrant) {}
func (h *Holder) StreamStarted(now time.Duration)                          {}

type Owner struct{}

// Recall is an update to push to a proxy that holds tokens which others need.
type Recall struct {
	Proxy  string
	Grants []*controlpb.TokenGrant
}

func NewOwner(cfg Config) *Owner                                             { return &Owner{} }
func (o *Owner) Lead(now time.Duration, registeredProxies []string)          {}
func (o *Owner) SetTeam(now time.Duration, name string, rate, burst float64) {}
func (o *Owner) RemoveTeam(now time.Duration, name string)                   {}
func (o *Owner) RemoveProxy(now time.Duration, name string)                  {}
func (o *Owner) Report(now time.Duration, proxy, incarnation string, stream uint64, d []*controlpb.TokenDemand) []*controlpb.TokenGrant {
	return nil
}
func (o *Owner) Recalls(now time.Duration) []Recall { return nil }
func (o *Owner) Expire(now time.Duration)           {}
