package e2e

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// Metrics of a control process: the consensus messages sent, and how often it lost
// leadership.
const (
	messagesSentMetric   = "jayloom_replica_messages_sent_total"
	leadershipLostMetric = "jayloom_replica_leadership_lost_total"
)

// identityPattern finds the identity of a control process in its log lines.
var identityPattern = regexp.MustCompile(`member=([A-Za-z0-9]+)`)

// putRoute returns a change that can be recognized in the state by its maximum age.
func putRoute(name string, maxAge uint32) *controlpb.Command_PutRoute {
	return &controlpb.Command_PutRoute{PutRoute: &controlpb.Route{
		Name: name, Service: Service, Read: true, Idempotent: true, MaxAgeMs: maxAge,
	}}
}

// proposeUntilConfirmed proposes a command under one request ID until one of the control
// processes confirms or refuses it.
func proposeUntilConfirmed(d *Deployment, id string, command *controlpb.Command, controls ...*Control) *controlpb.CommandResult {
	command.RequestId = id
	var result *controlpb.CommandResult
	d.WaitFor("the change "+id, func() bool {
		for _, c := range controls {
			if !c.Running() {
				continue
			}
			r, err := d.Propose(c, command)
			if err == nil && rescode.Code(r.Code) != rescode.NotLeader && rescode.Code(r.Code) != rescode.ControlUnavailable {
				result = r
				return true
			}
		}
		return false
	})
	return result
}

// proposeRouteChanges makes count accepted changes of one route and returns the last
// revision.
func proposeRouteChanges(t *testing.T, d *Deployment, prefix string, count int, controls ...*Control) uint64 {
	t.Helper()
	var revision uint64
	for i := range count {
		command := &controlpb.Command{Change: putRoute("counted", uint32(i+1))}
		result := proposeUntilConfirmed(d, fmt.Sprintf("%s-%d", prefix, i), command, controls...)
		if result.Code != 0 {
			t.Fatalf("change %d was refused: %s", i, result.Message)
		}
		if result.Revision <= revision {
			t.Fatalf("change %d produced revision %d after %d", i, result.Revision, revision)
		}
		revision = result.Revision
	}
	return revision
}

// waitForProxyRevision waits until each proxy has reported to the leader that it applied at
// least the given revision.
func waitForProxyRevision(d *Deployment, revision uint64) {
	d.WaitFor(fmt.Sprintf("revision %d on all proxies", revision), func() bool {
		reply := d.Show()
		applied := map[string]uint64{}
		for _, p := range reply.GetProxies() {
			applied[p.Name] = p.AppliedRevision
		}
		for _, p := range d.Proxies {
			if applied[p.Name] < revision {
				return false
			}
		}
		return reply != nil
	})
}

func routeMaxAge(d *Deployment, name string) uint32 {
	return d.Show().GetState().GetRoutes()[name].GetMaxAgeMs()
}

// Guards against accepting two concurrent changes with the same expected revision, and
// against applying a resent change twice.
func TestConcurrentChangesAndResends(t *testing.T) {
	d := Start(t, Options{Proxies: 1, StandIns: 1})
	for round := range 10 {
		revision := d.Show().State.Revision
		const operators = 4
		var accepted []string
		var mu sync.Mutex
		var all sync.WaitGroup
		for i := range operators {
			name := fmt.Sprintf("race-%d-%d", round, i)
			all.Go(func() {
				output, err := d.TryCtl("--expected-revision", fmt.Sprint(revision), "route", "set", name, "--service", Service)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					accepted = append(accepted, name)
				case !strings.Contains(output, "revision"):
					t.Errorf("the refusal does not name the revision: %s", output)
				}
			})
		}
		all.Wait()
		state := d.Show().State
		if len(accepted) != 1 {
			t.Fatalf("accepted under revision %d: %v", revision, accepted)
		}
		for i := range operators {
			name := fmt.Sprintf("race-%d-%d", round, i)
			if _, ok := state.Routes[name]; ok != (name == accepted[0]) {
				t.Errorf("route %s exists: %v, accepted was %v", name, ok, accepted)
			}
		}
		if state.Revision != revision+1 {
			t.Errorf("revision %d after one change of revision %d", state.Revision, revision)
		}
	}

	// The resends go to the leader and to followers, after a later change.
	first := proposeUntilConfirmed(d, "resent", &controlpb.Command{Change: putRoute("resent", 1)}, d.Controls[0])
	proposeUntilConfirmed(d, "later", &controlpb.Command{Change: putRoute("resent", 2)}, d.Controls[1])
	for _, c := range d.Controls {
		again := proposeUntilConfirmed(d, "resent", &controlpb.Command{Change: putRoute("resent", 1)}, c)
		if again.Revision != first.Revision || again.Code != 0 {
			t.Errorf("resent to %s: revision %d, code %d; first %d", c.Name, again.Revision, again.Code, first.Revision)
		}
	}
	if age := routeMaxAge(d, "resent"); age != 2 {
		t.Errorf("a resent change reverted a later one: age %d", age)
	}
}

// Guards against a control VM that returns from a long network partition, still believes
// that it leads, and serves a proxy from its old state. One proxy is on the same side of
// the partition, and the control VM is stopped meanwhile, so that it has not noticed the
// time that passed.
func TestReturningLeaderServesNoOldState(t *testing.T) {
	const changes = 400
	d := Start(t, Options{SnapshotEntries: 50})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	oldLeader := d.Leader()
	cutOffProxy := d.Proxies[1]
	others := controlsExcept(d.Controls, oldLeader)
	withdrawn := strings.TrimSpace(d.Ctl("key", "give", Team))
	waitForProxyRevision(d, d.Show().State.Revision)

	d.Isolate(oldLeader.Name, cutOffProxy.Name)
	for _, c := range others {
		d.Cut(cutOffProxy.Name, c.Name)
	}
	oldLeader.Freeze()
	command := &controlpb.Command{Change: &controlpb.Command_WithdrawKey{WithdrawKey: &controlpb.WithdrawKey{
		Team: Team, KeyId: keyID(withdrawn),
	}}}
	if r := proposeUntilConfirmed(d, "withdraw", command, others...); r.Code != 0 {
		t.Fatalf("withdraw: %s", r.Message)
	}
	last := proposeRouteChanges(t, d, "away", changes, others...)

	connectionRefused := func() bool {
		conn, err := d.ConnectAs(t.Context(), cutOffProxy, Team, withdrawn)
		if err == nil {
			closeConn(conn)
		}
		return err != nil
	}
	d.WaitFor("the proxy that is cut off from control to stop serving", connectionRefused)
	// The proxy reaches only the replaced leader, which must not grant it a serving lease.
	oldLeader.Continue()
	d.WaitFor("the replaced leader to notice", func() bool {
		if !connectionRefused() {
			t.Fatal("the proxy serves a withdrawn key from the state of the replaced leader")
		}
		return d.Metric(oldLeader.HTTP, leadershipLostMetric) >= 1
	})
	if reply := d.ShowOf(oldLeader); reply != nil {
		t.Errorf("the cut-off control VM answers as leader: %s, term %d", reply.Leader, reply.LeaderTerm)
	}
	if r, err := d.Propose(oldLeader, &controlpb.Command{RequestId: "lost", Change: putRoute("lost", 1)}); err == nil && r.Code == 0 {
		t.Error("the cut-off control VM accepted a change")
	}

	d.Rejoin(oldLeader.Name)
	for _, c := range others {
		d.Heal(cutOffProxy.Name, c.Name)
	}
	waitForProxyRevision(d, last)
	waitUntilActive(d, oldLeader)
	for _, p := range d.Proxies {
		if conn, err := d.ConnectAs(t.Context(), p, Team, withdrawn); err == nil {
			closeConn(conn)
			t.Errorf("%s accepts the withdrawn key", p.Name)
		}
	}
	if age := routeMaxAge(d, "counted"); age != changes {
		t.Errorf("the last change left age %d, want %d", age, changes)
	}
	if d.Show().State.Revision < last {
		t.Errorf("revision %d after %d", d.Show().State.Revision, last)
	}
}

func controlsExcept(controls []*Control, excluded *Control) []*Control {
	var others []*Control
	for _, c := range controls {
		if c != excluded {
			others = append(others, c)
		}
	}
	return others
}

func keyID(key string) string { return strings.Split(key, "_")[1] }

// waitUntilActive waits until the leader has contact with a control process and that
// process has the whole log.
func waitUntilActive(d *Deployment, c *Control) {
	d.WaitFor(c.Name+" to be current", func() bool {
		reply := d.Show()
		if reply.GetLeader() == c.Address {
			return true
		}
		var newest uint64
		for _, v := range reply.GetVoters() {
			newest = max(newest, v.MatchIndex)
		}
		for _, v := range reply.GetVoters() {
			if v.Address == c.Address && v.Active && v.MatchIndex == newest {
				return true
			}
		}
		return false
	})
}

// Guards against changes that are lost or reverted when all control processes are killed
// and restart from snapshots and the log entries after them.
func TestRestartOfAllControlKeepsEveryChange(t *testing.T) {
	d := Start(t, Options{SnapshotEntries: 20, Proxies: 1, StandIns: 1})
	for round := range 3 {
		const changes = 45
		last := proposeRouteChanges(t, d, fmt.Sprintf("round%d", round), changes, d.Controls...)
		key := strings.TrimSpace(d.Ctl("key", "give", Team))
		d.Ctl("key", "withdraw", Team, key)
		before := d.Show().State
		for _, c := range d.Controls {
			c.Kill()
		}
		for _, c := range d.Controls {
			c.Start()
		}
		d.WaitFor("a control leader", func() bool { return d.Show() != nil })
		after := d.Show().State
		if after.Revision < before.Revision || before.Revision < last {
			t.Fatalf("revision %d after the restart, %d before, %d confirmed", after.Revision, before.Revision, last)
		}
		if age := after.Routes["counted"].GetMaxAgeMs(); age != changes {
			t.Errorf("round %d: age %d, want %d", round, age, changes)
		}
		if _, ok := after.Teams[Team].Keys[keyID(key)]; ok {
			t.Errorf("round %d: a withdrawn key is back", round)
		}
		again := proposeUntilConfirmed(d, fmt.Sprintf("round%d-0", round), &controlpb.Command{Change: putRoute("counted", 1)}, d.Controls...)
		if again.Code != 0 || routeMaxAge(d, "counted") != changes {
			t.Errorf("round %d: a resend after the restart was applied again", round)
		}
		waitForProxyRevision(d, after.Revision)
		if _, err := d.ConnectAs(t.Context(), d.Proxies[0], Team, key); err == nil {
			t.Errorf("round %d: the proxy accepts the withdrawn key", round)
		}
		d.WaitUntilSettled()
		exec(t, connect(t, d, d.Proxies[0]), "SELECT 1")
	}
}

// identityOf returns the member identity of a control process, "" if it is no member.
func identityOf(d *Deployment, c *Control) string {
	for _, v := range d.Show().GetVoters() {
		if v.Address == c.Address {
			return v.Identity
		}
	}
	return ""
}

// ownIdentity reads from the log of a control process the identity of its last start, which
// must differ from previous.
func ownIdentity(t *testing.T, d *Deployment, c *Control, previous string) string {
	t.Helper()
	var identity string
	d.WaitFor("the new identity of "+c.Name, func() bool {
		for _, match := range identityPattern.FindAllStringSubmatch(c.Log(), -1) {
			identity = match[1]
		}
		return identity != "" && identity != previous
	})
	return identity
}

// replaceControl deletes the files of a control process and makes it a voter again with the
// procedure in docs/OPERATIONS.md.
func replaceControl(t *testing.T, d *Deployment, c *Control) {
	t.Helper()
	lost := identityOf(d, c)
	c.Kill()
	d.RemoveDataFolder(c)
	c.Start()
	fresh := ownIdentity(t, d, c, lost)
	if identityOf(d, c) == fresh {
		t.Fatalf("%s became a member by itself", c.Name)
	}
	d.Ctl("member", "remove", lost)
	d.Ctl("member", "add-learner", fresh, "--address", c.Address)
	var promoted bool
	d.WaitFor("the promotion of the learner", func() bool {
		_, err := d.TryCtl("member", "promote", fresh)
		promoted = err == nil
		return promoted
	})
}

// Guards against a control VM without its files that votes under its old identity or joins
// by itself, and against the loss of confirmed changes when a second VM fails right after
// the replacement was reported as promoted.
func TestSecondControlLostRightAfterReplacement(t *testing.T) {
	d := Start(t, Options{SnapshotEntries: 20, Proxies: 1, StandIns: 1})
	for round := range 3 {
		replaced := d.Controls[round]
		second := d.Controls[(round+1)%len(d.Controls)]
		last := proposeRouteChanges(t, d, fmt.Sprintf("before%d", round), 30, d.Controls...)
		replaceControl(t, d, replaced)
		second.Kill()
		d.WaitFor("a leader without the second VM", func() bool { return d.Show() != nil })
		if revision := d.Show().State.Revision; revision < last {
			t.Fatalf("round %d: revision %d after %d was confirmed", round, revision, last)
		}
		if age := routeMaxAge(d, "counted"); age != 30 {
			t.Errorf("round %d: age %d, want 30", round, age)
		}
		proposeRouteChanges(t, d, fmt.Sprintf("after%d", round), 5, d.Controls...)
		second.Start()
		waitUntilActive(d, second)
	}
}

// Guards against a control VM that votes without being a member: after its files are
// deleted it must not give a minority a quorum.
func TestControlWithoutFilesIsNoMember(t *testing.T) {
	d := Start(t, Options{Proxies: 1, StandIns: 1})
	proposeRouteChanges(t, d, "before", 10, d.Controls...)
	lost, second := d.Controls[2], d.Controls[1]
	old := identityOf(d, lost)
	lost.Kill()
	second.Kill()
	d.RemoveDataFolder(lost)
	lost.Start()
	fresh := ownIdentity(t, d, lost, old)
	// One voter of three is no quorum, whoever else answers. It keeps asking for votes,
	// and the VM without files receives the requests.
	asked := d.Metric(d.Controls[0].HTTP, messagesSentMetric)
	d.WaitFor("several attempts at an election", func() bool {
		return d.Metric(d.Controls[0].HTTP, messagesSentMetric) >= asked+10
	})
	result, err := d.Propose(d.Controls[0], &controlpb.Command{RequestId: "minority", Change: putRoute("minority", 1)})
	if err == nil && result.Code == 0 {
		t.Error("a minority with a VM that is no member confirmed a change")
	}
	if d.ShowOf(d.Controls[0]) != nil || d.ShowOf(lost) != nil {
		t.Error("a minority with a VM that is no member has a leader")
	}
	second.Start()
	d.WaitFor("a leader", func() bool { return d.Show() != nil })
	if identityOf(d, lost) == fresh {
		t.Error("the VM without files became a member by itself")
	}
	if age := routeMaxAge(d, "counted"); age != 10 {
		t.Errorf("age %d, want 10", age)
	}
	d.Ctl("member", "add-learner", fresh, "--address", lost.Address)
	d.WaitFor("the learner in the membership", func() bool {
		for _, v := range d.Show().GetVoters() {
			if v.Identity == fresh {
				return v.Learner && v.Active
			}
		}
		return false
	})
}
