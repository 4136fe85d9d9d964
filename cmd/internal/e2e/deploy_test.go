package e2e

import (
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/control"
	"github.com/jayloom/jayloom/standin/announce"
	"github.com/jayloom/jayloom/standin/relay"
)

// Names that every deployment uses.
const (
	Service = "wax"
	Group   = "wax-1"
	Team    = "driver"

	upstreamUser     = "jayloom"
	upstreamPassword = "upstream-password"
)

const (
	// waitTimeout bounds the wait for a condition. It is far above what any condition takes,
	// so that only a fault reaches it.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// logTail is the number of bytes of each log that are printed after a failure.
	logTail = 3000
)

// Options describe a deployment; zero values mean the defaults beside them.
type Options struct {
	Controls int // 3
	Proxies  int // 2
	StandIns int // 3
	// Lag is the replication lag of replicas.
	Lag time.Duration
	// SnapshotEntries is the number of log entries between snapshots of control, 1000.
	SnapshotEntries uint64
	// ConnectionLimit is the connection limit of each stand-in, 25.
	ConnectionLimit int
	// Rate and Burst are the limits of the team, 100,000 each.
	Rate, Burst float64
	// Identity returns the setting tls.identity of a process.
	Identity func(name string) map[string]string
	// UpstreamTLS has the fields of tls.identity; stand-ins present its certificate, and
	// control and proxies verify it.
	UpstreamTLS map[string]string
	// SelectGroups makes proxies subscribe to single groups, as in a fleet with many groups.
	SelectGroups bool
	// DrainTimeout is proxy.drain_timeout_ms; zero means the default of the settings.
	DrainTimeout time.Duration
	// ProxySettings are further settings of the proxies.
	ProxySettings map[string]any
	// ManualStart names the processes that the test starts itself.
	ManualStart []string
}

func (o Options) withDefaults() Options {
	o.Controls = orDefault(o.Controls, 3)
	o.Proxies = orDefault(o.Proxies, 2)
	o.StandIns = orDefault(o.StandIns, 3)
	o.SnapshotEntries = orDefault(o.SnapshotEntries, 1000)
	o.ConnectionLimit = orDefault(o.ConnectionLimit, 25)
	o.Rate = orDefault(o.Rate, 100_000)
	o.Burst = orDefault(o.Burst, 100_000)
	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Control is a control process.
type Control struct {
	*Process
	// Address is the address for other processes, Direct the one for the test.
	Address, Direct, HTTP string
	DataFolder            string
}

// Proxy is a proxy.
type Proxy struct {
	*Process
	// Address is where callers connect.
	Address, HTTP string
}

// StandIn is a stand-in database.
type StandIn struct {
	*Process
	// Address is the address for other processes, Direct the one for the test.
	Address, Direct string
	Announcer       *announce.Announcer
	stopAnnouncing  context.CancelFunc
	audit           string
}

// Deployment is a running system.
type Deployment struct {
	t       testing.TB
	options Options
	ctx     context.Context
	folder  string
	network *network

	processes map[string]*Process

	Controls []*Control
	Proxies  []*Proxy
	StandIns []*StandIn
	// Key is the team's key.
	Key string

	operatorCredential, announcementCredential string
}

// Start starts a deployment and waits until the proxies serve the group.
func Start(t testing.TB, o Options) *Deployment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deployment{t: t, options: o.withDefaults(), ctx: ctx, folder: t.TempDir(), processes: map[string]*Process{}}
	d.network = newNetwork(ctx, t, func() map[string]*Process { return d.processes })
	t.Cleanup(func() {
		if t.Failed() {
			d.printLogs()
		}
		cancel()
		for _, p := range d.processes {
			p.Kill()
		}
	})
	d.defineProcesses()
	d.network.serveExposed()
	for name, p := range d.processes {
		if !slices.Contains(d.options.ManualStart, name) {
			p.Start()
		}
	}
	d.WaitFor("a control leader", func() bool { return d.Show() != nil })
	d.Ctl("service", "set", Service, "--slot-group", Group)
	d.Ctl("team", "set", Team, "--rate", fmt.Sprint(d.options.Rate), "--burst", fmt.Sprint(d.options.Burst))
	d.Key = strings.TrimSpace(d.Ctl("key", "give", Team))
	for _, s := range d.StandIns {
		d.announce(s)
	}
	d.WaitUntilSettled()
	return d
}

// defineProcesses chooses all addresses and writes all settings. Every process is defined
// before the first one starts.
func (d *Deployment) defineProcesses() {
	d.operatorCredential, d.announcementCredential = rand.Text(), rand.Text()
	for i := range d.options.Controls {
		d.defineControl(fmt.Sprintf("control%d", i+1))
	}
	var voters []string
	for _, c := range d.Controls {
		voters = append(voters, c.Address)
	}
	upstream := object{"user": upstreamUser, "password": upstreamPassword}
	if d.options.UpstreamTLS != nil {
		upstream["tls"] = object{"sslmode": "verify-full", "ca_file": d.options.UpstreamTLS["ca_file"]}
	}
	account := object{"upstream": upstream}
	d.writeJSON("base.jsonc", object{
		"cluster": object{"name": "e2e", "voters": voters},
		"vm":      object{"place": "local"},
		"control": account,
		"proxy":   account,
	})
	d.writeJSON("secrets.jsonc", object{"control": object{
		"operator_credential_hash":     control.HashCredential([]byte(rand.Text()), d.operatorCredential),
		"announcement_credential_hash": control.HashCredential([]byte(rand.Text()), d.announcementCredential),
	}})
	d.writeFile("operator.credential", []byte(d.operatorCredential))
	for i := range d.options.Proxies {
		d.defineProxy(fmt.Sprintf("proxy%d", i+1))
	}
	for i := range d.options.StandIns {
		d.defineStandIn(fmt.Sprintf("standin%d", i+1))
	}
}

func (d *Deployment) addProcess(name, binary string, args ...string) *Process {
	p := newProcess(d.t, name, binary, d.folder, args)
	d.processes[name] = p
	return p
}

// overlayArgs writes the overlay of a process and returns the flags that name its settings.
func (d *Deployment) overlayArgs(name string, overlay object) []string {
	overlay["vm"] = object{"name": name}
	if d.options.Identity != nil {
		if files := d.options.Identity(name); files != nil {
			overlay["tls"] = object{"identity": files}
		}
	}
	path := d.writeJSON(name+".jsonc", overlay)
	return []string{"--settings", filepath.Join(d.folder, "base.jsonc"), "--overlay", path}
}

func (d *Deployment) defineControl(name string) {
	c := &Control{Direct: freeAddress(d.t), HTTP: freeAddress(d.t), DataFolder: filepath.Join(d.folder, name)}
	c.Address = d.network.expose(name, c.Direct)
	args := d.overlayArgs(name, object{"control": object{
		"listen_grpc":      c.Direct,
		"advertise_grpc":   c.Address,
		"listen_http":      c.HTTP,
		"data_folder":      c.DataFolder,
		"snapshot_entries": d.options.SnapshotEntries,
	}})
	args = append(args, "--overlay", filepath.Join(d.folder, "secrets.jsonc"))
	c.Process = d.addProcess(name, "jayloom-control", args...)
	d.Controls = append(d.Controls, c)
}

func (d *Deployment) defineProxy(name string) {
	p := &Proxy{Address: freeAddress(d.t), HTTP: freeAddress(d.t)}
	peering := freeAddress(d.t)
	own := object{
		"listen":            p.Address,
		"listen_http":       p.HTTP,
		"listen_peering":    peering,
		"advertise_peering": d.network.expose(name, peering),
	}
	if d.options.SelectGroups {
		own["all_groups_up_to"] = 0
	}
	if d.options.DrainTimeout != 0 {
		own["drain_timeout_ms"] = d.options.DrainTimeout.Milliseconds()
	}
	maps.Copy(own, d.options.ProxySettings)
	args := d.overlayArgs(name, object{"proxy": own})
	p.Process = d.addProcess(name, "jayloom-proxy", args...)
	d.Proxies = append(d.Proxies, p)
}

func (d *Deployment) defineStandIn(name string) {
	s := &StandIn{Direct: freeAddress(d.t), audit: filepath.Join(d.folder, name+".audit")}
	s.Address = d.network.expose(name, s.Direct)
	args := []string{"--listen", s.Direct, "--user", upstreamUser, "--password", upstreamPassword,
		"--lag", d.options.Lag.String(), "--connection-limit", fmt.Sprint(d.options.ConnectionLimit), "--audit", s.audit}
	if d.options.UpstreamTLS != nil {
		args = append(args, "--tls-cert", d.options.UpstreamTLS["cert_file"], "--tls-key", d.options.UpstreamTLS["key_file"])
	}
	if len(d.StandIns) > 0 {
		args = append(args, "--follow", d.StandIns[0].Address)
	}
	s.Process = d.addProcess(name, "jayloom-standin", args...)
	d.StandIns = append(d.StandIns, s)
}

// announce repeats the announcement of a stand-in, as the platform's script does.
func (d *Deployment) announce(s *StandIn) {
	var urls []string
	for _, c := range d.Controls {
		urls = append(urls, "http://"+c.HTTP)
	}
	s.Announcer = d.AnnouncerTo(s, urls...)
	ctx, cancel := context.WithCancel(d.ctx)
	s.stopAnnouncing = cancel
	go s.Announcer.Run(ctx)
}

// StopAnnouncing ends the repeated announcement of a stand-in.
func (s *StandIn) StopAnnouncing() { s.stopAnnouncing() }

// AnnouncerTo returns an announcer for a stand-in, which sends nothing yet.
func (d *Deployment) AnnouncerTo(s *StandIn, urls ...string) *announce.Announcer {
	silent := logrus.New()
	silent.SetLevel(logrus.PanicLevel)
	return announce.New(urls, d.announcementCredential, announce.Upstream{
		Service:         Service,
		Group:           Group,
		Address:         s.Address,
		Place:           "local",
		ConnectionLimit: uint32(d.options.ConnectionLimit),
	}, logrus.NewEntry(silent))
}

// Cut stops all data on a link without closing connections.
func (d *Deployment) Cut(source, target string) { d.CutDirection(source, target, relay.Both) }

// CutDirection stops data on a link in one direction; relay.Up is towards target.
func (d *Deployment) CutDirection(source, target string, direction relay.Direction) {
	if r := d.network.relay(link{source, target}); r != nil {
		// Only an unknown direction is an error.
		_ = r.Cut(direction)
	}
}

// Heal ends the cuts of a link.
func (d *Deployment) Heal(source, target string) {
	if r := d.network.relay(link{source, target}); r != nil {
		r.Heal()
	}
}

// forEachLink calls f for every link of a process, in both directions, except for its links
// with the processes in except.
func (d *Deployment) forEachLink(name string, f func(source, target string), except ...string) {
	for other := range d.processes {
		if other == name || slices.Contains(except, other) {
			continue
		}
		f(name, other)
		f(other, name)
	}
}

// Isolate cuts the links of a process with all others but those in except.
func (d *Deployment) Isolate(name string, except ...string) { d.forEachLink(name, d.Cut, except...) }

// Rejoin ends the cuts between a process and all others.
func (d *Deployment) Rejoin(name string) { d.forEachLink(name, d.Heal) }

// OpenConnections returns the connections from source to target that are open now.
// The source "proxy" stands for all proxies.
func (d *Deployment) OpenConnections(source, target string) int {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	return d.network.open[link{source, target}]
}

// MaxConnections returns the largest number of connections that all proxies together had
// open to a stand-in at one time.
func (d *Deployment) MaxConnections(target string) int {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	return d.network.maxOpen[link{"proxy", target}]
}

// WaitFor waits until a condition holds and fails the test if that takes longer than
// waitTimeout.
func (d *Deployment) WaitFor(what string, condition func() bool) {
	d.t.Helper()
	waitFor(d.t, what, condition)
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	deadline := time.After(waitTimeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// printLogs prints the state of each process and the end of its log. The stacks come last,
// because printing them ends the process.
func (d *Deployment) printLogs() {
	for name, p := range d.processes {
		d.t.Logf("%s is %s", name, p.State())
	}
	for name, p := range d.processes {
		text := p.Log()
		if len(text) > logTail {
			text = text[len(text)-logTail:]
		}
		d.t.Logf("end of the log of %s:\n%s", name, text)
	}
	for name, p := range d.processes {
		if stacks := p.Stacks(); stacks != "" {
			d.t.Logf("stacks of %s:\n%s", name, stacks)
		}
	}
}

// RemoveDataFolder deletes all files of a control process that is not running.
func (d *Deployment) RemoveDataFolder(c *Control) {
	d.t.Helper()
	if err := os.RemoveAll(c.DataFolder); err != nil {
		d.t.Fatal(err)
	}
}
