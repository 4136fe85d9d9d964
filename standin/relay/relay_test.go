package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"
)

// startEchoServer starts a server that echoes all data and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func startRelay(t *testing.T) (*Relay, net.Conn) {
	t.Helper()
	r, err := Start(t.Context(), "127.0.0.1:0", startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	exchange(t, c, "hello")
	return r, c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func expectData(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("received %q, %v; want %q", got, err, want)
	}
}

func exchange(t *testing.T, c net.Conn, text string) {
	t.Helper()
	send(t, c, text)
	expectData(t, c, text)
}

// expectSilence fails the test if data arrives within 20 ms. On a slow machine a faulty
// relay can pass this check, but a correct relay never fails it.
func expectSilence(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	n, err := c.Read(make([]byte, 1))
	if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%d bytes arrived, error %v", n, err)
	}
	_ = c.SetReadDeadline(time.Time{})
}

// Guards against a cut that closes connections, forwards data or loses data.
func TestCutHoldsDataUntilHeal(t *testing.T) {
	for _, d := range []Direction{Up, Down, Both} {
		r, c := startRelay(t)
		if err := r.Cut(d); err != nil {
			t.Fatal(err)
		}
		send(t, c, "held")
		expectSilence(t, c)
		r.Heal()
		expectData(t, c, "held")
		exchange(t, c, "after")
	}
}

// Guards against serving a connection that is opened during a cut before Heal.
func TestNewConnectionDuringCutWaits(t *testing.T) {
	r, _ := startRelay(t)
	if err := r.Cut(Both); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	send(t, c, "late")
	expectSilence(t, c)
	r.Heal()
	expectData(t, c, "late")
}

// Guards against a delay that is applied to only one direction.
func TestDelay(t *testing.T) {
	r, c := startRelay(t)
	const delay = 10 * time.Millisecond
	if err := r.Delay(Both, delay); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	exchange(t, c, "slow")
	if elapsed := time.Since(start); elapsed < 2*delay {
		t.Fatalf("round trip took %v, less than the delays of both directions", elapsed)
	}
}

// Guards against a relay that keeps a connection open after one side has closed it
// or after Drop.
func TestEndOfConnectionIsPassedOn(t *testing.T) {
	r, c := startRelay(t)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	other, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	exchange(t, other, "open")
	r.Drop()
	if _, err := other.Read(make([]byte, 1)); err == nil {
		t.Fatal("a dropped connection still delivers data")
	}
}

// Guards against an HTTP API that differs from the methods of Relay.
func TestControlOverHTTP(t *testing.T) {
	r, c := startRelay(t)
	mux := http.NewServeMux()
	r.RegisterHandlers(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	post := func(path string, want int) {
		t.Helper()
		request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+path, nil)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Fatalf("%s answered %s", path, response.Status)
		}
	}
	post("/cut?direction=up", http.StatusNoContent)
	send(t, c, "x")
	expectSilence(t, c)
	post("/heal", http.StatusNoContent)
	expectData(t, c, "x")
	post("/delay?ms=1&direction=down", http.StatusNoContent)
	exchange(t, c, "y")
	post("/cut?direction=sideways", http.StatusBadRequest)
	post("/delay?ms=soon", http.StatusBadRequest)
	post("/drop", http.StatusNoContent)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection survived /drop")
	}
}
