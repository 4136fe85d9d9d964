package topology

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	ready    = controlpb.UpstreamPhase_UPSTREAM_PHASE_READY
	draining = controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING
	left     = controlpb.UpstreamPhase_UPSTREAM_PHASE_LEFT
)

func announce(id string, started int64, sequence uint64, phase controlpb.UpstreamPhase) *controlpb.UpstreamAnnouncement {
	return &controlpb.UpstreamAnnouncement{
		Id: id, Service: "wax", Address: "10.0.0.1:80", StartedUnixMs: started, Sequence: sequence, Phase: phase,
	}
}

func live(r *Registry) map[string]*Upstream {
	out := map[string]*Upstream{}
	for _, u := range r.Live() {
		out[u.ID] = u
	}
	return out
}

// Guards against new work for a draining upstream when an announcement from before the
// drain arrives late.
func TestLateAnnouncementDoesNotEndDrain(t *testing.T) {
	r := NewRegistry(0)
	r.ApplyAnnouncement(0, announce("a", 100, 5, draining))
	r.ApplyAnnouncement(time.Second, announce("a", 100, 4, ready))
	r.ApplyAnnouncement(time.Second, announce("a", 100, 6, ready))
	if u := live(r)["a"]; u == nil || !u.Draining {
		t.Errorf("after late announcements: %+v", u)
	}
}

// Guards against an upstream that has left being added again by a delayed announcement.
func TestDelayedAnnouncementDoesNotReAddLeftUpstream(t *testing.T) {
	r := NewRegistry(0)
	r.ApplyAnnouncement(0, announce("a", 100, 5, ready))
	r.ApplyAnnouncement(0, announce("a", 0, 0, left))
	r.ApplyAnnouncement(time.Second, announce("a", 100, 6, ready))
	if len(r.Live()) != 0 {
		t.Errorf("live: %v", live(r))
	}
	r.ApplyAnnouncement(2*time.Second, announce("a", 200, 1, ready))
	if len(r.Live()) != 1 {
		t.Error("a new process with the same ID was not added")
	}
}

// Guards against a delayed announcement of a crashed process replacing its successor at the
// same address.
func TestNewerProcessAtSameAddressIsKept(t *testing.T) {
	r := NewRegistry(0)
	r.ApplyAnnouncement(0, announce("old", 100, 5, ready))
	r.ApplyAnnouncement(time.Second, announce("new", 200, 1, ready))
	r.Expire(time.Second)
	r.ApplyAnnouncement(2*time.Second, announce("old", 100, 6, ready))
	if l := live(r); l["new"] == nil || l["old"] != nil {
		t.Errorf("live: %v", l)
	}
}

// Guards against ignoring a process that restarted after its clock was set back.
func TestRestartWithEarlierClock(t *testing.T) {
	r := NewRegistry(0)
	r.ApplyAnnouncement(0, announce("a", 200, 50, ready))
	if r.ApplyAnnouncement(time.Second, announce("a", 100, 1, draining)); live(r)["a"].Draining {
		t.Error("an announcement with an earlier start time replaced a recent one")
	}
	if r.ApplyAnnouncement(earlierStartTimeout+time.Second, announce("a", 100, 2, draining)); !live(r)["a"].Draining {
		t.Error("the restarted process is ignored")
	}
}

// Guards against a new leader whose empty registry makes proxies drop all upstreams.
func TestUnconfirmedUpstreamsFillNewRegistry(t *testing.T) {
	r := NewRegistry(1 << 32)
	earlier := &controlpb.Topology{Upstreams: []*controlpb.TopologyUpstream{
		{Id: "a", Service: "wax", Address: "10.0.0.1:80", Draining: true}, {Id: "b", Service: "wax", Address: "10.0.0.2:80"},
	}}
	if !r.AddUnconfirmed(0, earlier) || len(r.Live()) != 2 || !live(r)["a"].Draining {
		t.Fatalf("live: %v", live(r))
	}
	r.ApplyAnnouncement(time.Second, announce("a", 100, 9, ready))
	if live(r)["a"].Draining {
		t.Error("the unconfirmed entry took precedence over the upstream's own announcement")
	}
	before := r.Revision()
	if !r.Expire(unconfirmedTimeout+time.Second) || live(r)["b"] != nil || live(r)["a"] == nil || r.Revision() == before {
		t.Errorf("after unconfirmedTimeout: %v", live(r))
	}
}

// Guards against an upstream that is taken out of use, and whose work is given up, because only its
// announcements do not arrive; against one that stays although it answers nobody; and against an
// answer that brings one back that has left.
func TestAnsweringUpstreamIsKept(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		r := NewRegistry(0)
		now := time.Hour
		if adopted {
			r.AddUnconfirmed(now, &controlpb.Topology{Upstreams: []*controlpb.TopologyUpstream{{Id: "u", Service: "wax", Address: "a"}}})
		} else {
			r.ApplyAnnouncement(now, &controlpb.UpstreamAnnouncement{Id: "u", Service: "wax", Address: "a", StartedUnixMs: 1, Sequence: 1})
		}
		for range 30 {
			now += time.Second
			r.RecordContact(now, "u")
			if r.Expire(now); len(r.Live()) != 1 {
				t.Fatalf("adopted %t: the upstream was removed %s after its announcement", adopted, now-time.Hour)
			}
		}
		r.Expire(now + AnnouncementTimeout)
		if len(r.Live()) != 0 {
			t.Errorf("adopted %t: an upstream that answers nobody was kept", adopted)
		}
	}
	r := NewRegistry(0)
	r.ApplyAnnouncement(time.Hour, &controlpb.UpstreamAnnouncement{Id: "u", Service: "wax", Address: "a", StartedUnixMs: 1, Sequence: 1})
	r.ApplyAnnouncement(time.Hour, &controlpb.UpstreamAnnouncement{Id: "u", Phase: controlpb.UpstreamPhase_UPSTREAM_PHASE_LEFT})
	r.RecordContact(time.Hour+leftRetention, "u")
	r.Expire(time.Hour + leftRetention)
	if len(r.upstreams) != 0 {
		t.Error("an answer extended the entry of an upstream that has left")
	}
}

// Guards against one announcement with a wrong sequence number after which those of the process are
// ignored for good: as long as it answers it is not removed, and nobody learns that it is draining.
func TestWrongSequenceIsNotKeptForGood(t *testing.T) {
	r := NewRegistry(0)
	now := time.Hour
	r.ApplyAnnouncement(now, announce("a", 100, maxSequence, ready))
	for sequence := uint64(5); now < time.Hour+2*AnnouncementTimeout; sequence++ {
		now += time.Second
		r.RecordContact(now, "a")
		r.ApplyAnnouncement(now, announce("a", 100, sequence, draining))
	}
	if u := live(r)["a"]; u == nil || !u.Draining {
		t.Errorf("after %s of announcements that it is draining: %+v", 2*AnnouncementTimeout, u)
	}
}

// Guards against an announcement of another writer with a start time in the future that takes the
// address of an upstream for longer than an upstream is kept that does not answer.
func TestEntryThatDoesNotAnswerGivesUpItsAddress(t *testing.T) {
	r := NewRegistry(0)
	now := time.Hour
	r.ApplyAnnouncement(now, announce("real", 100, 1, ready))
	r.ApplyAnnouncement(now, announce("odd", 5_000_000, 1, ready))
	for sequence := uint64(2); now < time.Hour+AnnouncementTimeout; sequence++ {
		now += time.Second
		r.Expire(now)
		r.ApplyAnnouncement(now, announce("real", 100, sequence, ready))
	}
	if l := live(r); l["real"] == nil || l["odd"] != nil {
		t.Errorf("after %s without an answer: %v", AnnouncementTimeout, l)
	}
}

// Guards against a leader that is busy with announcements alone: the time that one takes must not grow
// with the number of upstreams.
func TestAnnouncementTimeDoesNotGrowWithUpstreams(t *testing.T) {
	const few, many = 50, 5000
	// A search through all upstreams takes about many/few times as long.
	const allowedGrowth = 20
	fewTime, manyTime := announcementTime(few), announcementTime(many)
	if manyTime > allowedGrowth*fewTime {
		t.Errorf("an announcement takes %s with %d upstreams and %s with %d", fewTime, few, manyTime, many)
	}
}

// announcementTime returns the shortest measured time of an announcement by a registered upstream.
func announcementTime(upstreams int) time.Duration {
	const rounds, announcementsPerRound = 5, 5000
	r := NewRegistry(0)
	all := make([]*controlpb.UpstreamAnnouncement, upstreams)
	for i := range all {
		all[i] = announce(fmt.Sprintf("u%d", i), 100, 0, ready)
		all[i].Address = fmt.Sprintf("10.0.%d.%d:80", i/200, i%200)
		r.ApplyAnnouncement(0, all[i])
	}
	shortest := time.Hour
	for range rounds {
		start := time.Now()
		for i := range announcementsPerRound {
			a := all[i%upstreams]
			a.Sequence++
			r.ApplyAnnouncement(0, a)
		}
		shortest = min(shortest, time.Since(start)/announcementsPerRound)
	}
	return shortest
}

// Guards against a list of upstreams that lacks one which was added, or has one that is gone, since the last one.
func TestLiveFollowsAdditionsAndRemovals(t *testing.T) {
	r := NewRegistry(0)
	ids := func() (ids []string) {
		for _, u := range r.Live() {
			ids = append(ids, u.ID)
		}
		return ids
	}
	announce := func(now time.Duration, id string, sequence uint64) {
		r.ApplyAnnouncement(now, &controlpb.UpstreamAnnouncement{Id: id, Service: "wax", Address: id, Sequence: sequence})
	}
	announce(0, "b", 1)
	ids()
	announce(0, "c", 1)
	announce(0, "a", 1)
	if got := ids(); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("after the additions: %v", got)
	}
	announce(AnnouncementTimeout, "b", 2)
	r.Expire(AnnouncementTimeout)
	if got := ids(); !slices.Equal(got, []string{"b"}) {
		t.Errorf("after the others have expired: %v", got)
	}
}
