package tlsconf

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// GRPCCredentials returns the transport credentials of both directions between the system's
// processes: mutual TLS, or none when no files are named. Settings refuse the
// latter outside loopback unless they allow it.
func (f Files) GRPCCredentials() (credentials.TransportCredentials, error) {
	if f.Empty() {
		return insecure.NewCredentials(), nil
	}
	config, err := f.MutualConfig()
	if err != nil {
		return nil, err
	}
	config.MinVersion = tls.VersionTLS13
	return credentials.NewTLS(config), nil
}
