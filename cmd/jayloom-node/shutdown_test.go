package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/jayloom/jayloom/base/logging"
	"github.com/jayloom/jayloom/platform"
	"github.com/jayloom/jayloom/platform/standin"
)

// Guards against a stop that closes the connection of an operator's or upstream's call that has
// been accepted, without an answer.
func TestStopAnswersRunningCalls(t *testing.T) {
	d := startDeployment(t)
	d.putConfiguration(1, "secret")
	n := d.nodes[0]
	c, err := net.Dial("tcp4", n.endpoint.ControlAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	const firstPart, secondPart = `{"service":"wax","address":"127.0.0.1:1",`, `"state":"ready","db_role":"replica","seq":1}`
	_, _ = fmt.Fprintf(c, "POST /api/Instances.Heartbeat/i-9 HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n%s",
		len(firstPart)+len(secondPart), firstPart)
	// Without callers, the stop closes the servers of calls as soon as the load balancer has left.
	noNewCalls := time.Now().Add(2500 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.shutdown(context.Background())
	}()
	time.Sleep(time.Until(noNewCalls))
	if _, err := fmt.Fprint(c, secondPart); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("the call got no answer: %v", err)
	}
	_ = response.Body.Close()
	<-stopped
}

// Guards against a signal that ends a node while it starts: a SIGHUP would kill it, and a SIGTERM
// would cut the callers that it has accepted by then.
func TestSignalsDuringStartAreHandled(t *testing.T) {
	endpoint := standin.Node{Name: "n0", IP: "127.0.7.9", Folder: t.TempDir()}
	settings, err := platform.ParseSettings(endpoint.Settings([]standin.Node{endpoint}, "127.0.7.9:1"))
	if err != nil {
		t.Fatal(err)
	}
	n := newNode(options{}, settings, logging.NewRateLimited(io.Discard, "test", "n0"))
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
	}
	if err := n.waitForStop(); err != nil {
		t.Errorf("the signals ended the node with %v", err)
	}
}
