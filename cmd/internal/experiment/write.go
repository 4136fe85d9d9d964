package experiment

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// upstreamPassword is that of the stand-ins, which are reachable on loopback only.
const upstreamPassword = "upstream-password"

// document is a settings file.
type document map[string]any

// Write writes all files of the deployment into its folder: settings, the tables,
// processes (one line each: name and command), configure (one line of arguments of
// jayloomctl each), teams (name, weight, rate, burst) and load (arguments of
// jayloom-load).
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
		"processes":  p.processes(),
		"configure":  p.configuration(),
		"teams":      p.teams(),
		"control":    p.controls(),
		"load":       p.loadArguments(),
	} {
		if err := p.write(name, strings.Join(lines, "\n")+"\n"); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) write(name, text string) error {
	return errors.Wrap(os.WriteFile(p.path(name), []byte(text), 0o600), "write file")
}

func (p *Plan) writeDocument(name string, d document) error {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return p.write(name, string(data)+"\n")
}

func (p *Plan) writeSettings() error {
	account := document{"user": "jayloom", "password": upstreamPassword}
	var addresses []string
	for i := 1; i <= voters; i++ {
		addresses = append(addresses, p.controlAddress(i))
	}
	base := document{
		"cluster": document{"name": p.Profile.Name, "voters": addresses},
		"control": document{"upstream": account},
		"proxy":   document{"upstream": account},
	}
	if err := p.writeDocument("base.jsonc", base); err != nil {
		return err
	}
	for i := 1; i <= voters; i++ {
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
		"vm": document{"name": name, "place": p.place(i)},
		"control": document{
			"listen_grpc":    p.address(controlGRPC, i),
			"advertise_grpc": p.controlAddress(i),
			"listen_http":    p.address(controlHTTP, i),
			"data_folder":    p.path(name),
		},
	}
}

func (p *Plan) proxyOverlay(i int) document {
	return document{
		"vm": document{"name": fmt.Sprintf("proxy%d", i), "place": p.place(i)},
		"proxy": document{
			"listen":            p.address(proxyListen, i),
			"listen_peering":    p.address(proxyPeering, i),
			"advertise_peering": p.address(proxyPeering, i),
			"listen_http":       p.address(proxyHTTP, i),
		},
	}
}

// processes lists relays first, so that they accept before anybody connects.
func (p *Plan) processes() []string {
	var lines []string
	relay := func(name string, listen, target, i int, delayMs float64) {
		lines = append(lines, fmt.Sprintf("relay-%s%d bin/jayloom-relay --listen %s --target %s --http %s --delay %gms",
			name, i, p.address(listen, i), p.address(target, i), p.address(listen+relayHTTP, i), delayMs))
	}
	for i := 1; p.RelayControl && i <= voters; i++ {
		relay("control", controlRelay, controlGRPC, i, p.Profile.PlaceDelayMs)
	}
	for i := 1; p.RelayUpstreams && i <= p.upstreams(); i++ {
		relay("upstream", upstreamVia, upstream, i, p.Profile.PlaceDelayMs)
	}
	for i := 1; p.RelayProxies && i <= p.Profile.Proxies; i++ {
		relay("proxy", proxyRelay, proxyListen, i, p.Profile.ClientDelayMs)
	}
	for i := 1; i <= voters; i++ {
		lines = append(lines, fmt.Sprintf("control%d bin/jayloom-control --settings %s --overlay %s --overlay %s",
			i, p.path("base.jsonc"), p.path(fmt.Sprintf("control%d.jsonc", i)), p.path("secrets.jsonc")))
	}
	for i := 1; i <= p.upstreams(); i++ {
		lines = append(lines, p.standin(i))
	}
	for i := 1; i <= p.Profile.Proxies; i++ {
		lines = append(lines, fmt.Sprintf("proxy%d bin/jayloom-proxy --settings %s --overlay %s",
			i, p.path("base.jsonc"), p.path(fmt.Sprintf("proxy%d.jsonc", i))))
	}
	return lines
}

// standin returns the line of one stand-in. The script replaces what follows
// --follow when it starts a failed server again.
func (p *Plan) standin(i int) string {
	line := fmt.Sprintf("upstream%d bin/jayloom-standin --listen %s --advertise %s --http %s --user jayloom --password %s"+
		" --service %s --group %s --place %s --lag %dms --connect-delay %gms --connection-limit %d --init %s",
		i, p.address(upstream, i), p.upstreamAddress(i), p.address(upstreamHTTP, i), upstreamPassword,
		p.Profile.Service, p.group(i), p.place(i), p.LagMs, p.Profile.ConnectDelayMs, p.Profile.ConnectionLimit, p.path("schema.sql"))
	for c := 1; c <= voters; c++ {
		line += " --announce http://" + p.address(controlHTTP, c)
	}
	line += " --announce-credential-file " + p.path("announcement.credential")
	if first := p.firstOfGroup(i); first != i {
		line += " --follow " + p.upstreamAddress(first)
	}
	return line
}

func (p *Plan) configuration() []string {
	service := "service set " + p.Profile.Service
	for slot := range p.Profile.Slots() {
		service += " --slot-group " + p.group(slot/p.Profile.SlotsPerGroup*p.Profile.ServersPerGroup+1)
	}
	lines := []string{service}
	for _, r := range p.Profile.Routes {
		line := fmt.Sprintf("route set %s --service %s", r.Name, p.Profile.Service)
		if !r.Write {
			line += fmt.Sprintf(" --read --max-age-ms %d", r.MaxStalenessMs)
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

func (p *Plan) teams() []string {
	var lines []string
	for _, t := range p.Profile.Teams {
		lines = append(lines, fmt.Sprintf("%s %g %g %g", t.Name, t.Weight, t.Weight*p.TotalRate, p.burst(t.Weight)))
	}
	return lines
}

func (p *Plan) controls() []string {
	var lines []string
	for i := 1; i <= voters; i++ {
		lines = append(lines, "--control "+p.address(controlGRPC, i))
	}
	return lines
}

func (p *Plan) loadArguments() []string {
	lines := []string{"--profile " + p.Profile.Name, "--upstream-password " + upstreamPassword, "--teams " + p.path("teams.json")}
	for i := 1; i <= p.Profile.Proxies; i++ {
		lines = append(lines, "--target "+p.proxyAddress(i), "--metrics http://"+p.address(proxyHTTP, i)+"/metrics")
	}
	for g := 1; g <= p.upstreams(); g += p.Profile.ServersPerGroup {
		var servers []string
		for i := range p.Profile.ServersPerGroup {
			servers = append(servers, p.address(upstream, g+i))
		}
		lines = append(lines, "--group "+strings.Join(servers, ","))
	}
	return lines
}
