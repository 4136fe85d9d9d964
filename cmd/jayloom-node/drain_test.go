package main

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// pastDrain is how long the infrastructure stays down after the end of the drain.
const pastDrain = 2 * time.Second

// arrivals records when statements of callers arrive at servers.
type arrivals struct {
	mu    sync.Mutex
	times map[string][]time.Time
}

func (a *arrivals) add(e standin.Execution) {
	if e.ID == "-" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[e.Server] = append(a.times[e.Server], e.ArrivedAt)
}

// after returns how many statements arrived at a server later than a time.
func (a *arrivals) after(server string, end time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.times[server] {
		if at.After(end) {
			count++
		}
	}
	return count
}

// Guards against nodes that go on sending writes to a draining primary after the end of its drain while the
// infrastructure is down and no other server can be promoted.
func TestNothingReachesADrainedPrimary(t *testing.T) {
	d := startDeployment(t)
	arrived := &arrivals{times: map[string][]time.Time{}}
	d.group.OnExecution(arrived.add)
	d.putConfiguration(1, "secret")
	var sessions []*standin.Caller
	for _, n := range d.nodes {
		d.waitUntil("a session", func() bool {
			if !n.isReady() {
				return false
			}
			session, _ := d.connect(n, "intake", "secret")
			if session == nil || succeeds(session, "WRITE a 1") {
				sessions = append(sessions, session)
				return session != nil
			}
			session.Close()
			return false
		})
	}
	d.infrastructure.SetDown(true)
	old := d.group.Primary()
	server := serverOf(d, old)
	server.SetDraining()
	d.waitUntil("the acknowledgement", func() bool { return !server.DrainAcknowledgedAt().IsZero() })
	end := server.DrainAcknowledgedAt().Add(standin.DrainTime)
	written, refused := 0, map[string]int{}
	for time.Now().Before(end.Add(pastDrain)) {
		for _, session := range sessions {
			answer, err := session.Query("WRITE a 2")
			switch {
			case err != nil:
				t.Fatal(err)
			case answer.Refusal == "":
				written++
			default:
				refused[strings.Fields(answer.Refusal)[0]]++
			}
		}
		time.Sleep(retryPause)
	}
	t.Logf("%d writes acknowledged, refused: %v", written, refused)
	if n := arrived.after(old, end); n > 0 {
		t.Errorf("%d statements reached the draining primary after the end of its drain", n)
	}
	if written == 0 || refused["BUSY"] == 0 || len(refused) != 1 {
		t.Errorf("%d writes acknowledged, refused: %v; want all refusals to promise that nothing has run", written, refused)
	}
	d.infrastructure.SetDown(false)
	for _, session := range sessions {
		d.waitUntil("a write on another primary", func() bool { return succeeds(session, "WRITE a 3") })
	}
	if d.group.Primary() == old {
		t.Error("the draining server is still the primary")
	}
	if n := arrived.after(old, end); n > 0 {
		t.Errorf("%d statements reached the draining primary after the end of its drain", n)
	}
}

func serverOf(d *deployment, id string) *standin.Server {
	for _, s := range d.group.Servers() {
		if s.ID == id {
			return s
		}
	}
	d.t.Fatalf("no server %s", id)
	return nil
}
