package tlsconf

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// GRPCCredentials returns the transport credentials for clients and servers of connections
// between the system's processes: mutual TLS, or plaintext if no files are named. The settings
// refuse plaintext outside loopback unless tls.allow_plain permits it.
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
