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

// updateQueueSize is the number of updates that may be queued for one control
// stream. A proxy whose queue is full is disconnected and has to open a new stream.
const updateQueueSize = 64

const (
	// electionWait bounds how long a new stream is held open during an election. It
	// must be shorter than the 900 ms after which a proxy closes a silent stream.
	electionWait = 600 * time.Millisecond
	// leaderPollInterval is the time between checks for a leader during that wait.
	leaderPollInterval = 10 * time.Millisecond
	// leaderContactTimeout is the age of the last contact from which a leader counts
	// as lost: two heartbeats and a margin.
	leaderContactTimeout = 250 * time.Millisecond
	// maxReportAge bounds the age of the first report of a stream that had to wait for
	// an election. The report states how long the proxy has been without grants, so an
	// older one understates it and the proxy has to reconnect with a new report.
	maxReportAge = 50 * time.Millisecond
)

// proxyStream is one control stream of a proxy. The leader's goroutine owns all
// fields except the context and the channel.
type proxyStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	// updates is written by the leader's goroutine only.
	updates chan *controlpb.Update

	id              uint64 // unique within this process
	proxy           string
	incarnation     string
	lastSequence    uint64 // sequence of the last report handled
	sentRevision    uint64 // newest revision sent on this stream
	appliedRevision uint64 // newest revision that the proxy reported as applied
	registered      bool
	// groups are the groups that the proxy serves, unless allGroups is set.
	groups         []string
	allGroups      bool
	fullCopySentAt time.Duration // when the last full copy was sent
}

// holder identifies the proxy process as a possible holder of leases.
func (ps *proxyStream) holder() failover.Holder {
	return failover.Holder{Proxy: ps.proxy, Incarnation: ps.incarnation}
}

// Attend implements controlpb.ControlServer.
func (s *Server) Attend(stream controlpb.Control_AttendServer) error {
	if !s.hasLeaderLease() && !s.awaitLeader(stream.Context()) {
		return s.notLeaderError()
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	ps := &proxyStream{ctx: ctx, cancel: cancel, allGroups: true, updates: make(chan *controlpb.Update, updateQueueSize)}
	go s.receiveReports(stream, ps)
	defer s.leader.post(streamEnded{ps})
	for {
		select {
		case <-ctx.Done():
			return s.notLeaderError()
		case update := <-ps.updates:
			updateBytes.Add(proto.Size(update))
			if err := stream.Send(update); err != nil {
				return err
			}
		}
	}
}

// awaitLeader holds a new stream during an election, so that the proxy learns of the
// leader without a reconnect backoff. It returns true if this VM has become the
// leader and the proxy's first report, still unread, is no older than maxReportAge.
// Otherwise the caller refuses the stream with the leader known by then.
func (s *Server) awaitLeader(ctx context.Context) bool {
	start := clock.Now()
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for !s.knowsOtherLeader() && clock.Now()-start < electionWait {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if s.hasLeaderLease() {
			return clock.Now()-start < maxReportAge
		}
	}
	return false
}

// knowsOtherLeader reports whether another control VM leads and was heard from within
// leaderContactTimeout.
func (s *Server) knowsOtherLeader() bool {
	current := s.replicator.Status()
	if current.LeaderAddress == "" || current.LeaderAddress == current.Address {
		return false
	}
	return clock.Now()-current.LeaderLastContact < leaderContactTimeout
}

// receiveReports passes the reports of a stream to the leader's goroutine.
func (s *Server) receiveReports(stream controlpb.Control_AttendServer, ps *proxyStream) {
	defer ps.cancel()
	for {
		report, err := stream.Recv()
		if err != nil {
			return
		}
		reportBytes.Add(proto.Size(report))
		event := reportReceived{stream: ps, report: report, at: clock.Now()}
		if !s.leader.post(event) {
			return
		}
	}
}

// notLeaderError returns a status whose details name the leader, so that the proxy
// connects to it next.
func (s *Server) notLeaderError() error {
	st := status.New(codes.Unavailable, "this control VM does not lead")
	detailed, err := st.WithDetails(&controlpb.NotLeader{LeaderAddress: s.replicator.Status().LeaderAddress})
	if err != nil {
		return st.Err()
	}
	return detailed.Err()
}
