package inbox

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
)

// Guards against lost or reordered messages, and against a stream whose end is not reported.
func TestReceive(t *testing.T) {
	ended := errors.New("ended")
	n := 0
	messages := Receive(context.Background(), func() (int, error) {
		if n++; n > 40 {
			return 0, ended
		}
		return n, nil
	})
	for want := 1; want <= 40; want++ {
		if m := <-messages; m.Body != want || m.Err != nil {
			t.Fatalf("message %d: %+v", want, m)
		}
	}
	if m := <-messages; !errors.Is(m.Err, ended) {
		t.Errorf("end: %+v", m)
	}
}

// Guards against a goroutine that blocks forever when the receiver has stopped.
func TestReceiveEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		Receive(ctx, func() (int, error) { return 0, nil })
		synctest.Wait()
		// synctest fails the test if the goroutine does not exit.
		cancel()
	})
}
