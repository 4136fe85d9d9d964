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
	controlGRPC  = 0
	controlHTTP  = 20
	controlRelay = 40
	proxyListen  = 100
	proxyPeering = 120
	proxyHTTP    = 140
	proxyRelay   = 160
	upstream     = 200
	upstreamHTTP = 220
	upstreamVia  = 240
	// relayHTTP is added to a relay's port for its HTTP port.
	relayHTTP = 300
	// portsUsed is the size of the whole range.
	portsUsed = 560
	// maxOfRole is the number of processes that a port range has room for.
	maxOfRole = 19
	voters    = 3
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
	case p.BasePort < 1024 || p.BasePort+portsUsed > math.MaxUint16:
		return errors.Newf("base port %d leaves no room for %d ports", p.BasePort, portsUsed)
	case p.Profile.Proxies > maxOfRole || p.upstreams() > maxOfRole:
		return errors.Newf("at most %d proxies and upstreams fit", maxOfRole)
	case p.TotalRate <= 0 || p.BurstSeconds <= 0:
		return errors.New("limit and burst must be above 0")
	}
	return nil
}

func (p *Plan) upstreams() int { return p.Profile.Groups * p.Profile.ServersPerGroup }

func (p *Plan) address(offset, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", p.BasePort+offset+i)
}

func (p *Plan) place(i int) string {
	return p.Profile.Places[i%len(p.Profile.Places)]
}

func (p *Plan) path(name string) string { return filepath.Join(p.Folder, name) }

// via returns where a role is reached: behind its relay, if it has one.
func (p *Plan) via(relayed bool, direct, relay, i int) string {
	if relayed {
		return p.address(relay, i)
	}
	return p.address(direct, i)
}

func (p *Plan) controlAddress(i int) string {
	return p.via(p.RelayControl, controlGRPC, controlRelay, i)
}

func (p *Plan) upstreamAddress(i int) string {
	return p.via(p.RelayUpstreams, upstream, upstreamVia, i)
}

func (p *Plan) proxyAddress(i int) string {
	return p.via(p.RelayProxies, proxyListen, proxyRelay, i)
}

func (p *Plan) group(i int) string {
	return fmt.Sprintf("%s-%d", p.Profile.Service, (i-1)/p.Profile.ServersPerGroup+1)
}

// firstOfGroup is the upstream that starts as its group's primary.
func (p *Plan) firstOfGroup(i int) int {
	return (i-1)/p.Profile.ServersPerGroup*p.Profile.ServersPerGroup + 1
}
