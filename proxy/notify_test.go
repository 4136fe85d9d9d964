package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against notifications that reach a listening caller only with its next request,
// and against a caller that is not told when the listening connection is lost. The
// stand-in does not support LISTEN, so the test acts as the upstream.
func TestNotificationsReachAnIdleCaller(t *testing.T) {
	s := newSystem(t, 0)
	d := &fakeDialer{t: t}
	conn := s.proxy(func(o *Options) { o.Dialer = d }).driver(t, "jayloom.route=write")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "LISTEN trays")
		done <- err
	}()
	var upstream *pgproto3.Backend
	eventually(t, "the proxy connects", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.remote) == 1 {
			upstream = pgproto3.NewBackend(d.remote[0], d.remote[0])
		}
		return upstream != nil
	})
	if _, err := upstream.Receive(); err != nil {
		t.Fatal(err)
	}
	upstream.Send(&pgproto3.CommandComplete{CommandTag: []byte("LISTEN")})
	upstream.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	if err := upstream.Flush(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for range 2 {
		upstream.Send(&pgproto3.NotificationResponse{Channel: "trays", Payload: "full"})
		if err := upstream.Flush(); err != nil {
			t.Fatal(err)
		}
		notification, err := conn.WaitForNotification(ctx)
		if err != nil || notification.Payload != "full" {
			t.Fatalf("got %v, %v", notification, err)
		}
	}
	_ = d.remote[0].Close()
	if _, err := conn.WaitForNotification(ctx); err == nil || ctx.Err() != nil {
		t.Errorf("the loss of the upstream was not reported: %v", err)
	}
}
