package engine

import (
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
)

// Guards against a read that is refused because one upstream fails statements although others do not, and against a
// write that runs again after it failed.
func TestFailedReadRunsElsewhere(t *testing.T) {
	s := newTestNode(t)
	session := s.open("lots", "key")
	s.mustSucceed(session, write("1"))
	for _, replica := range []string{"r1", "r2"} {
		s.servers[replica].update(func(f *fakeServer) { f.position = s.servers["p"].position })
	}
	s.servers["p"].update(func(f *fakeServer) { f.fails = true })
	s.mustSucceed(session, read("2"))
	if s.servers["p"].failed != 1 {
		t.Fatalf("the read was sent to the failing upstream %d times", s.servers["p"].failed)
	}
	s.expectCode(s.handle(session, write("3")), rescode.StatementFailed)
	if got := s.servers["p"].failed; got != 2 {
		t.Errorf("the write was sent %d times", got-1)
	}
}

// Guards against reads that go to an upstream because it fails them at once, which looks like a low latency.
func TestFailingUpstreamGetsFewReads(t *testing.T) {
	p := newPool(Target{ID: "r"}, "here", fakeDialer{}, discardLog())
	p.recordAnswer(20 * time.Millisecond)
	before := p.candidate(p.latencyAt, "team", 0)
	for range 5 {
		p.recordFailedStatement()
	}
	after := p.candidate(p.latencyAt, "team", 0)
	if after.Latency < before.Latency {
		t.Errorf("failures lowered the latency from %s to %s", before.Latency, after.Latency)
	}
	before.Position, after.Position = pos(1, 100), pos(1, 100)
	if got := chooseCandidate([]Candidate{after, before}, "here", "p", pos(1, 90), nil); got != 1 {
		t.Error("the read goes to the upstream that fails")
	}
}
