// Package attend keeps a proxy's stream to the control leader: it reports, applies
// what the leader sends, and publishes snapshots of the control view.
package controlclient

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TokenReporter is the part of the holder of request tokens that reports.
type TokenReporter interface {
	Report(now time.Duration) []*controlpb.TokenDemand
	ApplyGrant(now, sentAt time.Duration, grant *controlpb.TokenGrant)
	StartStream(now time.Duration)
}

// ShareReporter is the part of the holder of connection shares that reports.
type ShareReporter interface {
	Report(now time.Duration) []*controlpb.ShareDemand
	ApplyGrant(now, sentAt time.Duration, grant *controlpb.ShareGrant)
	StartStream(now time.Duration)
}
