package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
	"github.com/jayloom/jayloom/review/harness-2/fleet"
)

// order is a call of POST /promote.
type order struct {
	id    string
	fence uint64
}

// drainSequence is the number of the first heartbeat that reports a drain, above all before it.
const drainSequence = 1000

func parseOrder(r *http.Request) (order, bool) {
	var body struct{ Service, ID string }
	fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if r.Method != http.MethodPost || r.URL.Path != "/promote" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		return order{}, false
	}
	return order{body.ID, fence}, true
}

// announcer sends the heartbeats of servers: one at their start, then one each beat.
type announcer struct {
	record *fleet.Record
	group  *standin.Group
	nodes  []*fleet.Node

	mu       sync.Mutex
	cut      map[string]bool
	draining map[string]bool
}

// cutOff partitions a server from the nodes for its heartbeats.
func (a *announcer) cutOff(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cut == nil {
		a.cut = map[string]bool{}
	}
	a.cut[id] = true
}

// drain makes a server report that it drains, at once and from now on.
func (a *announcer) drain(s *standin.Server) {
	a.mu.Lock()
	if a.draining == nil {
		a.draining = map[string]bool{}
	}
	a.draining[s.ID] = true
	a.mu.Unlock()
	a.send(s, drainSequence)
}

func (a *announcer) state(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining[id] {
		return "draining"
	}
	return "ready"
}

// restore ends the partition of a server.
func (a *announcer) restore(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cut, id)
}

func (a *announcer) isCut(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cut[id]
}

func (a *announcer) announce(ctx context.Context, s *standin.Server) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		if !a.isCut(s.ID) {
			number := sequence
			if a.state(s.ID) == "draining" {
				number += drainSequence
			}
			a.send(s, number)
		}
		select {
		case <-ctx.Done():
		case <-time.After(beat):
		}
	}
}

// send sends a heartbeat to the nodes in turn until one acknowledges it.
func (a *announcer) send(s *standin.Server, sequence int) {
	role := "replica"
	if a.group.Primary() == s.ID {
		role = "primary"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"hafnarfj","version":"v1","slots":3,"state":%q,"cold_left_ms":0,"seq":%d,"born":%d,"db_role":%q}`,
		service, s.AnnouncedAddress(), a.state(s.ID), sequence, s.StartedAt().UnixMilli(), role)
	for _, n := range a.nodes {
		code := fleet.Post("http://"+n.Control()+"/api/Instances.Heartbeat/"+s.ID, []byte(body))
		a.record.Detail("server %s: heartbeat %d to %s: status %d", s.ID, sequence, n.Name, code)
		if code == http.StatusOK {
			return
		}
	}
}

const configuration = `{"version":1,"routes":[{"name":"r-1","host":"intake","path_prefix":"/","type":"primary","timeout_ms":1000,` +
	`"goal_ms":200,"priority":1,"service":"wax","attempts":2,"public":false}],"services":[{"name":"wax","health_path":"/health",` +
	`"max_conns":50,"protocol":"h1","tls":false,"sync_replicas":1}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,` +
	`"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},"tenants":[` +
	`{"name":"team","api_keys":["secret-key"],"priority":1,"rate_per_s":5000,"burst":5000}]}`
