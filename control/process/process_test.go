package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/control"
)

func testListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startProcess starts a control process that is its only voter. The returned function
// stops it and waits for its end.
func startProcess(t *testing.T, credential string) (p *process, stop func()) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	config := settings.Default()
	p = &process{
		config:      config,
		log:         logrus.NewEntry(logger),
		credentials: insecure.NewCredentials(),
		grpc:        testListener(t),
		http:        testListener(t),
	}
	config.Control.DataFolder = t.TempDir()
	config.Control.AdvertiseGRPC = p.grpc.Addr().String()
	config.Control.AnnouncementCredentialHash = control.HashCredential([]byte("salt"), credential)
	config.Cluster.Voters = []string{config.Control.AdvertiseGRPC}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.run(ctx) }()
	return p, func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("the process ended with %v", err)
		}
	}
}

// Guards against the stop of a control process that cuts an announcement which it is
// reading.
func TestStopAnswersAnnouncement(t *testing.T) {
	const credential, pause = "secret", 100 * time.Millisecond
	const body = `{"service":"wax","group":"wax-1","address":"127.0.0.1:1","state":"joining","connection_limit":5}`
	p, stop := startProcess(t, credential)
	conn, err := net.Dial("tcp", p.http.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	send := func(text string) {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Errorf("send the announcement: %v", err)
		}
	}
	send(fmt.Sprintf("POST /v1/upstreams HTTP/1.1\r\nHost: control\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", credential, len(body)))
	send(body[:len(body)/2])
	time.Sleep(pause)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	time.Sleep(pause)
	send(body[len(body)/2:])
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the announcement got no answer: %v", err)
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(answer), `"code"`) {
		t.Errorf("got %q, %v, want a reply with a code", answer, err)
	}
	t.Logf("%s: %s", response.Status, answer)
	<-stopped
}
