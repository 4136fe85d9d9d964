package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
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
