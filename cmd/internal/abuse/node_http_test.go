package abuse

import (
	"fmt"
	"testing"

	"github.com/jayloom/jayloom/cmd/internal/crowd"
	"github.com/jayloom/jayloom/platform/standin"
)

const (
	// crowdAddress is an address that only a crowd connects from.
	crowdAddress = "127.0.46.1"
	// httpCrowdSize is above the descriptors of a node.
	httpCrowdSize = 700
)

// httpPorts are the ports of a node that serve HTTP.
var httpPorts = map[string]string{"ready": readyPort, "control": controlPort, "metrics": metricsPort}

// playHTTP lets a crowd act on each of the HTTP addresses of a node. Meanwhile an ordinary request and a call of an
// operator must be served.
func playHTTP(t *testing.T, size int, act crowd.Client) {
	t.Helper()
	for name, port := range httpPorts {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1)
			crowd.Start(t, size, hiddenAddress, address(f.nodes[0], port), act)
			f.requireServed(f.nodes[0])
			f.putConfiguration(2)
			f.check()
		})
	}
}

// Guards against half-open HTTP connections.
func TestSilentHTTP(t *testing.T) {
	playHTTP(t, httpCrowdSize, crowd.WaitForClose)
}

// Guards against HTTP connections that stay open behind an answer.
func TestIdleHTTP(t *testing.T) {
	playHTTP(t, httpCrowdSize, crowd.InOrder(crowd.Send("GET /none HTTP/1.1\r\nHost: a\r\n\r\n"), crowd.WaitForClose))
}

// Guards against HTTP headers without end.
func TestHTTPHeadersWithoutEnd(t *testing.T) {
	playHTTP(t, 200, crowd.InOrder(crowd.Send("GET /none HTTP/1.1\r\n"), crowd.SendWithoutEnd("A: "+crowd.Text(8<<10)+"\r\n")))
}

// Guards against long HTTP headers that are left half-way.
func TestHTTPHeadersLeftHalfWay(t *testing.T) {
	playHTTP(t, 200, crowd.InOrder(crowd.Send("GET /none HTTP/1.1\r\nA: "+crowd.Text(900<<10)), crowd.WaitForClose))
}

// Guards against bodies that are left half-way.
func TestHTTPBodiesLeftHalfWay(t *testing.T) {
	const announced = 15 << 20
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", standin.PathOfPut, announced)
	playHTTP(t, 60, crowd.InOrder(crowd.Send(header), crowd.Send(crowd.Text(announced-1)), crowd.WaitForClose))
}

// Guards against bodies without end.
func TestHTTPBodiesWithoutEnd(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, crowd.Text(64<<10))
	for name, path := range map[string]string{"configuration": standin.PathOfPut, "announcement": standin.PathOfAnnouncement + "i-9"} {
		t.Run(name, func(t *testing.T) {
			playHTTP(t, 60, crowd.InOrder(crowd.Send("POST "+path+" HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"), crowd.SendWithoutEnd(chunk)))
		})
	}
}

// Guards against a crowd at the port between nodes that takes a node's place among the voters.
func TestSilentConnectionsBetweenNodes(t *testing.T) {
	playNodePort(t, crowd.WaitForClose)
}

// Guards against HTTP/2 connections between nodes that are opened and left.
func TestIdleConnectionsBetweenNodes(t *testing.T) {
	// The preface of HTTP/2 and an empty SETTINGS frame.
	const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	playNodePort(t, crowd.InOrder(crowd.Send(preface), crowd.WaitForClose))
}

func playNodePort(t *testing.T, act crowd.Client) {
	t.Helper()
	f := startFleet(t, 3)
	for _, n := range f.nodes {
		crowd.Start(t, httpCrowdSize, crowdAddress, address(n, nodePort), act)
	}
	f.putConfiguration(2)
	f.requireAll(f.nodes)
	f.check()
}

// requireAll waits until each of the nodes serves an ordinary request.
func (f *fleet) requireAll(nodes []standin.Node) {
	f.t.Helper()
	for _, n := range nodes {
		f.requireServed(n)
	}
}
