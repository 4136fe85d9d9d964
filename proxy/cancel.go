package proxy

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// cancelTimeout bounds the forwarding of one cancel request.
const cancelTimeout = 2 * time.Second

// handleCancelRequest handles a cancel request of a caller. The protocol has no answer
// to it.
func (s *Server) handleCancelRequest(processID, secret uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	snapshot := s.view.Current()
	if processID == snapshot.ProxyNumber {
		s.CancelLocal(ctx, secret)
		return
	}
	address, ok := snapshot.Peers[processID]
	if !ok || s.opts.Peers == nil {
		metricCancelsDropped.Inc()
		return
	}
	metricCancelsForwarded.Inc()
	secretBytes := binary.BigEndian.AppendUint32(nil, secret)
	if err := s.opts.Peers.Cancel(ctx, address, processID, secretBytes); err != nil {
		metricCancelsDropped.Inc()
	}
}

// CancelLocal cancels the running statement of a caller of this proxy. It reports
// whether a caller has the secret.
func (s *Server) CancelLocal(ctx context.Context, secret uint32) bool {
	session := s.registry.find(secret)
	if session == nil {
		metricCancelsDropped.Inc()
		return false
	}
	conn := session.runningConn.Load()
	if conn == nil || !conn.cancel.claim(session.id) {
		// The caller is waiting for a connection or runs nothing.
		return true
	}
	metricCancels.Inc()
	if err := sendCancel(ctx, conn); err != nil {
		metricCancelsDropped.Inc()
	}
	return true
}

// sendCancel sends a cancel request to the upstream and waits until it is accepted.
func sendCancel(ctx context.Context, conn *upstreamConn) error {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", conn.net.RemoteAddr().String())
	if err != nil {
		return errors.Wrap(err, "connect to send a cancel request")
	}
	defer func() { _ = c.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	if conn.tls != nil {
		if c, err = upgradeToTLS(ctx, c, conn.tls); err != nil {
			return err
		}
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(12+len(conn.secret)))
	b = binary.BigEndian.AppendUint32(b, codeCancel)
	b = binary.BigEndian.AppendUint32(b, conn.processID)
	b = append(b, conn.secret...)
	if _, err := c.Write(b); err != nil {
		return errors.Wrap(err, "send the cancel request")
	}
	// The upstream closes the connection once it has accepted the request.
	_, err = io.Copy(io.Discard, c)
	return err
}

// upgradeToTLS requests TLS from the upstream, so that the cancel key is not sent in
// the clear.
func upgradeToTLS(ctx context.Context, c net.Conn, config *tls.Config) (net.Conn, error) {
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode the request for TLS")
	}
	if _, err := c.Write(request); err != nil {
		return nil, errors.Wrap(err, "request TLS")
	}
	var answer [1]byte
	if _, err := io.ReadFull(c, answer[:]); err != nil {
		return nil, errors.Wrap(err, "request TLS")
	}
	if answer[0] != 'S' {
		return nil, errors.New("the upstream does not offer TLS for the cancel request")
	}
	secured := tls.Client(c, config)
	return secured, errors.Wrap(secured.HandshakeContext(ctx), "TLS handshake for the cancel request")
}
