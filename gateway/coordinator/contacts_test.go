package coordinator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/topology"
)

// Guards against a node that is not told, or is told again and again, that it answers for an unknown upstream.
func TestNodeIsToldOfUnknownContacts(t *testing.T) {
	l, _ := newTestLeader(t)
	s := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	latestUpdate(t, s)
	l.handle(context.Background(), reportReceived{s, &controlpb.NodeReport{
		Sequence: 2, Regular: true, Contacts: []*controlpb.UpstreamContact{{Id: "gone", Sequence: 4}},
	}})
	if got := latestUpdate(t, s).UnknownContacts; !slices.Equal(got, []string{"gone"}) {
		t.Errorf("told of %v", got)
	}
	l.handle(context.Background(), reportReceived{s, &controlpb.NodeReport{Sequence: 3, Regular: true}})
	if got := latestUpdate(t, s).UnknownContacts; len(got) != 0 {
		t.Errorf("told of %v again", got)
	}
}

// Load pattern: a calm second of 300 nodes with 600 upstreams, and of 1,200 nodes with 3,000. Guards against a leader
// whose messages and bytes grow with the upstreams, though nothing changes: it gets a report of each node, with some
// bytes for each announcement, and answers it.
func TestCalmFleetCostsOneMessageAReport(t *testing.T) {
	const reportsPerSecond, maxContactBytes, maxAnswerBytes = 4, 45, 32
	for _, size := range []struct{ nodes, upstreams int }{{300, 600}, {1200, 3000}} {
		l, _ := newTestLeader(t)
		contacts := make([][]*controlpb.UpstreamContact, size.nodes)
		for i := range size.upstreams {
			a := announcement(i, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
			l.handle(context.Background(), announcementReceived{a, make(chan struct{})})
			contacts[i%size.nodes] = append(contacts[i%size.nodes], &controlpb.UpstreamContact{
				Id: a.Id, Fingerprint: topology.Fingerprint(a), Sequence: 1, AgeMs: 100,
			})
		}
		publish(l)
		streams := make([]*nodeStream, size.nodes)
		for i := range streams {
			streams[i] = startStream(l, fmt.Sprintf("n%d", i), &controlpb.NodeReport{
				Sequence: 1, TopologyRevision: l.currentTopology().Revision,
			})
			latestUpdate(t, streams[i])
		}
		messages, received, sent := 0, 0, 0
		started := time.Now()
		for second := range reportsPerSecond {
			for i, s := range streams {
				report := &controlpb.NodeReport{Sequence: uint64(second + 2), Regular: true}
				if second == 0 {
					report.Contacts = contacts[i]
					for _, c := range report.Contacts {
						c.Sequence = 2
					}
				}
				received += proto.Size(&controlpb.NodeReport{Contacts: report.Contacts})
				l.handle(context.Background(), reportReceived{s, report})
				for len(s.updates) > 0 {
					messages++
					sent += proto.Size(<-s.updates)
				}
			}
			l.tick(context.Background())
		}
		t.Logf("%d nodes, %d upstreams: %d messages, %d bytes of contacts, %d of answers, %s", size.nodes, size.upstreams,
			messages, received, sent, time.Since(started))
		if messages > reportsPerSecond*size.nodes {
			t.Errorf("%d answers to %d reports", messages, reportsPerSecond*size.nodes)
		}
		if received > maxContactBytes*size.upstreams || sent > maxAnswerBytes*messages {
			t.Errorf("%d bytes of contacts of %d upstreams, %d bytes of %d answers", received, size.upstreams, sent, messages)
		}
	}
}
