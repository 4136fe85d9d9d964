package controlclient

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
)

func readyAnnouncement(id string, sequence uint64) *controlpb.UpstreamAnnouncement {
	return &controlpb.UpstreamAnnouncement{
		Id: id, Service: "wax", Address: "10.0.0.1:5432", Place: "keflavik", Slots: 4, StartedUnixMs: 7, Sequence: sequence,
	}
}

// Guards against a change of an upstream that a node confirms although the leader does not know it, and against an
// answer that rests on what an earlier leader has acknowledged.
func TestNodeAnswersOnlyUnchangedAnnouncements(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*controlpb.UpstreamAnnouncement)
		between func(*contactRelay)
		want    bool
	}{
		"unchanged":         {want: true},
		"draining":          {change: func(a *controlpb.UpstreamAnnouncement) { a.Phase = controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING }},
		"left":              {change: func(a *controlpb.UpstreamAnnouncement) { a.Phase = controlpb.UpstreamPhase_UPSTREAM_PHASE_LEFT }},
		"primary":           {change: func(a *controlpb.UpstreamAnnouncement) { a.Primary = true }},
		"started again":     {change: func(a *controlpb.UpstreamAnnouncement) { a.StartedUnixMs++ }},
		"address":           {change: func(a *controlpb.UpstreamAnnouncement) { a.Address = "10.0.0.2:5432" }},
		"service":           {change: func(a *controlpb.UpstreamAnnouncement) { a.Service = "lots" }},
		"data centre":       {change: func(a *controlpb.UpstreamAnnouncement) { a.Place = "grindavik" }},
		"slots":             {change: func(a *controlpb.UpstreamAnnouncement) { a.Slots = 3 }},
		"late":              {change: func(a *controlpb.UpstreamAnnouncement) { a.Sequence = 1 }},
		"another upstream":  {change: func(a *controlpb.UpstreamAnnouncement) { a.Id = "u2" }},
		"another leader":    {between: func(r *contactRelay) { r.startStream() }},
		"unknown to leader": {between: func(r *contactRelay) { r.forget([]string{"u1"}) }},
		"drained meanwhile": {between: func(r *contactRelay) {
			draining := readyAnnouncement("u1", 2)
			draining.Phase = controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING
			r.remember(r.stream(), draining)
		}},
	} {
		r := newContactRelay()
		if !r.remember(r.stream(), readyAnnouncement("u1", 1)) {
			t.Fatal("the acknowledged announcement was not remembered")
		}
		if c.between != nil {
			c.between(r)
		}
		a := readyAnnouncement("u1", 3)
		if c.change != nil {
			c.change(a)
		}
		if got := r.answer(time.Second, a); got != c.want {
			t.Errorf("%s: answered %v, want %v", name, got, c.want)
		}
		if got := len(r.take(time.Second)); (got == 1) != c.want {
			t.Errorf("%s: %d contacts for the leader", name, got)
		}
	}
}

// Guards against an acknowledgement of the leader before that counts for the present one.
func TestAcknowledgementOfEarlierStreamIsNotKept(t *testing.T) {
	r := newContactRelay()
	earlier := r.stream()
	r.startStream()
	if r.remember(earlier, readyAnnouncement("u1", 1)) || r.answer(0, readyAnnouncement("u1", 2)) {
		t.Error("an acknowledgement on an earlier stream was kept")
	}
}

// Load pattern: 2,700 upstreams announce themselves to one node, repeatedly between two reports. Guards against a
// report that grows with what arrives instead of with what the node answers for.
func TestRelayIsBounded(t *testing.T) {
	const maxReportBytes = 8 << 10
	r := newContactRelay()
	for sequence := range uint64(10) {
		for i := range 2700 {
			a := readyAnnouncement(fmt.Sprintf("i-%010d", i), sequence+1)
			if !r.answer(time.Second, a) {
				r.remember(r.stream(), a)
			}
		}
	}
	report := &controlpb.NodeReport{Contacts: r.take(2 * time.Second)}
	if n := len(report.Contacts); n != maxKnownAnnouncements {
		t.Fatalf("%d contacts, want %d", n, maxKnownAnnouncements)
	}
	if c := report.Contacts[0]; c.Sequence != 10 || c.AgeMs != 1000 {
		t.Errorf("the contact is %v, want the newest announcement", c)
	}
	if size := proto.Size(report); size > maxReportBytes {
		t.Errorf("the contacts have %d bytes", size)
	}
	if again := r.take(2 * time.Second); len(again) != 0 {
		t.Errorf("%d contacts are reported twice", len(again))
	}
}

// Guards against fleets of the usual size whose announcements no longer go to the leader one by one.
func TestSmallFleetsAnnounceToTheLeader(t *testing.T) {
	for upstreams, want := range map[int]bool{60: false, minRelayedFleet: true} {
		c := newTestClient()
		c.publish(&View{Leader: "10.0.0.4:7560", Topology: &controlpb.Topology{Upstreams: make([]*controlpb.TopologyUpstream, upstreams)}})
		if got := c.relaysContacts(); got != want {
			t.Errorf("%d upstreams: relayed %v, want %v", upstreams, got, want)
		}
		c.setLeader("")
		if c.relaysContacts() {
			t.Error("a node without a control stream answers announcements")
		}
	}
}
