package failover

import "github.com/jayloom/jayloom/api/controlpb"

// Effect is an output of Machine.Step.
type Effect interface{ effect() }

// Propose asks for a command to be proposed. The proposer fills in request
// identity, actor and time.
type Propose struct {
	Group   string
	Command *controlpb.Command
}

// Promote asks for pg_promote() on an address. The call must be bounded in time.
type Promote struct {
	Group   string
	Address string
	Term    uint64
}

// Follow asks for primary_conninfo of an address to be set to a primary.
type Follow struct {
	Address string
	Primary string
}

// ProbeNow asks for a probe at once, ahead of the regular interval.
type ProbeNow struct{ Address string }

// RecordEvent asks for an event to be recorded by the leader. Changes of the
// replicated state record their own events.
type RecordEvent struct {
	Subject string
	Text    string
}

// ReportSwitchoverDelay asks for an event about a group whose primary leaves and cannot
// be replaced yet, and for it to be counted.
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
