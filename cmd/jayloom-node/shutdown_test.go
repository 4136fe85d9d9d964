package main

import (
	"context"
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
	const address = "127.0.7.8:17570"
	n := startDeployment(t).nodes[0]
	accepted, release := make(chan struct{}), make(chan struct{})
	err := n.listenHTTP(address, "test", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(accepted)
		<-release
	}))
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	go func() { answered <- get("http://" + address) }()
	<-accepted
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.shutdown(context.Background())
	}()
	awaitRefusal(t, address)
	close(release)
	if err := <-answered; err != nil {
		t.Errorf("the call got no answer: %v", err)
	}
	<-stopped
}

func get(url string) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// awaitRefusal waits until an address accepts no connections any more.
func awaitRefusal(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			return
		}
		_ = c.Close()
	}
	t.Fatal("the server still accepts connections")
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
