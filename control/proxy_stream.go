package control

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/policy/failover"
)

// sessionQueue is the number of updates that may wait for a proxy's connection.
// A proxy that is further behind is disconnected and starts again.
const sessionQueue = 64

const (
	// attendWait bounds how long a proxy is kept that asks during an election. A proxy
	// ends a silent stream after 900 ms.
	attendWait = 600 * time.Millisecond
	// leaderPoll is the time between looks for a leader.
	leaderPoll = 10 * time.Millisecond
	// leaderSilence is the silence after which a leader is taken for lost: two
	// heartbeats and a margin.
	leaderSilence = 250 * time.Millisecond
	// freshReport bounds the wait after which a proxy comes again with a new report.
	// What the first one says about the time without grants would be too little.
	freshReport = 50 * time.Millisecond
)

// attendance is one stream of a proxy. The leader's goroutine owns all fields but
// the channel and the context.
type attendance struct {
	ctx    context.Context
	cancel context.CancelFunc
	// updates carries what the leader sends; only the leader's goroutine writes.
	updates chan *controlpb.Update

	stream       uint64 // distinguishes streams of one proxy
	proxy        string
	incarnation  string
	sequence     uint64 // newest report handled
	sentRevision uint64 // newest revision sent on this stream
	applied      uint64 // newest revision that the proxy has reported
	registered   bool
	// groups are those that the proxy serves, unless allGroups is set.
	groups     []string
	allGroups  bool
	fullSentAt time.Duration // when the last full copy was sent on this stream
}

// holder identifies the process behind the stream, which may hold leases.
func (a *attendance) holder() failover.Holder {
	return failover.Holder{Proxy: a.proxy, Incarnation: a.incarnation}
}

// Attend implements controlpb.ControlServer.
func (s *Server) Attend(stream controlpb.Control_AttendServer) error {
	if !s.leads() && !s.awaitLeader(stream.Context()) {
		return s.notLeader()
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	a := &attendance{ctx: ctx, cancel: cancel, allGroups: true, updates: make(chan *controlpb.Update, sessionQueue)}
	go s.receiveReports(stream, a)
	defer s.leader.post(attendanceEnded{a})
	for {
		select {
		case <-ctx.Done():
			return s.notLeader()
		case update := <-a.updates:
			updateBytes.Add(proto.Size(update))
			if err := stream.Send(update); err != nil {
				return err
			}
		}
	}
}

// awaitLeader keeps a proxy that asks during an election until there is a leader,
// so that it learns of it at once. It returns true when this VM leads and the
// proxy's first report, which waits unread, is still new; false means that the proxy
// is to be told what is known.
func (s *Server) awaitLeader(ctx context.Context) bool {
	begun := clock.Now()
	ticker := time.NewTicker(leaderPoll)
	defer ticker.Stop()
	for !s.knowsOtherLeader() && clock.Now()-begun < attendWait {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if s.leads() {
			return clock.Now()-begun < freshReport
		}
	}
	return false
}

// knowsOtherLeader reports whether another control VM leads and is not just lost.
func (s *Server) knowsOtherLeader() bool {
	known := s.replicator.Status()
	if known.LeaderAddress == "" || known.LeaderAddress == known.Address {
		return false
	}
	return clock.Now()-known.LeaderLastContact < leaderSilence
}

// receiveReports hands the reports of a stream to the leader's goroutine.
func (s *Server) receiveReports(stream controlpb.Control_AttendServer, a *attendance) {
	defer a.cancel()
	for {
		report, err := stream.Recv()
		if err != nil {
			return
		}
		reportBytes.Add(proto.Size(report))
		event := reportReceived{attendance: a, report: report, at: clock.Now()}
		if !s.leader.post(event) {
			return
		}
	}
}

// notLeader names the leader in the details, so that the proxy goes there next.
func (s *Server) notLeader() error {
	st := status.New(codes.Unavailable, "this control VM does not lead")
	detailed, err := st.WithDetails(&controlpb.NotLeader{LeaderAddress: s.replicator.Status().LeaderAddress})
	if err != nil {
		return st.Err()
	}
	return detailed.Err()
}
