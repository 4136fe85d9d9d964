// Package experiment generates the settings, process list and configuration of a
// deployment on loopback addresses, which scripts/experiment.sh starts and configures.
package experiment

import (
	"fmt"
	"math"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/cmd/internal/load"
)

// Offsets of port ranges from Plan.BasePort. Each range has 20 ports. Processes are
// numbered from 1, so the first port of a range is unused.
const (
	controlGRPCOffset   = 0
	controlHTTPOffset   = 20
	controlRelayOffset  = 40
	proxyListenOffset   = 100
	proxyPeeringOffset  = 120
	proxyHTTPOffset     = 140
	proxyRelayOffset    = 160
	upstreamOffset      = 200
	upstreamHTTPOffset  = 220
	upstreamRelayOffset = 240
	// relayHTTPOffset is the distance from a relay's port to its HTTP port.
	relayHTTPOffset = 300
	// portRangeSize is the number of ports from Plan.BasePort that a deployment may use.
	portRangeSize = 560
	// maxProcessesPerRole is the number of processes that fit into a port range.
	maxProcessesPerRole = 19
	voterCount          = 3
)

// Plan describes a deployment. RelayControl, RelayUpstreams and RelayProxies put a relay
// with the profile's one-way delay in front of each process of that role.
type Plan struct {
	Profile  load.Profile
	Folder   string
	BasePort int
	// TotalRate is the sum of the teams' rates in requests/s. Each team's burst is
	// BurstSeconds times its rate.
	TotalRate    float64
	BurstSeconds float64
	LagMs        int

	RelayControl   bool
	RelayUpstreams bool
	RelayProxies   bool
}

// Check returns an error if the ports do not fit or a rate or burst is not positive.
func (p *Plan) Check() error {
	switch {
	case p.BasePort < 1024 || p.BasePort+portRangeSize > math.MaxUint16:
		return errors.Newf("base port %d must be at least 1024 and leave room for %d ports", p.BasePort, portRangeSize)
	case p.Profile.Proxies > maxProcessesPerRole || p.upstreamCount() > maxProcessesPerRole:
		return errors.Newf("at most %d proxies and as many upstreams fit into the port ranges", maxProcessesPerRole)
	case p.TotalRate <= 0 || p.BurstSeconds <= 0:
		return errors.New("the limit and the burst must be above 0")
	}
	return nil
}

func (p *Plan) upstreamCount() int { return p.Profile.Groups * p.Profile.ServersPerGroup }

func (p *Plan) address(offset, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", p.BasePort+offset+i)
}

func (p *Plan) placeName(i int) string {
	return p.Profile.Places[i%len(p.Profile.Places)]
}

func (p *Plan) path(name string) string { return filepath.Join(p.Folder, name) }

// relayedAddress returns the address at which others reach a process: that of its relay if
// it has one, else its own.
func (p *Plan) relayedAddress(relayed bool, direct, relay, i int) string {
	if relayed {
		return p.address(relay, i)
	}
	return p.address(direct, i)
}

func (p *Plan) controlAddress(i int) string {
	return p.relayedAddress(p.RelayControl, controlGRPCOffset, controlRelayOffset, i)
}

func (p *Plan) upstreamAddress(i int) string {
	return p.relayedAddress(p.RelayUpstreams, upstreamOffset, upstreamRelayOffset, i)
}

func (p *Plan) proxyAddress(i int) string {
	return p.relayedAddress(p.RelayProxies, proxyListenOffset, proxyRelayOffset, i)
}

func (p *Plan) groupName(i int) string {
	return fmt.Sprintf("%s-%d", p.Profile.Service, (i-1)/p.Profile.ServersPerGroup+1)
}

// initialPrimary returns the number of the upstream that starts as the primary of the group
// of upstream i.
func (p *Plan) initialPrimary(i int) int {
	return (i-1)/p.Profile.ServersPerGroup*p.Profile.ServersPerGroup + 1
}
