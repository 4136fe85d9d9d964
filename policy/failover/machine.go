package failover

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// AgeUnknown is the age in UpstreamHealth of a replica whose age is not known.
const AgeUnknown = ^uint32(0)

// Machine decides for all groups. It is owned by one goroutine.
type Machine struct {
	cfg Config
}

// New returns a Machine that does not lead.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Step handles an event and returns what is to be done, in order.
func (m *Machine) Step(now time.Duration, ev Event) []Effect { return nil }

// Health returns what the probes tell of every upstream, ordered by address.
func (m *Machine) Health(now time.Duration) []*controlpb.UpstreamHealth { return nil }
