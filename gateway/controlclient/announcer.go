package controlclient

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

const (
	// announcerTick is the time between two checks of whether an announcement is due.
	announcerTick = 250 * time.Millisecond
	// announceInterval is the time between two announcements of unchanged voters. A seed that
	// has restarted does not know them.
	announceInterval = time.Second
	// announceTimeout limits one announcement to one seed.
	announceTimeout = 500 * time.Millisecond
)

// VoterAnnouncer tells the seeds which nodes vote. Seeds may have no data folder, and after a
// loss of power of all VMs only the voters remember the membership. It runs on each node with a
// replica.
type VoterAnnouncer struct {
	// Self is the address of this node.
	Self string
	// Seeds returns the addresses of the seeds in the settings.
	Seeds func() []string
	// Voters returns the voters that the local replica knows; nil if it knows none.
	Voters func() *controlpb.VoterSet
	// Learn receives the voters for use by this node itself.
	Learn func(*controlpb.VoterSet) bool
	// Dial is optional.
	Dial        DialFunc
	DialOptions []grpc.DialOption
	Log         *logrus.Entry
}

// announcement is what was announced last, and to whom.
type announcement struct {
	voters []string
	seeds  []string
	at     time.Duration
}

// due reports whether the voters must be announced at the time now. A change of the voters or of
// the seeds is announced at once.
func (a announcement) due(now time.Duration, voters, seeds []string) bool {
	if len(voters) == 0 {
		return false
	}
	return now-a.at >= announceInterval || !slices.Equal(voters, a.voters) || !slices.Equal(seeds, a.seeds)
}

// Run announces the voters until ctx ends.
func (v *VoterAnnouncer) Run(ctx context.Context) {
	connections := newConnectionCache(v.Dial, v.DialOptions)
	defer connections.closeAll()
	last := announcement{at: -announceInterval}
	ticker := time.NewTicker(announcerTick)
	defer ticker.Stop()
	for {
		voters := v.Voters()
		v.Learn(voters)
		now, seeds := clock.Now(), v.otherSeeds()
		if last.due(now, voters.GetAddresses(), seeds) {
			last = announcement{voters: voters.GetAddresses(), seeds: seeds, at: now}
			connections.closeOthers(seeds)
			for _, seed := range seeds {
				go v.announce(ctx, connections, seed, voters)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// otherSeeds returns the seeds without this node.
func (v *VoterAnnouncer) otherSeeds() []string {
	return slices.DeleteFunc(v.Seeds(), func(seed string) bool { return seed == v.Self })
}

func (v *VoterAnnouncer) announce(ctx context.Context, connections *connectionCache, seed string, voters *controlpb.VoterSet) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	connection, err := connections.get(seed)
	if err == nil {
		_, err = controlpb.NewGatewayClient(connection).AnnounceVoters(ctx, voters)
	}
	if err == nil {
		return
	}
	metricVoterAnnouncementFailures.Inc()
	v.Log.WithError(err).WithFields(logrus.Fields{"event": "voters_not_announced", "seed": seed}).
		Debug("a seed did not take the voters; they are announced again")
	if status.Code(err) == codes.DeadlineExceeded {
		// The connection may have been lost without a reset.
		connections.closeConnection(seed)
	}
}
