// Command crowd plays a crowd of consumers at a node whose statements go through other nodes: consumers that read large
// answers slowly, or, with FORM=writes, many that send a statement each.
package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
	"github.com/jayloom/jayloom/review/harness-3/fleet"
)

const (
	// memory is that of a machine in MB, above which the platform kills a process.
	memory = 184
	// largeRow is below the largest message, 1 MiB.
	largeRow = 1000 << 10
	// linkBandwidth is that of the settings, 1,000 Mbit/s, in bytes a second.
	linkBandwidth = 125e6
	// crowdTime is how long the crowd is there.
	crowdTime = 6500 * time.Millisecond
	// readers and writers are the sizes of the crowd.
	readers, writers = 250, 2400
	// dataBytes is the length of what is written.
	dataBytes = 16000
	// groups is the number of the services, with three servers each, as on the sheet.
	groups = 3
	// slots is the number of a server's, readWork and writeWork what its work takes, as on the sheet.
	slots     = 3
	readWork  = 40 * time.Millisecond
	writeWork = 24 * time.Millisecond
	// rounds is how often the crowd comes to each of the nodes.
	rounds = 3
	// connections is what a server accepts.
	connections = 23
)

func main() { os.Exit(run()) }

type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"path_prefix"`
	Type     string `json:"type"`
	Timeout  int    `json:"timeout_ms"`
	Goal     int    `json:"goal_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
	MaxStale int    `json:"max_stale_ms,omitempty"`
	Public   bool   `json:"public"`
}

func setting(name string, value int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return value
}

func run() int {
	c := crowd{trouble: os.Getenv("TROUBLE") != "0", writes: os.Getenv("FORM") == "writes", stop: &atomic.Bool{}, sent: &atomic.Int64{}}
	c.size, c.link = readers, &fleet.Link{BytesPerSecond: linkBandwidth}
	if c.writes && c.trouble {
		c.size = writers
	}
	c.size = setting("CROWD", c.size)
	c.groups = groups
	if c.writes {
		c.groups = 1
	}
	record, err := fleet.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	var all []*standin.Group
	for i := range groups {
		g, err := standin.NewGroup(name("vaxskra", i), name("i-1", i), name("i-2", i), name("i-3", i))
		if err != nil {
			fmt.Println(err)
			return 2
		}
		defer g.Close()
		all = append(all, g)
	}
	platform, err := fleet.NewPlatform(record, all...)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer platform.Close()
	f, err := fleet.New(os.Args[1], 3, setting("OTHERS", 9), platform.Address, record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.Close()
	f.MemoryMB = setting("MEMORY_MB", memory)
	// All answers together are no faster than the link of the node that gets them.
	link := &fleet.Link{BytesPerSecond: linkBandwidth}
	for _, g := range all {
		if err := c.prepare(g, link); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	if err := f.Start(); err != nil {
		fmt.Println(err)
		return 2
	}
	for _, g := range all {
		announcer := f.Announce(g, record)
		defer announcer.Close()
	}
	if err := f.Put(configuration(), 20*time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	if err := f.AwaitReady(20 * time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	time.Sleep(5 * time.Second)
	targets := followers(f)
	ends := map[string]int{}
	for round := range rounds * len(targets) {
		target := targets[round%len(targets)]
		if err := readOnce(record, target, fmt.Sprintf("ordinary-%d", round)); err != nil {
			fmt.Println("an ordinary read before the crowd:", err)
			return 2
		}
		if c.visit(record, target, int64(f.MemoryMB)<<20) {
			ends[target.Name]++
			time.Sleep(time.Second)
			if err := target.Start(); err != nil {
				fmt.Println(err)
				return 2
			}
		}
		if err := f.AwaitReady(20 * time.Second); err != nil {
			fmt.Println(err)
			return 2
		}
		time.Sleep(2 * time.Second)
	}
	broken := 0
	for _, n := range targets {
		record.Say("%s was over its memory %d times", n.Name, ends[n.Name])
		if ends[n.Name] >= rounds {
			broken++
		}
	}
	if broken == len(targets) {
		return 1
	}
	return 0
}

// name returns the name of a thing of a group.
func name(base string, group int) string { return fmt.Sprintf("%s-%d", base, group+1) }

// prepare gives the servers of a group their slots, and the length of their rows.
func (c crowd) prepare(g *standin.Group, link *fleet.Link) error {
	for _, s := range g.Servers() {
		s.SetLag(8 * time.Millisecond)
		if c.writes {
			s.SetSlots(slots, writeWork, writeWork)
		}
		large, err := fleet.NewLargeRows(s.Address, largeRow, link, slots, readWork)
		if err != nil {
			return err
		}
		s.SetAnnouncedAddress(large.Address)
	}
	return nil
}

func configuration() map[string]any {
	var routes []route
	var services []map[string]any
	for i := range groups {
		service := name("vaxskra", i)
		routes = append(routes, route{
			Name: name("r-read", i), Host: name("colour-lookup", i), Prefix: "/", Type: "bounded_staleness",
			Timeout: setting("TIMEOUT_MS", 4000), Goal: 600, Priority: 2, Service: service, Attempts: 2, MaxStale: 1500,
		}, route{
			Name: name("r-write", i), Host: name("melt-lot", i), Prefix: "/", Type: "read_your_writes", Timeout: 1000, Goal: 400, Priority: 2,
			Service: service, Attempts: 2, MaxStale: 2500,
		})
		services = append(services, map[string]any{
			"name": service, "health_path": "/health", "max_conns": setting("CONNECTIONS", connections), "protocol": "h1", "tls": false,
		})
	}
	return map[string]any{
		"version": 7, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 3000},
		"tenants": []map[string]any{{"name": "sorters", "api_keys": []string{"secret"}, "priority": 2, "rate_per_s": 6000, "burst": 6000}},
	}
}

// followers returns two nodes with a disk that don't lead: a tenth of all machines, two at least.
func followers(f *fleet.Fleet) []*fleet.Node {
	var nodes []*fleet.Node
	leader := f.Leader()
	for _, n := range f.Nodes[:3] {
		if n != leader && len(nodes) < 2 {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// crowd is what comes to a node.
type crowd struct {
	size int
	// groups is the number of the services that the crowd uses.
	groups int
	// trouble makes readers read slowly.
	trouble, writes bool
	// link is that of the node, by which the statements come.
	link *fleet.Link
	stop *atomic.Bool
	sent *atomic.Int64
}

// visit sends the crowd to a node and reports whether the node's process came to use more than its memory, for which the
// platform kills it.
func (c crowd) visit(record *fleet.Record, target *fleet.Node, memoryLimit int64) bool {
	record.Say("a crowd of %d comes to %s, which uses %d MB", c.size, target.Name, resident(target)>>20)
	c.stop.Store(false)
	c.sent.Store(0)
	end := time.Now().Add(crowdTime)
	var consumers sync.WaitGroup
	for i := range c.size {
		consumers.Go(func() { c.consume(record, target, i, end) })
	}
	largest, killed := int64(0), false
	for time.Now().Before(end) && !killed {
		largest = max(largest, resident(target))
		if largest > memoryLimit {
			record.Say("%s uses %d MB, more than the %d MB of its machine: the platform kills it", target.Name, largest>>20, memoryLimit>>20)
			target.Kill()
			killed = true
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.stop.Store(true)
	record.Say("the crowd sent %d statements; %s used %d MB at most", c.sent.Load(), target.Name, largest>>20)
	consumers.Wait()
	return killed
}

// readOnce sends one ordinary read.
func readOnce(record *fleet.Record, n *fleet.Node, id string) error {
	c, err := n.Connect(name("colour-lookup", 0), "secret", 2*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	a, err := c.Query(id, "READ 1a4", 3*time.Second)
	record.Printf("answered %s %s %s %v", id, a.Digest, a.Refusal, err)
	if err == nil && a.Refusal != "" {
		err = fmt.Errorf("refused: %s", a.Refusal)
	}
	return err
}

// consume is a consumer that sends one statement and reads its answer, a slow reader a kilobyte every 100 ms. It goes on
// with a new session when the answer is complete or the node has ended the session.
func (c crowd) consume(record *fleet.Record, n *fleet.Node, number int, end time.Time) {
	for i := 0; !c.stop.Load() && time.Now().Before(end); i++ {
		id := fmt.Sprintf("crowd-%d-%d", number, i)
		record.Printf("%s: %s", id, c.sendOne(n, number%c.groups, id, end))
		time.Sleep(50 * time.Millisecond)
	}
}

func (c crowd) sendOne(n *fleet.Node, group int, id string, end time.Time) string {
	slow := c.trouble && !c.writes
	// The segments are those of Ethernet. With those of a loopback interface, 64 KB, the kernel takes a whole row from
	// the node.
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			if slow {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			}
		})
	}}
	conn, err := dialer.Dial("tcp4", net.JoinHostPort(n.IP, strconv.Itoa(fleet.CallerPort)))
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	pause, buffer := 100*time.Millisecond, make([]byte, 1024)
	if !slow {
		pause, buffer = 0, make([]byte, 64<<10)
	}
	database, text := "colour-lookup", "READ large"+id
	if c.writes {
		database, text = "melt-lot", "WRITE "+id+" "+strings.Repeat("y", dataBytes)
	}
	if _, err := fmt.Fprintf(conn, "START %s secret\r\n", name(database, group)); err != nil {
		return err.Error()
	}
	size, err := conn.Read(buffer)
	if err != nil || !strings.HasPrefix(string(buffer[:size]), "READY") {
		return fmt.Sprintf("START: %q, %v", buffer[:size], err)
	}
	c.link.Pass(len(text))
	if _, err := fmt.Fprintf(conn, "QUERY %s %s\r\n", id, text); err != nil {
		return err.Error()
	}
	c.sent.Add(1)
	total, first := 0, ""
	for !c.stop.Load() {
		size, err := conn.Read(buffer)
		if first == "" {
			first = strings.TrimSpace(string(buffer[:min(size, 40)]))
		}
		total += size
		if err != nil {
			return fmt.Sprintf("%d bytes read, beginning with %q, %v", total, first, err)
		}
		if strings.HasPrefix(first, "ERR") || strings.Contains(string(buffer[:size]), "\r\nREADY ") {
			return fmt.Sprintf("%d bytes read, beginning with %q, complete", total, first)
		}
		time.Sleep(pause)
	}
	return fmt.Sprintf("%d bytes read, beginning with %q, stopped", total, first)
}

// resident returns the resident memory of a node without pages of files.
func resident(n *fleet.Node) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
