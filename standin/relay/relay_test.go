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

// echo serves connections that get their own data back.
func echo(t *testing.T) string {
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
	r, err := Start(t.Context(), "127.0.0.1:0", echo(t))
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

func receive(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("received %q, %v; want %q", got, err, want)
	}
}

func exchange(t *testing.T, c net.Conn, text string) {
	t.Helper()
	send(t, c, text)
	receive(t, c, text)
}

// silent reports that nothing arrives within a moment. A relay that forwards by
// mistake can pass this check when the machine is slow, but a right one never fails.
func silent(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	n, err := c.Read(make([]byte, 1))
	if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%d bytes arrived, error %v", n, err)
	}
	_ = c.SetReadDeadline(time.Time{})
}

// Guards against a cut that closes connections, lets data pass, or loses it.
func TestCutHoldsDataUntilHeal(t *testing.T) {
	for _, d := range []Direction{Up, Down, Both} {
		r, c := startRelay(t)
		if err := r.Cut(d); err != nil {
			t.Fatal(err)
		}
		send(t, c, "held")
		silent(t, c)
		r.Heal()
		receive(t, c, "held")
		exchange(t, c, "after")
	}
}

// Guards against a connection that is answered although it was made during a cut.
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
	silent(t, c)
	r.Heal()
	receive(t, c, "late")
}

// Guards against a delay that is not applied to each direction.
func TestDelay(t *testing.T) {
	r, c := startRelay(t)
	const each = 10 * time.Millisecond
	if err := r.Delay(Both, each); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	exchange(t, c, "slow")
	if took := time.Since(began); took < 2*each {
		t.Fatalf("a round trip took %v, less than both delays", took)
	}
}

// Guards against a relay that keeps a connection open after one side closed it,
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

// Guards against control over HTTP that does something else than the API.
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
	silent(t, c)
	post("/heal", http.StatusNoContent)
	receive(t, c, "x")
	post("/delay?ms=1&direction=down", http.StatusNoContent)
	exchange(t, c, "y")
	post("/cut?direction=sideways", http.StatusBadRequest)
	post("/delay?ms=soon", http.StatusBadRequest)
	post("/drop", http.StatusNoContent)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection survived /drop")
	}
}
