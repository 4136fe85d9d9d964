// Package tlsconf builds TLS configurations from certificate files.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// Files holds the paths of the PEM files of one identity.
type Files struct {
	// Cert is the certificate chain of this process.
	Cert string `json:"cert_file"`
	// Key is the private key of the certificate.
	Key string `json:"key_file"`
	// CA holds the certificates that peer certificates are verified against.
	CA string `json:"ca_file"`
}

// Empty reports whether no path is set.
func (f Files) Empty() bool {
	return f == Files{}
}

// MutualConfig returns a configuration for clients and servers in which both sides present a
// certificate signed by the CA.
func (f Files) MutualConfig() (*tls.Config, error) {
	config, err := f.ServerConfig()
	if err != nil {
		return nil, err
	}
	pool, err := f.loadCAPool()
	if err != nil {
		return nil, err
	}
	config.RootCAs = pool
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ServerConfig returns a configuration that presents the certificate and requests none from
// clients.
func (f Files) ServerConfig() (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %s and key %s", f.Cert, f.Key)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
	}, nil
}

func (f Files) loadCAPool() (*x509.CertPool, error) {
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrapf(err, "read CA file %s", f.CA)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("CA file %s contains no certificates", f.CA)
	}
	return pool, nil
}
