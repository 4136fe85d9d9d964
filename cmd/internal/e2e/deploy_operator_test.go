package e2e

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	osexec "os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/tlsconf"
)

const (
	// callTimeout bounds one call from the test to a process.
	callTimeout = 3 * time.Second
	// operatorName is the identity of the operator where the test uses TLS.
	operatorName = "operator"
)

// Ctl runs jayloomctl against all control processes and returns what it prints.
func (d *Deployment) Ctl(args ...string) string {
	d.t.Helper()
	output, err := d.TryCtl(args...)
	if err != nil {
		d.t.Fatalf("jayloomctl %s: %v\n%s", strings.Join(args, " "), err, output)
	}
	return output
}

// TryCtl is like Ctl, for a command that may be refused.
func (d *Deployment) TryCtl(args ...string) (string, error) {
	all := []string{"--credential-file", filepath.Join(d.folder, "operator.credential"), "--timeout-ms", "30000"}
	for _, c := range d.Controls {
		all = append(all, "--control", c.Direct)
	}
	if files := d.identity(operatorName); !files.Empty() {
		all = append(all, "--tls-cert", files.Cert, "--tls-key", files.Key, "--tls-ca", files.CA)
	}
	cmd := osexec.Command(filepath.Join(binaries, "jayloomctl"), append(all, args...)...)
	var output, problem bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &problem
	err := cmd.Run()
	return output.String() + problem.String(), err
}

func (d *Deployment) identity(name string) tlsconf.Files {
	if d.options.Identity == nil {
		return tlsconf.Files{}
	}
	files := d.options.Identity(name)
	return tlsconf.Files{Cert: files["cert_file"], Key: files["key_file"], CA: files["ca_file"]}
}

// Call calls f with a client of one control process.
func (d *Deployment) Call(c *Control, f func(context.Context, controlpb.ControlClient) error) error {
	d.t.Helper()
	credentials, err := d.identity(operatorName).GRPCCredentials()
	if err != nil {
		d.t.Fatal(err)
	}
	conn, err := grpc.NewClient(c.Direct, grpc.WithTransportCredentials(credentials))
	if err != nil {
		d.t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+d.operatorCredential)
	return f(ctx, controlpb.NewControlClient(conn))
}

// ShowOf returns the state that one control process shows, nil when it does not answer.
func (d *Deployment) ShowOf(c *Control) *controlpb.ShowReply {
	var reply *controlpb.ShowReply
	err := d.Call(c, func(ctx context.Context, client controlpb.ControlClient) error {
		var err error
		reply, err = client.Show(ctx, &controlpb.ShowRequest{})
		return err
	})
	if err != nil {
		return nil
	}
	return reply
}

// Show returns the state that the first answering control process shows, nil when none
// answers.
func (d *Deployment) Show() *controlpb.ShowReply {
	for _, c := range d.Controls {
		if !c.Running() {
			continue
		}
		if reply := d.ShowOf(c); reply != nil {
			return reply
		}
	}
	return nil
}

// Propose sends a command to a control process.
func (d *Deployment) Propose(c *Control, command *controlpb.Command) (*controlpb.CommandResult, error) {
	var reply *controlpb.ProposeReply
	err := d.Call(c, func(ctx context.Context, client controlpb.ControlClient) error {
		var err error
		reply, err = client.Propose(ctx, &controlpb.ProposeRequest{Command: command})
		return err
	})
	return reply.GetResult(), err
}

// Leader waits for a control leader and returns it.
func (d *Deployment) Leader() *Control {
	d.t.Helper()
	var leader *Control
	d.WaitFor("the control leader", func() bool {
		reply := d.Show()
		for _, c := range d.Controls {
			if c.Address == reply.GetLeader() {
				leader = c
			}
		}
		return leader != nil
	})
	return leader
}

// Group returns the state of the database group.
func (d *Deployment) Group() *controlpb.Group {
	return d.Show().GetState().GetGroups()[Group]
}

// Primary waits until the group is healthy and returns the stand-in that control has as
// primary.
func (d *Deployment) Primary() *StandIn {
	d.t.Helper()
	var primary *StandIn
	d.WaitFor("a primary", func() bool {
		group := d.Group()
		for _, s := range d.StandIns {
			if s.Address == group.GetPrimary() && group.GetPhase() == controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
				primary = s
			}
		}
		return primary != nil
	})
	return primary
}

// WaitForTerm waits until the group is healthy in a term of at least term, and returns its
// primary.
func (d *Deployment) WaitForTerm(term uint64) *StandIn {
	d.t.Helper()
	d.WaitFor("the next term of the group", func() bool {
		group := d.Group()
		return group.GetTerm() >= term && group.GetPhase() == controlpb.GroupPhase_GROUP_PHASE_HEALTHY
	})
	return d.Primary()
}

// WaitUntilSettled waits until control reaches every running stand-in and every running
// proxy has applied the current revision.
func (d *Deployment) WaitUntilSettled() {
	d.t.Helper()
	d.WaitFor("proxies and upstreams to settle", func() bool { return d.settled(d.Show()) })
}

func (d *Deployment) settled(reply *controlpb.ShowReply) bool {
	if reply.GetState().GetGroups()[Group].GetPrimary() == "" {
		return false
	}
	reachable := map[string]bool{}
	for _, health := range reply.Health {
		reachable[health.Address] = health.Reachable
	}
	for _, s := range d.StandIns {
		if s.Running() && !reachable[s.Address] {
			return false
		}
	}
	current := map[string]bool{}
	for _, status := range reply.Proxies {
		current[status.Name] = status.AppliedRevision == reply.State.Revision
	}
	for _, p := range d.Proxies {
		if p.Running() && !current[p.Name] {
			return false
		}
	}
	return true
}

// Events returns recent events about a subject, oldest first.
func (d *Deployment) Events(subject string) []*controlpb.Event {
	d.t.Helper()
	var reply *controlpb.ExplainReply
	d.WaitFor("events", func() bool {
		return d.Call(d.Leader(), func(ctx context.Context, client controlpb.ControlClient) error {
			var err error
			reply, err = client.Explain(ctx, &controlpb.ExplainRequest{Subject: subject, Limit: 1000})
			return err
		}) == nil
	})
	return reply.Events
}

// Metric returns a metric of the process that serves HTTP at address, 0 when it cannot be
// read.
func (d *Deployment) Metric(address, name string) float64 {
	client := http.Client{Timeout: callTimeout}
	response, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), name+" ")
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return 0
		}
		return value
	}
	return 0
}
