package controlclient

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/inbox"
)

// Run maintains the control stream until ctx ends or Leave is called.
func (c *Client) Run(ctx context.Context) {
	defer close(c.left)
	defer c.connections.closeAll()
	redirectAddress, redirected := "", false
	pause := newReconnectPause()
	for ctx.Err() == nil {
		address := redirectAddress
		if address == "" {
			address = c.nextAddress()
		}
		metricStreamAttempts.Inc()
		updates, err := c.runStream(ctx, address)
		if errors.Is(err, errLeft) {
			return
		}
		if updates > 0 {
			metricLeaderLosses.Inc()
			c.opts.Log.WithError(err).WithFields(logrus.Fields{
				"event": "leader_lost", "leader": address,
				"serves_for_ms": (time.Duration(c.leaseUntil.Load()) - clock.Now()).Milliseconds(),
			}).Warn("control stream to the leader ended")
		}
		if errors.Is(err, errNoAnswer) {
			c.silentAddress, c.silentAt = address, clock.Now()
		}
		if !isRedirect(err) {
			c.connections.closeConnection(address)
		}
		c.setLeader("")
		redirectAddress = c.handleRedirect(err, address, updates)
		if updates > 0 {
			pause.Reset()
		}
		if isRedirect(err) && c.receivedCatalog == nil {
			c.preload(ctx, address)
		}
		if redirected = followAtOnce(redirectAddress, redirected); redirected {
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.leaving:
			return
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// followAtOnce reports whether a redirect is followed without a pause. A second one in a row is
// not: nodes that have not learned of a new leader yet may redirect to each other.
func followAtOnce(redirectAddress string, redirectedBefore bool) bool {
	return redirectAddress != "" && !redirectedBefore
}

// newReconnectPause returns the pauses between attempts to open a stream.
func newReconnectPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryInterval, maxRetryInterval
	pause.Multiplier, pause.RandomizationFactor = retryFactor, retryJitter
	pause.Reset()
	return pause
}

// handleRedirect updates the voters from a redirect in err, if there is one, and returns the
// address of the leader to connect to next, or nothing.
func (c *Client) handleRedirect(err error, address string, updates int) string {
	for _, detail := range status.Convert(err).Details() {
		r, ok := detail.(*controlpb.Redirect)
		if !ok {
			continue
		}
		c.LearnVoters(&controlpb.VoterSet{Addresses: r.Voters, Index: r.VotersIndex})
		if r.Leader != address && updates == 0 && !c.isSilent(r.Leader) {
			return r.Leader
		}
	}
	return ""
}

// isSilent reports whether an address recently failed to answer.
func (c *Client) isSilent(address string) bool {
	return address == c.silentAddress && clock.Now()-c.silentAt < silentBackoff
}

// nextAddress returns the next address to try. It cycles through the known voters and the
// seeds.
func (c *Client) nextAddress() string {
	known := map[string]bool{}
	for _, a := range c.View().Voters.GetAddresses() {
		known[a] = true
	}
	for _, a := range c.opts.Seeds() {
		known[a] = true
	}
	addresses := slices.Sorted(maps.Keys(known))
	if len(addresses) == 0 {
		return ""
	}
	c.nextAddressIndex++
	if len(addresses) > 1 && c.isSilent(addresses[c.nextAddressIndex%len(addresses)]) {
		c.nextAddressIndex++
	}
	return addresses[c.nextAddressIndex%len(addresses)]
}

// runStream opens a stream and runs it until it fails. It returns the number of updates
// received.
func (c *Client) runStream(ctx context.Context, address string) (int, error) {
	if address == "" {
		return 0, errors.New("no address of a node or voter is known")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connection, err := c.connections.get(address)
	if err != nil {
		return 0, err
	}
	openTimer := time.AfterFunc(openTimeout, cancel)
	stream, err := controlpb.NewGatewayClient(connection).Attend(ctx)
	if !openTimer.Stop() {
		return 0, errNoAnswer
	}
	if err != nil {
		return 0, err
	}
	s := &controlStream{client: c, address: address, connection: connection, stream: stream, received: inbox.Receive(ctx, stream.Recv)}
	err = s.run(ctx)
	return s.updates, err
}
