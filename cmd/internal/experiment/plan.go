// Package experiment writes the settings, process list and configuration of a
// deployment on loopback. scripts/experiment.sh starts and configures it.
package experiment

import (
	"fmt"
	"math"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/cmd/internal/load"
)

// Offsets of port ranges from Plan.BasePort. Each role has room for 20 processes.
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
	// relayHTTPOffset is added to a relay's port for its HTTP port.
	relayHTTPOffset = 300
	// portRangeSize is the size of the whole range.
	portRangeSize = 560
	// maxProcessesPerRole is the number of processes that a port range has room for.
	maxProcessesPerRole = 19
	voterCount          = 3
)

// Plan describes one deployment. Relay options put a relay with the profile's
// one-way delay in front of that role.
type Plan struct {
	Profile  load.Profile
	Folder   string
	BasePort int
	// TotalRate is the sum of the teams' rates in requests/s; bursts last BurstSeconds.
	TotalRate    float64
	BurstSeconds float64
	LagMs        int

	RelayControl   bool
	RelayUpstreams bool
	RelayProxies   bool
}

// Check refuses a plan whose ports do not fit.
func (p *Plan) Check() error {
	switch {
	case p.BasePort < 1024 || p.BasePort+portRangeSize > math.MaxUint16:
		return errors.Newf("base port %d leaves no room for %d ports", p.BasePort, portRangeSize)
	case p.Profile.Proxies > maxProcessesPerRole || p.upstreamCount() > maxProcessesPerRole:
		return errors.Newf("at most %d proxies and upstreams fit", maxProcessesPerRole)
	case p.TotalRate <= 0 || p.BurstSeconds <= 0:
		return errors.New("limit and burst must be above 0")
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

// relayedAddress returns where a role is reached: behind its relay, if it has one.
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

// initialPrimary is the upstream that starts as its group's primary.
func (p *Plan) initialPrimary(i int) int {
	return (i-1)/p.Profile.ServersPerGroup*p.Profile.ServersPerGroup + 1
}
