package control

import (
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/control/replica"
)

// Server serves proxies, operators and the announcements of upstreams.
type Server struct {
	controlpb.UnimplementedControlServer

	settings   settings.Control
	replicator replica.Replicator
	store      *Store
	leader     *Leader
	leaderConn *leaderConn
	log        *logrus.Entry
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Settings   settings.Control
	Replicator replica.Replicator
	Store      *Store
	Leader     *Leader
	// Credentials protect calls to other control VMs.
	Credentials credentials.TransportCredentials
	Log         *logrus.Entry
}

// NewServer returns a Server. Its calls need a Leader that is running.
func NewServer(c ServerConfig) *Server {
	return &Server{
		settings:   c.Settings,
		replicator: c.Replicator,
		store:      c.Store,
		leader:     c.Leader,
		leaderConn: &leaderConn{credentials: c.Credentials},
		log:        c.Log,
	}
}

// Close closes the connection to the leader.
func (s *Server) Close() {
	s.leaderConn.close()
}

// hasLeaderLease reports whether this VM leads and holds the leader lease, so that it
// may answer without asking other control VMs.
func (s *Server) hasLeaderLease() bool {
	return s.leader.isLeading() && s.replicator.LeaseValid(clock.Now())
}
