package e2e

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/tlsconf"
)

// certificateAuthority issues certificates for a test.
type certificateAuthority struct {
	t      *testing.T
	folder string
	key    *ecdsa.PrivateKey
	root   *x509.Certificate
	ca     string
	serial int64
}

func newAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{t: t, folder: t.TempDir()}
	a.key = a.newKey()
	template := a.template("test CA")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.root, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.ca = a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *certificateAuthority) newKey() *ecdsa.PrivateKey {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *certificateAuthority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func (a *certificateAuthority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue issues a certificate and returns the fields of tls.identity for it.
func (a *certificateAuthority) issue(name string) map[string]string {
	a.t.Helper()
	key := a.newKey()
	der, err := x509.CreateCertificate(rand.Reader, a.template(name), a.root, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return map[string]string{
		"cert_file": a.write(name+".pem", "CERTIFICATE", der),
		"key_file":  a.write(name+".key", "EC PRIVATE KEY", private),
		"ca_file":   a.ca,
	}
}

func filesOf(identity map[string]string) tlsconf.Files {
	return tlsconf.Files{Cert: identity["cert_file"], Key: identity["key_file"], CA: identity["ca_file"]}
}

// Guards against accepting a process or an operator without a certificate of the system's
// CA: without any, and with one of another CA. The stand-ins require TLS, so that probes and
// statements must use it too.
func TestProcessWithoutCertificateIsRefused(t *testing.T) {
	trustedCA, otherCA := newAuthority(t), newAuthority(t)
	identities := map[string]map[string]string{"proxy3": otherCA.issue("proxy3")}
	for _, name := range []string{"control1", "control2", "control3", "proxy1", "operator"} {
		identities[name] = trustedCA.issue(name)
	}
	d := Start(t, Options{
		Proxies:     3,
		StandIns:    1,
		UpstreamTLS: trustedCA.issue("upstream"),
		Identity:    func(name string) map[string]string { return identities[name] },
		ManualStart: []string{"proxy2", "proxy3"},
	})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	for _, p := range d.Proxies[1:] {
		p.Start()
		d.WaitFor("an attempt of "+p.Name, func() bool {
			return d.Metric(p.HTTP, "jayloom_proxy_control_stream_ends_total") >= 6
		})
		if _, err := d.Connect(t.Context(), p); err == nil {
			t.Errorf("%s serves callers", p.Name)
		}
		for _, member := range d.Show().Proxies {
			if member.Name == p.Name {
				t.Errorf("%s is connected to control", p.Name)
			}
		}
	}
	for name, files := range map[string]tlsconf.Files{
		"none":               {},
		"one of another CA":  filesOf(otherCA.issue("stranger")),
		"another CA, our CA": {Cert: identities["proxy3"]["cert_file"], Key: identities["proxy3"]["key_file"], CA: trustedCA.ca},
	} {
		transport, err := files.GRPCCredentials()
		if err != nil {
			t.Fatal(err)
		}
		if err := callIntroduce(t, d.Controls[0].Direct, transport); err == nil {
			t.Errorf("a control VM answers a process with the certificate: %s", name)
		}
	}
	own, err := filesOf(identities["proxy1"]).GRPCCredentials()
	if err != nil {
		t.Fatal(err)
	}
	if err := callIntroduce(t, d.Controls[0].Direct, own); err != nil {
		t.Errorf("a process with a certificate is refused: %v", err)
	}
}

// callIntroduce makes a call that needs no operator credential.
func callIntroduce(t *testing.T, address string, transport credentials.TransportCredentials) error {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(transport))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), servingLease)
	defer cancel()
	_, err = controlpb.NewVoterClient(conn).Introduce(ctx, &controlpb.Introduction{})
	return err
}
