package experiment

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// upstreamPassword is the password of the stand-ins. It is no secret because they listen on
// loopback only.
const upstreamPassword = "upstream-password"

// document is the content of a settings file or of one of its sections.
type document map[string]any

// Write writes all files of the deployment into its folder: the settings files, schema.sql
// (the tables), processes (a name and a command per line), configure (the arguments of one
// jayloomctl call per line), teams (name, weight, rate and burst), control (the --control
// flags of jayloomctl) and load (the arguments of jayloom-load).
func (p *Plan) Write() error {
	if err := p.Check(); err != nil {
		return err
	}
	if err := os.MkdirAll(p.Folder, 0o755); err != nil {
		return errors.Wrap(err, "create folder")
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	for name, lines := range map[string][]string{
		"schema.sql": {p.Profile.Schema()},
		"processes":  p.processLines(),
		"configure":  p.configureLines(),
		"teams":      p.teamLines(),
		"control":    p.controlLines(),
		"load":       p.loadLines(),
	} {
		if err := p.writeFile(name, strings.Join(lines, "\n")+"\n"); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) writeFile(name, text string) error {
	return errors.Wrap(os.WriteFile(p.path(name), []byte(text), 0o600), "write file")
}

func (p *Plan) writeDocument(name string, d document) error {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return p.writeFile(name, string(data)+"\n")
}

func (p *Plan) writeSettings() error {
	upstreamAccount := document{"user": "jayloom", "password": upstreamPassword}
	var addresses []string
	for i := 1; i <= voterCount; i++ {
		addresses = append(addresses, p.controlAddress(i))
	}
	base := document{
		"cluster": document{"name": p.Profile.Name, "voters": addresses},
		"control": document{"upstream": upstreamAccount},
		"proxy":   document{"upstream": upstreamAccount},
	}
	if err := p.writeDocument("base.jsonc", base); err != nil {
		return err
	}
	for i := 1; i <= voterCount; i++ {
		if err := p.writeDocument(fmt.Sprintf("control%d.jsonc", i), p.controlOverlay(i)); err != nil {
			return err
		}
	}
	for i := 1; i <= p.Profile.Proxies; i++ {
		if err := p.writeDocument(fmt.Sprintf("proxy%d.jsonc", i), p.proxyOverlay(i)); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) controlOverlay(i int) document {
	name := fmt.Sprintf("control%d", i)
	return document{
		"vm": document{"name": name, "place": p.placeName(i)},
		"control": document{
			"listen_grpc":    p.address(controlGRPCOffset, i),
			"advertise_grpc": p.controlAddress(i),
			"listen_http":    p.address(controlHTTPOffset, i),
			"data_folder":    p.path(name),
		},
	}
}

func (p *Plan) proxyOverlay(i int) document {
	return document{
		"vm": document{"name": fmt.Sprintf("proxy%d", i), "place": p.placeName(i)},
		"proxy": document{
			"listen":            p.address(proxyListenOffset, i),
			"listen_peering":    p.address(proxyPeeringOffset, i),
			"advertise_peering": p.address(proxyPeeringOffset, i),
			"listen_http":       p.address(proxyHTTPOffset, i),
		},
	}
}

// processLines lists the relays first, so that they listen before other processes connect.
func (p *Plan) processLines() []string {
	var lines []string
	addRelay := func(name string, listen, target, i int, delayMs float64) {
		lines = append(lines, fmt.Sprintf("relay-%s%d bin/jayloom-relay --listen %s --target %s --http %s --delay %gms",
			name, i, p.address(listen, i), p.address(target, i), p.address(listen+relayHTTPOffset, i), delayMs))
	}
	for i := 1; p.RelayControl && i <= voterCount; i++ {
		addRelay("control", controlRelayOffset, controlGRPCOffset, i, p.Profile.PlaceDelayMs)
	}
	for i := 1; p.RelayUpstreams && i <= p.upstreamCount(); i++ {
		addRelay("upstream", upstreamRelayOffset, upstreamOffset, i, p.Profile.PlaceDelayMs)
	}
	for i := 1; p.RelayProxies && i <= p.Profile.Proxies; i++ {
		addRelay("proxy", proxyRelayOffset, proxyListenOffset, i, p.Profile.ClientDelayMs)
	}
	for i := 1; i <= voterCount; i++ {
		lines = append(lines, fmt.Sprintf("control%d bin/jayloom-control --settings %s --overlay %s --overlay %s",
			i, p.path("base.jsonc"), p.path(fmt.Sprintf("control%d.jsonc", i)), p.path("secrets.jsonc")))
	}
	for i := 1; i <= p.upstreamCount(); i++ {
		lines = append(lines, p.standinLine(i))
	}
	for i := 1; i <= p.Profile.Proxies; i++ {
		lines = append(lines, fmt.Sprintf("proxy%d bin/jayloom-proxy --settings %s --overlay %s",
			i, p.path("base.jsonc"), p.path(fmt.Sprintf("proxy%d.jsonc", i))))
	}
	return lines
}

// standinLine returns the line of upstream i. The script replaces the address after
// --follow when it restarts a failed server.
func (p *Plan) standinLine(i int) string {
	line := fmt.Sprintf("upstream%d bin/jayloom-standin --listen %s --advertise %s --http %s --user jayloom --password %s"+
		" --service %s --group %s --place %s --lag %dms --connect-delay %gms --connection-limit %d --init %s",
		i, p.address(upstreamOffset, i), p.upstreamAddress(i), p.address(upstreamHTTPOffset, i), upstreamPassword,
		p.Profile.Service, p.groupName(i), p.placeName(i), p.LagMs, p.Profile.ConnectDelayMs, p.Profile.ConnectionLimit, p.path("schema.sql"))
	for c := 1; c <= voterCount; c++ {
		line += " --announce http://" + p.address(controlHTTPOffset, c)
	}
	line += " --announce-credential-file " + p.path("announcement.credential")
	if primary := p.initialPrimary(i); primary != i {
		line += " --follow " + p.upstreamAddress(primary)
	}
	return line
}

func (p *Plan) configureLines() []string {
	service := "service set " + p.Profile.Service
	for slot := range p.Profile.Slots() {
		service += " --slot-group " + p.groupName(slot/p.Profile.SlotsPerGroup*p.Profile.ServersPerGroup+1)
	}
	lines := []string{service}
	for _, r := range p.Profile.Routes {
		line := fmt.Sprintf("route set %s --service %s", r.Name, p.Profile.Service)
		if !r.Write {
			line += fmt.Sprintf(" --read --max-age-ms %d", r.MaxAgeMs)
		}
		lines = append(lines, line)
	}
	for _, t := range p.Profile.Teams {
		lines = append(lines, fmt.Sprintf("team set %s --rate %g --burst %g", t.Name, t.Weight*p.TotalRate, p.burst(t.Weight)))
	}
	return lines
}

func (p *Plan) burst(weight float64) float64 {
	return math.Round(weight * p.TotalRate * p.BurstSeconds)
}

func (p *Plan) teamLines() []string {
	var lines []string
	for _, t := range p.Profile.Teams {
		lines = append(lines, fmt.Sprintf("%s %g %g %g", t.Name, t.Weight, t.Weight*p.TotalRate, p.burst(t.Weight)))
	}
	return lines
}

func (p *Plan) controlLines() []string {
	var lines []string
	for i := 1; i <= voterCount; i++ {
		lines = append(lines, "--control "+p.address(controlGRPCOffset, i))
	}
	return lines
}

func (p *Plan) loadLines() []string {
	lines := []string{"--profile " + p.Profile.Name, "--upstream-password " + upstreamPassword, "--teams " + p.path("teams.json")}
	for i := 1; i <= p.Profile.Proxies; i++ {
		lines = append(lines, "--target "+p.proxyAddress(i), "--metrics http://"+p.address(proxyHTTPOffset, i)+"/metrics")
	}
	for g := 1; g <= p.upstreamCount(); g += p.Profile.ServersPerGroup {
		var servers []string
		for i := range p.Profile.ServersPerGroup {
			servers = append(servers, p.address(upstreamOffset, g+i))
		}
		lines = append(lines, "--group "+strings.Join(servers, ","))
	}
	return lines
}
