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
	st, err := status.New(codes.Unavailable, "this node is not the leader").WithDetails(&controlpb.Redirect{Leader: leader})
	if err != nil {
		t.Fatal(err)
	}
	return st.Err()
}

// Load pattern: the leader freezes, and other voters redirect to it until they detect that.
// Guards against nodes that wait for the unresponsive leader again while another one already
// leads (paplate-riga-grown trouble-1).
func TestUnresponsiveLeaderIsSkipped(t *testing.T) {
	c := newTestClient("a", "b", "c")
	c.silentAddress, c.silentAt = "b", clock.Now()
	for range 6 {
		if address := c.nextAddress(); address == "b" {
			t.Error("the unresponsive address was returned")
		}
	}
	if got := c.handleRedirect(redirectTo(t, "b"), "a", 0); got != "" {
		t.Errorf("redirected to unresponsive address %s", got)
	}
	if got := c.handleRedirect(redirectTo(t, "c"), "a", 0); got != "c" {
		t.Errorf("redirected to %q, want c", got)
	}
	c.silentAt -= silentBackoff
	if got := c.handleRedirect(redirectTo(t, "b"), "a", 0); got != "b" {
		t.Errorf("redirected to %q after the backoff, want b", got)
	}
}

// Guards against a node without an address to try after its only seed did not answer.
func TestOnlySeedIsRetried(t *testing.T) {
	c := newTestClient("a")
	c.silentAddress, c.silentAt = "a", clock.Now()
	if address := c.nextAddress(); address != "a" {
		t.Errorf("next address is %q, want a", address)
	}
	if got := c.handleRedirect(errors.New("no redirect"), "a", 0); got != "" {
		t.Errorf("redirected to %q without a redirect", got)
	}
}
