// Package forward carries units of work between gateway nodes: Client to the node that holds the connections to an
// upstream, Server at that node. A unit is a single statement or a whole transaction, and one stream of gRPC.
package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/stop"
)

const (
	// maxUnits bounds the units that a node serves at the same time.
	maxUnits = 1024
	// maxHeldBytes bounds the texts of the statements that units wait with or run.
	maxHeldBytes = 16 << 20
	// stopPollInterval is the pause between two checks whether all units have ended.
	stopPollInterval = 20 * time.Millisecond
)

// Server serves the units of work that other nodes forward to this one.
type Server struct {
	controlpb.UnimplementedForwardServer
	engine *engine.Engine
	log    *logrus.Entry
	// limit bounds the units that are served at the same time.
	limit  int64
	active atomic.Int64
	// heldBytes is the size of the statements that wait or run, which byteLimit bounds.
	heldBytes, byteLimit atomic.Int64
	// stopping is done once running statements are given up.
	stopping context.Context
	giveUp   context.CancelFunc
}

// NewServer returns a Server that runs units on the connections of an engine.
func NewServer(e *engine.Engine, log *logrus.Entry) *Server {
	s := &Server{engine: e, log: log, limit: maxUnits}
	s.byteLimit.Store(maxHeldBytes)
	s.stopping, s.giveUp = context.WithCancel(context.Background())
	return s
}

// Register adds the service to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	controlpb.RegisterForwardServer(r, s)
}

// Shutdown waits until the open units have ended. Those that have not when the plan gives statements up are
// interrupted. The engine must have been told of the stop.
func (s *Server) Shutdown(ctx context.Context, plan stop.Plan) {
	s.awaitEnd(ctx, plan.AnswersUntil)
	s.giveUp()
	s.awaitEnd(ctx, plan.ClosesAt)
}

// awaitEnd waits until no unit is open, but no longer than until a time.
func (s *Server) awaitEnd(ctx context.Context, until time.Duration) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for s.active.Load() > 0 && clock.Now() < until {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Ping implements controlpb.ForwardServer.
func (s *Server) Ping(context.Context, *controlpb.PingRequest) (*controlpb.PingReply, error) {
	if !s.engine.ServesUnits() {
		return nil, status.Error(codes.Unavailable, "the node takes no units of work")
	}
	return &controlpb.PingReply{}, nil
}

// Carry implements controlpb.ForwardServer.
func (s *Server) Carry(stream grpc.BidiStreamingServer[controlpb.UnitRequest, controlpb.UnitReply]) error {
	request, err := stream.Recv()
	if err != nil {
		return err
	}
	defer s.active.Add(-1)
	if s.active.Add(1) > s.limit {
		return refuseUnit(stream)
	}
	c := &carrier{server: s, stream: stream}
	c.unit = s.engine.OpenUnit(unitOptions(request.Header, c))
	if c.unit == nil {
		return refuseUnit(stream)
	}
	metricServedUnits.Inc()
	metricUnitsInUse.Add(1)
	defer metricUnitsInUse.Add(-1)
	defer c.end()
	return c.run(request)
}

func refuseUnit(stream grpc.BidiStreamingServer[controlpb.UnitRequest, controlpb.UnitReply]) error {
	countServedFailure(engine.UnitNotServed)
	return stream.Send(&controlpb.UnitReply{Failure: toFailure(&engine.UnitFailure{Kind: engine.UnitNotServed})})
}

func unitOptions(h *controlpb.UnitHeader, rows engine.UnitRows) engine.UnitOptions {
	return engine.UnitOptions{
		Service: h.GetService(), Upstream: h.GetUpstream(), Team: h.GetTeam(), Priority: h.GetPriority(),
		ObjectiveLeft: duration(h.GetObjectiveLeftMs()), Repeat: h.GetRepeat(), MaxWait: duration(h.GetMaxWaitMs()),
		StatementTimeout: duration(h.GetStatementTimeoutMs()), Rows: rows,
	}
}

// carrier serves one unit.
type carrier struct {
	server *Server
	stream grpc.BidiStreamingServer[controlpb.UnitRequest, controlpb.UnitReply]
	// mu guards unit against the end of an idle transaction.
	mu   sync.Mutex
	unit *engine.Unit
	// expired is set once a transaction was idle for too long. It was rolled back.
	expired bool
}

// run answers requests until the unit ends.
func (c *carrier) run(request *controlpb.UnitRequest) error {
	ctx, cancel := context.WithCancel(c.stream.Context())
	defer cancel()
	defer context.AfterFunc(c.server.stopping, cancel)()
	for {
		reply, ended := c.answer(ctx, request)
		if err := c.stream.Send(reply); err != nil {
			return err
		}
		if ended {
			return nil
		}
		expiry := c.expireWhenIdle()
		next, err := c.stream.Recv()
		if expiry != nil {
			expiry.Stop()
		}
		if err != nil {
			return err
		}
		request = next
	}
}

// answer runs the statements of a request. It reports whether the unit has ended.
func (c *carrier) answer(ctx context.Context, request *controlpb.UnitRequest) (*controlpb.UnitReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		return &controlpb.UnitReply{Failure: toFailure(&engine.UnitFailure{Kind: engine.UnitNotServed})}, true
	}
	statements := fromStatements(request.Statements)
	size := int64(statementBytes(statements))
	defer c.server.heldBytes.Add(-size)
	if c.server.heldBytes.Add(size) > c.server.byteLimit.Load() {
		return &controlpb.UnitReply{Failure: toFailure(&engine.UnitFailure{Kind: engine.UnitNotServed})}, true
	}
	replies, failure := c.unit.Run(ctx, duration(request.TimeoutMs), statements)
	out := &controlpb.UnitReply{Replies: toReplies(replies), Load: toLoad(c.unit.Load())}
	if failure != nil {
		countServedFailure(failure.Kind)
		out.Failure = toFailure(failure)
	}
	return out, failure != nil || !c.unit.Open()
}

// expireWhenIdle starts the timer that ends an idle transaction of a node that does not run any more.
func (c *carrier) expireWhenIdle() *time.Timer {
	limit := c.server.engine.UnitIdleTimeout()
	if limit == 0 {
		return nil
	}
	return time.AfterFunc(limit, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.expired = true
		c.unit.Close()
	})
}

// end closes the unit.
func (c *carrier) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unit.Close()
}

// WriteRows implements engine.UnitRows. gRPC's flow control blocks it while the other node does not read; that node
// ends the stream when its caller does not.
func (c *carrier) WriteRows(earlier []engine.Reply, rows []string) error {
	return c.stream.Send(&controlpb.UnitReply{Replies: toReplies(earlier), Rows: toRows(rows)})
}
