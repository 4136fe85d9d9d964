package topology

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/controlpb"
)

// announcementAt is an announcement, or a Leave call, and when it arrives.
type announcementAt struct {
	at       time.Duration
	started  int64
	sequence uint64
	phase    controlpb.UpstreamPhase
}

func registryAfter(steps ...announcementAt) *Registry {
	r := NewRegistry(0)
	r.SetDrainTime(testDrainTime)
	for _, s := range steps {
		r.ApplyAnnouncement(s.at, announce("a", s.started, s.sequence, s.phase))
	}
	return r
}

// membership says how an upstream counts: as in use, as one that may still run, or as one that has left.
func membership(r *Registry) string {
	switch {
	case len(r.Live()) > 0:
		return "in use"
	case len(r.Doubted()) > 0:
		return "may run"
	case len(r.Left()["wax"]) > 0:
		return "left"
	default:
		return "unknown"
	}
}

// Guards against a late Leave call of an earlier process that takes the one now running under its ID for gone
// (review, case 7): its announcements were acknowledged and ignored for a minute, and a promotion did not count with
// what it receives. And against a call that is believed of a process whose drain has only begun.
func TestLateLeaveCallDoesNotShutOutANewProcess(t *testing.T) {
	restarted := []announcementAt{
		{0, 100, 5, ready},
		{time.Second, 100, 6, draining},
		{9 * time.Second, 200, 1, ready},
		{11 * time.Second, 0, 0, left},
	}
	for _, c := range []struct {
		name string
		then []announcementAt
		want string
	}{
		{"the call has come", nil, "may run"},
		{"one announcement, which may be late itself", []announcementAt{{12 * time.Second, 200, 2, ready}}, "may run"},
		{"the same announcement twice", []announcementAt{{12 * time.Second, 200, 2, ready}, {13 * time.Second, 200, 2, ready}}, "may run"},
		{"two announcements", []announcementAt{{12 * time.Second, 200, 2, ready}, {13 * time.Second, 200, 3, ready}}, "in use"},
		{"a newer process", []announcementAt{{12 * time.Second, 300, 1, ready}}, "in use"},
		{"a late announcement of the older process", []announcementAt{{12 * time.Second, 100, 7, draining}}, "may run"},
	} {
		if got := membership(registryAfter(append(restarted, c.then...)...)); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	r := registryAfter(announcementAt{0, 100, 5, ready}, announcementAt{time.Second, 100, 6, draining}, announcementAt{3 * time.Second, 0, 0, left})
	if got := membership(r); got != "may run" {
		t.Errorf("left 2 s after the drain began: %s, want may run", got)
	}
}

// Guards against an upstream that has left as planned and counts as running, so that a promotion waits for it or
// work is sent to it.
func TestLeaveCallOfDrainedUpstreamIsBelieved(t *testing.T) {
	r := registryAfter(
		announcementAt{0, 100, 5, ready}, announcementAt{time.Second, 100, 6, draining}, announcementAt{9 * time.Second, 0, 0, left},
		announcementAt{10 * time.Second, 100, 7, draining}, announcementAt{11 * time.Second, 100, 8, draining},
	)
	if got := membership(r); got != "left" {
		t.Errorf("%s, want left", got)
	}
}

// Guards against an upstream that has ended without a drain and counts as running for good, and against one that
// answers and counts as ended.
func TestDoubtedLeaveIsBelievedAfterSilence(t *testing.T) {
	r := registryAfter(announcementAt{0, 100, 5, ready}, announcementAt{time.Second, 0, 0, left})
	var got []string
	check := func(at time.Duration) {
		r.Expire(at)
		got = append(got, membership(r))
	}
	check(time.Second + AnnouncementTimeout - 1)
	r.RecordContact(15*time.Second, "a")
	check(time.Second + AnnouncementTimeout)
	check(15*time.Second + AnnouncementTimeout)
	if diff := cmp.Diff([]string{"may run", "may run", "left"}, got); diff != "" {
		t.Error(diff)
	}
}
