package failover

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Event is an input of Machine.Step.
type Event interface{ event() }

// Elected starts leadership and discards everything learned under an earlier one.
// State must contain every entry committed by earlier leaders, so Elected is sent
// once the leader's own first entry is applied.
type Elected struct{ State *controlpb.FleetState }

// Deposed ends leadership; Step returns no effects until the next Elected.
type Deposed struct{}

// Applied follows each applied command, in the same step in which the leader stops
// granting leases that the command ended. Machine does not retain State.
type Applied struct{ State *controlpb.FleetState }

// ProbeResult is the result of one probe of an upstream.
type ProbeResult struct {
	Address string
	// SentAt is when the probe was sent, on the leader's clock.
	SentAt time.Duration
	// Answered is false when the probe failed or timed out; the fields below are
	// then unset.
	Answered   bool
	InRecovery bool
	// LSN is the replay position in recovery and the insert position otherwise.
	LSN      uint64
	Timeline uint32
	// ReceiverActive is true when the server runs a WAL receiver. ReceiverAge is then
	// the time since that receiver last heard from the primary, by the server's
	// clock.
	ReceiverActive bool
	ReceiverAge    time.Duration
}

// Holder identifies a process that may hold leases. A restarted proxy is a new
// holder, because its earlier process may still run behind a network partition.
type Holder struct {
	Proxy       string
	Incarnation string
}

// LeaseGranted is sent for every update with primary leases that is sent to a proxy.
type LeaseGranted struct{ Holder Holder }

// FenceAcknowledged is sent when a holder reports that it enforces the fence of a
// term and accepts no more leases for that term.
type FenceAcknowledged struct {
	Holder Holder
	Group  string
	Term   uint64
}

// ProposalFailed is sent when a proposal was refused or could not be made. A
// successful proposal leads to Applied.
type ProposalFailed struct{ Group string }

// PromoteResult is the result of a Promote effect.
type PromoteResult struct {
	Group   string
	Address string
	Term    uint64
	Err     error
}

// FollowResult is the result of a Follow effect.
type FollowResult struct {
	Address string
	Primary string
	Err     error
}

// Tick advances the time. It must be sent at least every 100 ms.
type Tick struct{}

func (Elected) event()           {}
func (Deposed) event()           {}
func (Applied) event()           {}
func (ProbeResult) event()       {}
func (LeaseGranted) event()      {}
func (FenceAcknowledged) event() {}
func (ProposalFailed) event()    {}
func (PromoteResult) event()     {}
func (FollowResult) event()      {}
func (Tick) event()              {}
