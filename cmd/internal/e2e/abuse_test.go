package e2e

import (
	"context"
	"encoding/binary"
	"net"
	"testing"

	"github.com/jayloom/jayloom/cmd/internal/crowd"
	"github.com/jayloom/jayloom/cmd/internal/procstat"
)

// The tests of this file, whose names begin with TestAbuse, are to run one at a time, apart from other load
// (scripts/test.sh). They check that a process lives and stays under a bound, and that an ordinary request is served.

const (
	// abuseAddress is the address of ordinary callers too: a load balancer may hide theirs.
	abuseAddress = "127.0.0.1"
	// maxProxyMemory is some 100 MB above what an idle proxy or control process holds.
	maxProxyMemory = 128e6
	// maxUnauthenticated and maxMessageBytes are lowered settings of the proxies.
	maxUnauthenticated = 20
	maxMessageBytes    = 8 << 20
	// maxDescriptors is above what an idle proxy with maxUnauthenticated has open, and below the size of the crowds that
	// connect to its other addresses.
	maxDescriptors = 400
	// descriptorCrowd is the size of a crowd that exceeds maxDescriptors.
	descriptorCrowd = 700
)

// abuse lets a crowd act on an address of a process. Meanwhile an ordinary request must be served.
func abuse(t *testing.T, size int, target func(*Deployment) (*Process, string), act func(*Deployment) crowd.Client) {
	t.Helper()
	d := Start(t, Options{Controls: 1, Proxies: 1, StandIns: 1, ProxySettings: object{
		"max_unauthenticated": maxUnauthenticated, "max_message_bytes": maxMessageBytes,
	}})
	p, address := target(d)
	w := procstat.Watch(p.pid(), address)
	defer w.Stop()
	crowd.Start(t, size, abuseAddress, address, act(d))
	d.WaitFor("an ordinary request to be served", func() bool {
		conn, err := d.Connect(t.Context(), d.Proxies[0])
		if err != nil {
			return false
		}
		defer closeConn(conn)
		_, err = conn.Exec(t.Context(), "SELECT 1")
		return err == nil
	})
	d.checkProcess(p, w.Peak())
}

// checkProcess reports a process that has ended or was seen to hold too much.
func (d *Deployment) checkProcess(p *Process, peak procstat.Peak) {
	d.t.Helper()
	d.t.Logf("%s: peak memory %.1f MB, %.1f MB of it or less unread (bound %.1f), %d descriptors (bound %d)", p.Name,
		float64(peak.Memory)/1e6, float64(peak.Unread)/1e6, maxProxyMemory/1e6, peak.Descriptors, maxDescriptors)
	if !p.Running() {
		d.t.Errorf("%s is %s", p.Name, p.State())
	}
	if peak.Memory > maxProxyMemory {
		d.t.Errorf("%s holds %.1f MB", p.Name, float64(peak.Memory)/1e6)
	}
	if peak.Descriptors > maxDescriptors {
		d.t.Errorf("%s has %d descriptors open", p.Name, peak.Descriptors)
	}
}

func proxyCallers(d *Deployment) (*Process, string) {
	return d.Proxies[0].Process, d.Proxies[0].Address
}
func proxyHTTP(d *Deployment) (*Process, string)   { return d.Proxies[0].Process, d.Proxies[0].HTTP }
func controlHTTP(d *Deployment) (*Process, string) { return d.Controls[0].Process, d.Controls[0].HTTP }

// fixed returns what a crowd does whatever the deployment.
func fixed(act crowd.Client) func(*Deployment) crowd.Client {
	return func(*Deployment) crowd.Client { return act }
}

// message returns a message of the PostgreSQL protocol without the type byte, whose announced length is longer than the
// body by missing bytes.
func message(body string, missing int) string {
	const lengthBytes = 4
	return string(binary.BigEndian.AppendUint32(nil, uint32(lengthBytes+len(body)+missing))) + body
}

// login returns a client that logs in as the team.
func login(d *Deployment) crowd.Client {
	const version = "\x00\x03\x00\x00"
	return crowd.Send(message(version+"user\x00"+Team+"\x00database\x00"+Service+"\x00\x00", 0) + "p" + message(d.Key+"\x00", 0))
}

// Guards against callers who open connections to a proxy and send nothing.
func TestAbuseOfProxyBySilentCallers(t *testing.T) {
	abuse(t, 3*maxUnauthenticated, proxyCallers, fixed(crowd.WaitForClose))
}

// Guards against callers whose startup message arrives one byte a second.
func TestAbuseOfProxyByTricklingStartups(t *testing.T) {
	abuse(t, 3*maxUnauthenticated, proxyCallers, fixed(crowd.Trickle(message(crowd.Text(1000), 0))))
}

// Guards against long statements to a proxy that are left half-way.
func TestAbuseOfProxyByMessagesLeftHalfWay(t *testing.T) {
	abuse(t, 40, proxyCallers, func(d *Deployment) crowd.Client {
		return crowd.InOrder(login(d), crowd.Send("Q"+message(crowd.Text(maxMessageBytes-1000), 100)), crowd.WaitForClose)
	})
}

// Guards against reads that are sent ahead while no answer is read.
func TestAbuseOfProxyByReadsSentAhead(t *testing.T) {
	abuse(t, 100, proxyCallers, func(d *Deployment) crowd.Client {
		return crowd.InOrder(login(d), crowd.SendWithoutEnd("Q"+message("SELECT 1\x00", 0)))
	})
}

// Guards against long statements that are sent ahead while no answer is read.
func TestAbuseOfProxyByStatementsSentAhead(t *testing.T) {
	abuse(t, 40, proxyCallers, func(d *Deployment) crowd.Client {
		return crowd.InOrder(login(d), crowd.SendWithoutEnd("Q"+message("SELECT 1 -- "+crowd.Text(6<<20)+"\x00", 0)))
	})
}

// Guards against sessions that together prepare far more than one may.
func TestAbuseOfProxyByPreparedStatements(t *testing.T) {
	abuse(t, 40, proxyCallers, func(d *Deployment) crowd.Client {
		return crowd.InOrder(login(d), func(ctx context.Context, conn net.Conn) {
			for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
				parse := "P" + message(name+"\x00SELECT 1 /*"+crowd.Text(500<<10)+"*/\x00\x00\x00", 0)
				crowd.Send(parse+"S"+message("", 0))(ctx, conn)
			}
			crowd.WaitForClose(ctx, conn)
		})
	})
}

// Guards against half-open HTTP connections, headers without end and headers left half-way at the HTTP addresses.
func TestAbuseOfHTTP(t *testing.T) {
	const request = "GET /none HTTP/1.1\r\nHost: a\r\n"
	for address, target := range map[string]func(*Deployment) (*Process, string){"proxy": proxyHTTP, "control": controlHTTP} {
		t.Run(address+"-silent", func(t *testing.T) { abuse(t, descriptorCrowd, target, fixed(crowd.WaitForClose)) })
		t.Run(address+"-idle", func(t *testing.T) {
			abuse(t, descriptorCrowd, target, fixed(crowd.InOrder(crowd.Send(request+"\r\n"), crowd.WaitForClose)))
		})
		t.Run(address+"-headers", func(t *testing.T) {
			abuse(t, 200, target, fixed(crowd.InOrder(crowd.Send(request+"A: "+crowd.Text(900<<10)), crowd.WaitForClose)))
		})
	}
}

// Guards against a body without end at the address for announcements.
func TestAbuseOfControlByBodiesWithoutEnd(t *testing.T) {
	header := "POST /v1/upstreams HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	abuse(t, 60, controlHTTP, fixed(crowd.InOrder(crowd.Send(header), crowd.SendWithoutEnd("1000\r\n"+crowd.Text(0x1000)+"\r\n"))))
}
