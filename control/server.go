package control

import (
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/control/replica"
)

// Server answers proxies, operators and announcements.
type Server struct {
	controlpb.UnimplementedControlServer

	settings   settings.Control
	replicator replica.Replicator
	store      *Store
	leader     *Leader
	leaderConn *leaderConn
	log        *logrus.Entry
}

// ServerConfig is what NewServer needs.
type ServerConfig struct {
	Settings   settings.Control
	Replicator replica.Replicator
	Store      *Store
	Leader     *Leader
	// Credentials protect calls to other control VMs.
	Credentials credentials.TransportCredentials
	Log         *logrus.Entry
}

// NewServer returns a server; Leader must be running.
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

// Close drops the connection to the leader.
func (s *Server) Close() {
	s.leaderConn.close()
}

// leads reports whether this VM may answer alone.
func (s *Server) hasLeaderLease() bool {
	return s.leader.isLeading() && s.replicator.LeaseValid(clock.Now())
}
