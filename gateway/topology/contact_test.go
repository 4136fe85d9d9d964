package topology

import (
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

func contactTestAnnouncement(sequence uint64) *controlpb.UpstreamAnnouncement {
	return &controlpb.UpstreamAnnouncement{
		Id: "u", Service: "wax", Address: "10.0.0.1:5432", Slots: 4, StartedUnixMs: 7, Sequence: sequence,
	}
}

func contactOf(a *controlpb.UpstreamAnnouncement) *controlpb.UpstreamContact {
	return &controlpb.UpstreamContact{Id: a.Id, Fingerprint: Fingerprint(a), Sequence: a.Sequence}
}

// Guards against an upstream that expires although it announces itself to one node, which answers for the leader.
func TestContactsKeepAnUpstream(t *testing.T) {
	r := NewRegistry(0)
	r.ApplyAnnouncement(0, contactTestAnnouncement(1))
	revision := r.Revision()
	for i := range 50 {
		now := time.Duration(i) * time.Second
		if !r.RecordUnchanged(now, contactOf(contactTestAnnouncement(uint64(i+2)))) {
			t.Fatalf("contact %d does not match", i)
		}
		if r.Expire(now) || r.Get("u").AnnouncedAt() != now {
			t.Fatalf("after contact %d: %+v", i, r.Get("u"))
		}
	}
	if r.Revision() != revision {
		t.Error("contacts changed the topology")
	}
	if r.ApplyAnnouncement(50*time.Second, contactTestAnnouncement(5)) || r.Get("u").AnnouncedAt() != 49*time.Second {
		t.Error("an announcement from before the contacts was taken as newer")
	}
}

// Guards against a node that goes on answering for a state which the leader does not have.
func TestContactOfAnotherStateIsUnknown(t *testing.T) {
	draining := contactTestAnnouncement(2)
	draining.Phase = controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING
	left := &controlpb.UpstreamAnnouncement{Id: "u", Phase: controlpb.UpstreamPhase_UPSTREAM_PHASE_LEFT}
	primary := contactTestAnnouncement(2)
	primary.Primary = true
	restarted := contactTestAnnouncement(2)
	restarted.StartedUnixMs++
	for name, c := range map[string]struct {
		before []*controlpb.UpstreamAnnouncement
		at     time.Duration
		want   bool
	}{
		"not registered": {},
		"same":           {before: []*controlpb.UpstreamAnnouncement{contactTestAnnouncement(1)}, want: true},
		"late":           {before: []*controlpb.UpstreamAnnouncement{contactTestAnnouncement(9)}, want: true},
		"late for long":  {before: []*controlpb.UpstreamAnnouncement{contactTestAnnouncement(9)}, at: AnnouncementTimeout + 1},
		"draining":       {before: []*controlpb.UpstreamAnnouncement{contactTestAnnouncement(1), draining}},
		"left":           {before: []*controlpb.UpstreamAnnouncement{contactTestAnnouncement(1), left}},
		"primary":        {before: []*controlpb.UpstreamAnnouncement{primary}},
		"started again":  {before: []*controlpb.UpstreamAnnouncement{contactTestAnnouncement(1), restarted}},
	} {
		r := NewRegistry(0)
		for _, a := range c.before {
			r.ApplyAnnouncement(0, a)
		}
		if got := r.RecordUnchanged(c.at, contactOf(contactTestAnnouncement(3))); got != c.want {
			t.Errorf("%s: matches %v, want %v", name, got, c.want)
		}
	}
	r := NewRegistry(0)
	r.AddUnconfirmed(0, &controlpb.Topology{Upstreams: []*controlpb.TopologyUpstream{{Id: "u", Service: "wax", Address: "10.0.0.1:5432", Slots: 4}}})
	if r.RecordUnchanged(0, contactOf(contactTestAnnouncement(3))) {
		t.Error("an upstream that this leader knows only from an earlier one counts as announced")
	}
}
