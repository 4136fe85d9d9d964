package controlclient

import (
	"io"
	"slices"
	"testing"
	"time"

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

func voterSet(index uint64, addresses ...string) *controlpb.VoterSet {
	return &controlpb.VoterSet{Addresses: addresses, Index: index}
}

// Load pattern: the settings name seeds without a data folder, and all VMs lose power. Guards
// against a seed that knows no voter although one has told it, and against an old set, of a partitioned voter or a
// seed told by one, that replaces a newer one.
func TestSeedLearnsVoters(t *testing.T) {
	c := newTestClient("seed")
	if c.LearnVoters(nil) || c.LearnVoters(&controlpb.VoterSet{Index: 9}) {
		t.Error("a set without voters was recorded")
	}
	if !c.LearnVoters(voterSet(7, "a", "b")) {
		t.Fatal("the first set was not recorded")
	}
	if c.LearnVoters(voterSet(6, "old")) {
		t.Error("an older set replaced a newer one")
	}
	if _, voters := c.Leader(); !slices.Equal(voters.GetAddresses(), []string{"a", "b"}) {
		t.Errorf("redirects to %v", voters)
	}
	tried := map[string]bool{}
	for range 3 {
		tried[c.nextAddress()] = true
	}
	if !tried["a"] || !tried["b"] || !tried["seed"] {
		t.Errorf("the addresses tried are %v", tried)
	}
}

// Guards against a node that gives up the voters of its leader for those of another fleet whose
// settings name it as a seed.
func TestConnectedNodeIgnoresAnnouncedVoters(t *testing.T) {
	c := newTestClient("seed")
	if err := c.apply(&controlpb.NodeUpdate{Voters: []string{"a"}, VotersIndex: 3}, "a"); err != nil {
		t.Fatal(err)
	}
	if c.LearnVoters(voterSet(99, "other")) {
		t.Error("the voters of another fleet were recorded")
	}
	c.setLeader("")
	if !c.LearnVoters(voterSet(4, "a", "b")) {
		t.Error("newer voters were not recorded after the leader was lost")
	}
}

// Guards against voters that announce nothing after a change, and against ones that announce the
// same without a pause.
func TestAnnouncementIsDue(t *testing.T) {
	last := announcement{voters: []string{"a"}, seeds: []string{"s"}, at: time.Minute}
	soon := time.Minute + announceInterval/2
	for name, c := range map[string]struct {
		now           time.Duration
		voters, seeds []string
		due           bool
	}{
		"unchanged":        {soon, []string{"a"}, []string{"s"}, false},
		"interval is over": {time.Minute + announceInterval, []string{"a"}, []string{"s"}, true},
		"voter added":      {soon, []string{"a", "b"}, []string{"s"}, true},
		"seeds exchanged":  {soon, []string{"a"}, []string{"t"}, true},
		"no voter known":   {time.Hour, nil, []string{"t"}, false},
	} {
		if got := last.due(c.now, c.voters, c.seeds); got != c.due {
			t.Errorf("%s: due is %t, want %t", name, got, c.due)
		}
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

// Load pattern: hundreds of nodes lose the leader in the same moment. Guards against attempts to
// reconnect that all come at the same times and as often as in the first moment.
func TestPausesBetweenAttemptsGrowAndVary(t *testing.T) {
	shortestLast := time.Duration((1 - retryJitter) * float64(maxRetryInterval))
	different := map[time.Duration]bool{}
	for range 100 {
		pause := newReconnectPause()
		first := pause.NextBackOff()
		different[first] = true
		for range 8 {
			pause.NextBackOff()
		}
		if last := pause.NextBackOff(); last < shortestLast || first > 2*retryInterval {
			t.Errorf("the first pause is %s, the tenth %s", first, last)
		}
	}
	if len(different) < 50 {
		t.Errorf("%d different first pauses among 100 nodes", len(different))
	}
}

// Load pattern: a change of leader that two voters have not noticed. Guards against hundreds of nodes
// that follow their redirects in a circle without a pause.
func TestRedirectsInACircleArePaused(t *testing.T) {
	pauses, redirected := 0, false
	for range 10 {
		if redirected = followAtOnce("other", redirected); !redirected {
			pauses++
		}
	}
	if pauses != 5 {
		t.Errorf("%d pauses in 10 redirects, want 5", pauses)
	}
	if followAtOnce("", false) {
		t.Error("followed a redirect without an address")
	}
}
