package failover

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Event is an input of Machine.Step.
type Event interface{ event() }

// Elected starts leadership. The state must contain every entry committed by
// earlier leaders, so it is sent once the leader's own first entry is applied.
// Everything learned under an earlier leadership is dropped.
type Elected struct{ State *controlpb.FleetState }

// Deposed ends leadership; no effect follows until the next Elected.
type Deposed struct{}

// Applied follows each applied command, in the same step in which the leader
// stops granting leases that the command ended. The state is read, not kept.
type Applied struct{ State *controlpb.FleetState }

// ProbeResult is the outcome of one probe of an upstream.
type ProbeResult struct {
	Address string
	// SentAt is when the probe was sent, on the leader's clock.
	SentAt time.Duration
	// Answered is false when the probe failed or timed out; the fields below are
	// then meaningless.
	Answered   bool
	InRecovery bool
	// LSN is the replay position in recovery and the insert position otherwise.
	LSN      uint64
	Timeline uint32
	// ReceiverActive tells that the server has a WAL receiver; ReceiverAge is then
	// the time since that receiver heard from the primary, by the server's clock.
	ReceiverActive bool
	ReceiverAge    time.Duration
}

// Holder is a process that may hold leases. A proxy that restarts is another
// holder: its earlier process may still be alive behind a partition.
type Holder struct {
	Proxy       string
	Incarnation string
}

// LeaseGranted is sent whenever an update with primary leases leaves for a proxy.
type LeaseGranted struct{ Holder Holder }

// FenceAcknowledged tells that a holder has put the fence of a term in force and
// accepts no lease for that term any more.
type FenceAcknowledged struct {
	Holder Holder
	Group  string
	Term   uint64
}

// ProposalFailed tells that a proposal was refused or could not be made. Success
// shows in Applied.
type ProposalFailed struct{ Group string }

// PromoteResult is the outcome of a Promote effect.
type PromoteResult struct {
	Group   string
	Address string
	Term    uint64
	Err     error
}

// FollowResult is the outcome of a Follow effect.
type FollowResult struct {
	Address string
	Primary string
	Err     error
}

// Tick lets time pass; it is due every 100 ms at the latest.
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
