// Command case10 starts a whole system for the first time. One of its three machines with a disk is lost for good while
// the system starts, and an empty one takes its place at another address.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
	"github.com/jayloom/jayloom/review/harness-2/fleet"
)

const (
	folder = "review/10"
	// All machines start within 0.3 s of each other, as the pages say; the lost one is the first.
	lostAfter = 100 * time.Millisecond
	startGap  = 30 * time.Millisecond
	// replacedAfter is the time from the loss to the start of the empty machine. The site's dose is x = 2.0.
	replacedAfter = 2 * time.Second
	// seedsAfter is when the settings files name the new machine; the operator's list lags by 3 s.
	seedsAfter = 4 * time.Second
	// traffic starts 10 s after the machines.
	leadTime = 10 * time.Second
	// The configuration is sent until lastTry. Its bound is ack_ms = 5,000 once the core is stable, which it is from
	// contact_ms = 4,000 after the empty machine came.
	lastTry = 100 * time.Second
)

func main() {
	record, err := fleet.NewRecord(folder)
	if err != nil {
		fleet.Exit(err)
	}
	err = play(record)
	record.Printf("result: %v", err)
	record.Close()
	fleet.Exit(err)
}

func play(record *fleet.Record) error {
	f, err := fleet.New(record)
	if err != nil {
		return err
	}
	defer f.Close()
	group, err := standin.NewGroup("wax", "i-1", "i-2", "i-3")
	if err != nil {
		return err
	}
	defer group.Close()
	infrastructure := standin.NewInfrastructure(group)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	f.CloudAddress = l.Addr().String()
	go func() { _ = http.Serve(l, infrastructure) }()

	start := time.Now()
	running, err := startAll(f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var controls []string
	for _, n := range running {
		controls = append(controls, n.Control())
	}
	go infrastructure.Announce(ctx, controls)
	time.Sleep(time.Until(start.Add(leadTime)))
	record.Printf("operator: sends the first configuration to all machines in turn, until it is acknowledged")
	by := f.PutConfig(1, configuration, start.Add(lastTry), running...)
	f.KeepLogs("waiting for", "formed the first", "became leader", "leadership", "disk_opened", "in_force")
	if by == nil {
		return fmt.Errorf("%w: Fault, no configuration was acknowledged and no request served within %v", fleet.ErrBroken, lastTry)
	}
	return serve(record, running)
}

// startAll starts five machines, three of them with a disk. With the disruption, the third one of these is lost.
func startAll(f *fleet.Fleet) ([]*fleet.Node, error) {
	core := []*fleet.Node{f.Add(1, true), f.Add(2, true), f.Add(3, true)}
	others := []*fleet.Node{f.Add(4, false), f.Add(5, false)}
	order := []*fleet.Node{core[2], core[0], core[1], others[0], others[1]}
	for _, n := range order {
		if err := n.WriteSettings(core...); err != nil {
			return nil, err
		}
	}
	for i, n := range order {
		if err := n.Start(); err != nil {
			return nil, err
		}
		if i == 0 {
			time.Sleep(lostAfter)
			if fleet.Trouble() {
				f.Record.Printf("replace_core: %s is gone for good", n.Name)
				n.Kill()
			}
		}
		time.Sleep(startGap)
	}
	if !fleet.Trouble() {
		return order, nil
	}
	time.Sleep(replacedAfter - lostAfter)
	empty := f.Add(6, true)
	empty.Bootstrap = false
	if err := empty.WriteSettings(core...); err != nil {
		return nil, err
	}
	f.Record.Printf("replace_core: an empty machine comes at another address")
	if err := empty.Start(); err != nil {
		return nil, err
	}
	time.Sleep(seedsAfter - replacedAfter)
	running := append(order[1:], empty)
	for _, n := range running {
		if err := n.WriteSettings(core[0], core[1], empty); err != nil {
			return nil, err
		}
		n.Signal(syscall.SIGHUP)
	}
	return running, nil
}

// serve checks that the machines serve a consumer.
func serve(record *fleet.Record, nodes []*fleet.Node) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for _, n := range nodes {
			s, err := fleet.Connect(n.Caller(), "intake", "secret-key")
			if err != nil {
				record.Detail("consumer at %s: %v", n.Name, err)
				continue
			}
			r, err := s.Query("id-1", "WRITE item x")
			s.Close()
			record.Printf("consumer at %s: write answered with digest %q, error %q, %v", n.Name, r.Digest, r.Error, err)
			if err == nil && r.Error == "" && r.Digest != "" {
				return nil
			}
		}
	}
	return fmt.Errorf("%w: Fault, no request was served", fleet.ErrBroken)
}

const configuration = `{"version":1,"routes":[{"name":"r-1","host":"intake","path_prefix":"/","type":"primary","timeout_ms":1000,` +
	`"goal_ms":200,"priority":1,"service":"wax","attempts":2,"public":false}],"services":[{"name":"wax","health_path":"/health",` +
	`"max_conns":23,"protocol":"h1","tls":false,"sync_replicas":0}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,` +
	`"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},"tenants":[{"name":"team","api_keys":["secret-key"],` +
	`"priority":1,"rate_per_s":500,"burst":500}]}`
