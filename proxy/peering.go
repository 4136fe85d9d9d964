package proxy

import (
	"context"
	"encoding/binary"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
)

// PeeringServer handles the cancel requests that other proxies forward.
type PeeringServer struct {
	controlpb.UnimplementedPeeringServer
	Server *Server
}

// Cancel implements the Peering service.
func (p *PeeringServer) Cancel(ctx context.Context, r *controlpb.CancelRequest) (*controlpb.CancelReply, error) {
	if len(r.Secret) != 4 {
		return nil, status.Error(codes.InvalidArgument, "the secret must have 4 bytes")
	}
	if r.ProcessId != p.Server.view.Current().ProxyNumber {
		// A request is never forwarded twice: two proxies with stale numbers could send it
		// back and forth.
		metricCancelsDropped.Inc()
		return &controlpb.CancelReply{}, nil
	}
	found := p.Server.CancelLocal(ctx, binary.BigEndian.Uint32(r.Secret))
	return &controlpb.CancelReply{Found: found}, nil
}

// Peers forwards cancel requests to other proxies over one gRPC connection each.
type Peers struct {
	DialOptions []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Cancel implements Canceller.
func (p *Peers) Cancel(ctx context.Context, address string, processID uint32, secret []byte) error {
	conn, err := p.conn(address)
	if err != nil {
		return err
	}
	_, err = controlpb.NewPeeringClient(conn).Cancel(ctx, &controlpb.CancelRequest{
		ProcessId: processID,
		Secret:    secret,
	})
	return err
}

func (p *Peers) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient(address, p.DialOptions...)
	if err != nil {
		return nil, err
	}
	if p.conns == nil {
		p.conns = map[string]*grpc.ClientConn{}
	}
	p.conns[address] = conn
	return conn, nil
}
