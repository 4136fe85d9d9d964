package replica

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// peerQueueSize bounds the messages that are queued for one peer. Further ones are
	// dropped, because queued messages soon become obsolete.
	peerQueueSize = 256
	// reconnectDelay is the pause after a stream has failed.
	reconnectDelay = 100 * time.Millisecond
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// keepaliveInterval is the time between pings, which detect connections cut by a
	// silent partition. It is the minimum that grpc-go allows a client.
	keepaliveInterval = 10 * time.Second
	// keepaliveTimeout is also the TCP user timeout: a connection on which sent bytes
	// stay unacknowledged for longer is closed.
	keepaliveTimeout = 2 * time.Second
)

// ServerOptions returns the options that the gRPC server of a Replica needs: a snapshot
// is sent as one message, and peers ping on idle connections.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(math.MaxInt32),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveInterval / 2, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}
}

func dialOptions(credentials []grpc.DialOption) []grpc.DialOption {
	reconnectBackoff := backoff.Config{BaseDelay: reconnectDelay, Multiplier: 1.5, Jitter: 0.2, MaxDelay: connectTimeout}
	return append([]grpc.DialOption{
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(math.MaxInt32)),
	}, credentials...)
}

// sender sends messages to other replicas.
type sender interface {
	// send queues a message and never blocks.
	send(address string, m *controlpb.ConsensusMessage)
	// closeOthers closes the connections to all addresses but the given ones.
	closeOthers(addresses map[string]bool)
}

// transport sends messages to other replicas, over one stream for each address.
type transport struct {
	ctx     context.Context
	options []grpc.DialOption
	log     *logrus.Entry

	// peers is used by the goroutine of Replica.Run only.
	peers   map[string]*peer
	running sync.WaitGroup
}

func newTransport(ctx context.Context, options []grpc.DialOption, log *logrus.Entry) *transport {
	return &transport{ctx: ctx, options: options, log: log, peers: map[string]*peer{}}
}

// send implements sender.
func (t *transport) send(address string, m *controlpb.ConsensusMessage) {
	p := t.peers[address]
	if p == nil {
		p = t.startPeer(address)
	}
	select {
	case p.queue <- m:
		metricSent.Inc()
	default:
		countDropped(droppedQueueFull)
	}
}

func (t *transport) startPeer(address string) *peer {
	ctx, cancel := context.WithCancel(t.ctx)
	p := &peer{
		address: address,
		queue:   make(chan *controlpb.ConsensusMessage, peerQueueSize),
		cancel:  cancel,
		log:     t.log.WithField("peer", address),
	}
	t.peers[address] = p
	t.running.Go(func() { p.run(ctx, t.options) })
	return p
}

// closeOthers implements sender.
func (t *transport) closeOthers(addresses map[string]bool) {
	for address, p := range t.peers {
		if !addresses[address] {
			p.cancel()
			delete(t.peers, address)
		}
	}
}

// close waits until all connections are closed. The context must have ended before.
func (t *transport) close() {
	t.running.Wait()
}

// peer sends messages to one address.
type peer struct {
	address string
	queue   chan *controlpb.ConsensusMessage
	cancel  context.CancelFunc
	log     *logrus.Entry
	// reachable is the state logged last, so that only changes are logged.
	reachable bool
}

func (p *peer) run(ctx context.Context, options []grpc.DialOption) {
	defer p.cancel()
	connection, err := grpc.NewClient(p.address, options...)
	if err != nil {
		p.log.WithError(err).Error("invalid address of a control VM")
		return
	}
	defer connection.Close()
	client := controlpb.NewVoterClient(connection)
	for ctx.Err() == nil {
		err := p.sendQueued(ctx, client)
		if ctx.Err() != nil {
			return
		}
		p.setReachable(false, err)
		p.dropQueued()
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// sendQueued sends queued messages until the stream ends. gRPC reports the end of a
// stream only to a send or a receive, so a goroutine waits for the reply that ends it.
func (p *peer) sendQueued(ctx context.Context, client controlpb.VoterClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Exchange(ctx)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- stream.RecvMsg(&controlpb.ExchangeReply{}) }()
	for {
		select {
		case m := <-p.queue:
			if err := stream.Send(m); err != nil {
				// The cause of a failed Send is what RecvMsg returns.
				return <-ended
			}
			p.setReachable(true, nil)
		case err := <-ended:
			return err
		}
	}
}

func (p *peer) setReachable(reachable bool, err error) {
	if reachable == p.reachable {
		return
	}
	p.reachable = reachable
	if reachable {
		p.log.Info("connected to control VM")
	} else {
		p.log.WithError(err).Warn("connection to control VM lost")
	}
}

// dropQueued drops the messages that were queued when a stream failed.
func (p *peer) dropQueued() {
	for {
		select {
		case <-p.queue:
			countDropped(droppedStreamFailed)
		default:
			return
		}
	}
}
