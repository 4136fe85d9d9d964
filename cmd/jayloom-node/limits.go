package main

import (
	"context"
	"net"
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/jayloom/jayloom/gateway/server"
	"github.com/jayloom/jayloom/platform"
)

// What each listener may hold, besides callers (server.MaxCallers). The rest of the descriptors is for links to other
// nodes and to upstreams, and for files, so that a crowd at a listener cannot take a node's place in the fleet.
const (
	// nodeDescriptorFraction is the fraction of the file descriptors that connections of other nodes may use. A
	// leader that also holds connections for others has two of each node.
	nodeDescriptorFraction = 0.2
	// httpDescriptorFraction is the fraction for each of the HTTP listeners, controlDescriptorFraction that for the
	// one of operators and upstreams, which keep the connections on which they announce themselves.
	httpDescriptorFraction    = 0.02
	controlDescriptorFraction = 0.04
	// controlListener is the name of the listener of operators and upstreams.
	controlListener = "control"
	// minNodeConnections and minHTTPConnections apply to nodes with few descriptors.
	minNodeConnections = 32
	minHTTPConnections = 8
	// bodyMemoryFraction is what long bodies of operators' requests may hold, as a fraction of the node's memory limit.
	bodyMemoryFraction = 0.1
	// rowMemoryFraction is what long rows of answers may hold, as a fraction of the node's memory limit.
	rowMemoryFraction = 0.1
	// maxInUseFraction is the memory in use above which no long message of a caller is read, as a fraction of the node's
	// memory limit. It is above memoryLimitFraction, which the collector keeps unless it is too slow.
	maxInUseFraction = 0.65
	// unreadMemoryFraction is what bytes that have arrived on connections of callers and are not read yet may hold, as
	// a fraction of the node's memory limit, which counts them.
	unreadMemoryFraction = 0.1
	// minReceiveBuffer and maxReceiveBuffer bound the receive buffer of a caller's connection in bytes. With the
	// smaller one a message of 1 MiB takes 64 round trips.
	minReceiveBuffer = 16 << 10
	maxReceiveBuffer = 64 << 10
	// httpReceiveBuffer is the receive buffer of an HTTP connection in bytes.
	httpReceiveBuffer = 64 << 10
	// nodeUserTimeout is how long bytes that were sent to another node may stay unacknowledged before the kernel closes
	// the connection. A wrapped listener keeps gRPC from setting it.
	nodeUserTimeout = 2 * time.Second
)

func maxNodeConnections(descriptors int) int {
	return max(minNodeConnections, int(nodeDescriptorFraction*float64(descriptors)))
}

func maxHTTPConnections(listener string, descriptors int) int {
	fraction := httpDescriptorFraction
	if listener == controlListener {
		fraction = controlDescriptorFraction
	}
	return max(minHTTPConnections, int(fraction*float64(descriptors)))
}

// maxBodyMemory returns what long bodies of operators' requests may hold in bytes.
func maxBodyMemory(s *platform.Settings) int64 {
	return int64(bodyMemoryFraction * float64(s.MemoryMB) * (1 << 20))
}

// longRows returns the bound for long rows of answers on their way.
func longRows(s *platform.Settings) *platform.AnswerPermits {
	return platform.NewAnswerPermits(int64(rowMemoryFraction * float64(s.MemoryMB) * (1 << 20)))
}

// memoryInUse returns the memory that the Go runtime holds in bytes.
func memoryInUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// callerReceiveBuffer returns the size of the receive buffer of a caller's connection in bytes.
func callerReceiveBuffer(s *platform.Settings) int {
	memory := unreadMemoryFraction * float64(s.MemoryMB) * (1 << 20)
	share := int(memory / float64(max(1, server.MaxCallers(s.MaxFileDescriptors))))
	return min(max(share, minReceiveBuffer), maxReceiveBuffer)
}

// socketOption sets an option of a listening socket, which its connections inherit.
type socketOption func(fd int) error

// setReceiveBuffer bounds what arrives on a connection and is not read yet.
func setReceiveBuffer(bytes int) socketOption {
	// The kernel doubles the size for its own overhead.
	return func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/2) }
}

func setNodeTimeout(fd int) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(nodeUserTimeout.Milliseconds()))
}

// listen listens on an address, with an option on the socket. A kernel that does not know the option has no part in
// whether the node serves.
func listen(ctx context.Context, address string, set socketOption, log *logrus.Entry) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if err := set(int(fd)); err != nil {
				log.WithError(err).WithFields(logrus.Fields{"event": "socket_option", "address": address}).Warn("socket option refused")
			}
		})
	}}
	return config.Listen(ctx, "tcp4", address)
}
