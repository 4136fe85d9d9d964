package failover

import "github.com/jayloom/jayloom/api/controlpb"

// Effect is an output of Machine.Step.
type Effect interface{ effect() }

// Propose requests the proposal of a command. The proposer fills in the request
// identity, the actor and the time.
type Propose struct {
	Group   string
	Command *controlpb.Command
}

// Promote requests a call of pg_promote() at an address. The call must have a
// timeout.
type Promote struct {
	Group   string
	Address string
	Term    uint64
}

// Follow requests that primary_conninfo of the server at Address be set to Primary.
type Follow struct {
	Address string
	Primary string
}

// ProbeNow requests an immediate probe, ahead of the regular interval.
type ProbeNow struct{ Address string }

// RecordEvent requests that the leader record an event. Changes of the replicated
// state record their own events.
type RecordEvent struct {
	Subject string
	Text    string
}

// ReportSwitchoverDelay requests that the leader record and count an event about a
// group whose leaving primary cannot be replaced yet.
type ReportSwitchoverDelay struct {
	Group string
	Text  string
}

func (Propose) effect()               {}
func (Promote) effect()               {}
func (Follow) effect()                {}
func (ProbeNow) effect()              {}
func (RecordEvent) effect()           {}
func (ReportSwitchoverDelay) effect() {}
