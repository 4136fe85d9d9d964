package controlclient

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TokenReporter is the interface of the request token holder to the control stream.
type TokenReporter interface {
	Report(now time.Duration) []*controlpb.TokenDemand
	ApplyGrant(now, sentAt time.Duration, grant *controlpb.TokenGrant)
	StartStream(now time.Duration)
}

// ShareReporter is the interface of the connection share holder to the control stream.
type ShareReporter interface {
	Report(now time.Duration) []*controlpb.ShareDemand
	ApplyGrant(now, sentAt time.Duration, grant *controlpb.ShareGrant)
	StartStream(now time.Duration)
}
