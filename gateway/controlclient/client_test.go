package controlclient

import (
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

func newTestClient(seeds ...string) *Client {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{
		Node: "n1", Seeds: func() []string { return seeds }, Log: logrus.NewEntry(log),
	}, func(*View) {}, func(PrimaryPosition) {})
}

func redirectTo(t *testing.T, leader string) error {
	t.Helper()
	st, err := status.New(codes.Unavailable, "this node does not lead").WithDetails(&controlpb.Redirect{Leader: leader})
	if err != nil {
		t.Fatal(err)
	}
	return st.Err()
}

// Load pattern: the leader freezes, and other voters name it until they notice. Guards against
// nodes that wait for the silent leader once more while another one already leads
// (paplate-riga-grown trouble-1).
func TestSilentLeaderIsNotAskedAgain(t *testing.T) {
	c := newTestClient("a", "b", "c")
	c.silent, c.silentAt = "b", clock.Now()
	for range 6 {
		if address := c.candidate(); address == "b" {
			t.Error("the silent leader is asked")
		}
	}
	if named := c.redirected(redirectTo(t, "b"), "a", 0); named != "" {
		t.Errorf("went to %s, which is silent", named)
	}
	if named := c.redirected(redirectTo(t, "c"), "a", 0); named != "c" {
		t.Errorf("did not go to the leader but to %q", named)
	}
	c.silentAt -= silentFor
	if named := c.redirected(redirectTo(t, "b"), "a", 0); named != "b" {
		t.Errorf("did not go back to the leader but to %q", named)
	}
}

// Guards against a node that has no one to ask because its only seed was silent.
func TestOnlySeedIsAskedAgain(t *testing.T) {
	c := newTestClient("a")
	c.silent, c.silentAt = "a", clock.Now()
	if address := c.candidate(); address != "a" {
		t.Errorf("asks %q", address)
	}
	if named := c.redirected(errors.New("no redirect"), "a", 0); named != "" {
		t.Errorf("goes to %q", named)
	}
}
