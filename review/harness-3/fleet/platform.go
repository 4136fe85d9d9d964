package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// Platform takes promotion orders and carries them out after PromoteTime, with a check of the fence.
type Platform struct {
	Address     string
	PromoteTime time.Duration
	// Recheck makes it check the fence once more when a promotion takes effect, which the pages do not ask for.
	Recheck bool
	record  *Record
	mu      sync.Mutex
	groups  map[string]*standin.Group
	fences  map[string]uint64
	server  *http.Server
	orders  int
	// Hook, if set, is called for each order that arrived; it returns false if it deals with the order itself.
	Hook func(w http.ResponseWriter, r *http.Request, service, id string, fence uint64) bool
}

// NewPlatform starts a platform.
func NewPlatform(record *Record, groups ...*standin.Group) (*Platform, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Address: l.Addr().String(), PromoteTime: time.Second, record: record, groups: map[string]*standin.Group{}, fences: map[string]uint64{}}
	for _, g := range groups {
		p.groups[g.Service] = g
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Close ends the platform.
func (p *Platform) Close() { _ = p.server.Close() }

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if r.URL.Path != "/promote" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.orders++
	p.mu.Unlock()
	p.record.Say("platform: order to promote %s, fence %d, holder %s", body.ID, fence, r.Header.Get("Duty-Holder"))
	if p.Hook != nil && !p.Hook(w, r, body.Service, body.ID, fence) {
		return
	}
	if !p.Accept(body.Service, body.ID, fence) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(p.PromoteTime, func() {
		if p.Recheck && !p.Accept(body.Service, body.ID, fence) {
			return
		}
		p.Execute(body.Service, body.ID)
	})
}

// Accept checks the fence of an order and that its server runs.
func (p *Platform) Accept(service, id string, fence uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fence < p.fences[service] {
		p.record.Say("platform: order for %s refused, fence %d is below %d", id, fence, p.fences[service])
		return false
	}
	p.fences[service] = fence
	g := p.groups[service]
	if g == nil {
		return false
	}
	for _, s := range g.Servers() {
		if s.ID == id {
			return !s.Stopped()
		}
	}
	return false
}

// Execute promotes a server.
func (p *Platform) Execute(service, id string) bool {
	g := p.groups[service]
	before := g.Primary()
	ok := g.Promote(id)
	if before != id {
		p.record.Say("platform: %s is promoted: %t (before: %s)", id, ok, before)
	}
	return ok
}

// Announcer sends the status reports of the servers of a group.
type Announcer struct {
	fleet  *Fleet
	group  *standin.Group
	record *Record
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	known  map[string]bool
	// cut has the servers that are cut off from control.
	cut map[string]bool
	// state returns the state of a server, "ready" if it is nil.
	state func(id string) string
	// Acked is called with each acknowledged report.
	Acked func(id, state string, node *Node)
}

// Beat is the time between two status reports.
const Beat = 1200 * time.Millisecond

// Announce begins to send status reports.
func (f *Fleet) Announce(g *standin.Group, record *Record) *Announcer {
	a := &Announcer{fleet: f, group: g, record: record, stop: make(chan struct{}), known: map[string]bool{}, cut: map[string]bool{}}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		for {
			for _, s := range g.Servers() {
				a.mu.Lock()
				begin := !a.known[s.ID]
				a.known[s.ID] = true
				a.mu.Unlock()
				if begin {
					a.wg.Add(1)
					go a.run(s)
				}
			}
			select {
			case <-a.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return a
}

func (a *Announcer) run(s *standin.Server) {
	defer a.wg.Done()
	sequence := 0
	lastRole, lastState, lastAt := "", "", time.Time{}
	for i := 0; ; i++ {
		select {
		case <-a.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if s.Stopped() {
			lastRole = ""
			continue
		}
		role, state := "replica", "ready"
		if a.group.Primary() == s.ID {
			role = "primary"
		}
		if f := a.currentState(); f != nil {
			state = f(s.ID)
		}
		if state == "silent" {
			continue
		}
		if role == lastRole && state == lastState && time.Since(lastAt) < Beat {
			continue
		}
		sequence++
		lastRole, lastState, lastAt = role, state, time.Now()
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"hafnarfj","version":"v1","slots":3,"state":%q,"cold_left_ms":0,"db_role":%q,"seq":%d,"born":%d}`,
			a.group.Service, s.AnnouncedAddress(), state, role, sequence, s.StartedAt().UnixMilli())
		// The address is chosen per report; after a failure the next node is called.
		for k := range a.fleet.Nodes {
			n := a.fleet.Nodes[(i+k)%len(a.fleet.Nodes)]
			if a.isCut(s.ID) {
				// The report gets no answer.
				time.Sleep(time.Second)
				break
			}
			if Post(n.Control(), "/api/Instances.Heartbeat/"+s.ID, []byte(body)) == http.StatusOK {
				if a.Acked != nil {
					a.Acked(s.ID, state, n)
				}
				break
			}
		}
	}
}

// Close ends the reports.
func (a *Announcer) Close() {
	close(a.stop)
	a.wg.Wait()
}

// Ordered returns how many orders have arrived.
func (p *Platform) Ordered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orders
}

// SetState sets what returns the states that servers report.
func (a *Announcer) SetState(f func(id string) string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = f
}

func (a *Announcer) currentState() func(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Cut cuts a server off from control, or joins it again.
func (a *Announcer) Cut(id string, cut bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cut[id] = cut
}

func (a *Announcer) isCut(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cut[id]
}
