package main

import (
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/tlsconf"
	"github.com/jayloom/jayloom/cmd/internal/flagfile"
	"github.com/jayloom/jayloom/standin"
	"github.com/jayloom/jayloom/standin/announce"
	"github.com/jayloom/jayloom/standin/wire"
)

// options holds the command-line flags.
type options struct {
	flagfile.Common

	Listen          string        `long:"listen" default:"127.0.0.1:5432" description:"Address to listen on, and to announce."`
	Advertise       string        `long:"advertise" description:"Address to announce if it is not --listen, as behind a relay."`
	HTTP            string        `long:"http" description:"Address that serves /metrics."`
	User            string        `long:"user" default:"jayloom" description:"Name of the one account."`
	Password        string        `long:"password" description:"Password of the account."`
	PasswordFile    string        `long:"password-file" description:"File that holds the password."`
	Auth            string        `long:"auth" default:"scram" choice:"scram" choice:"cleartext" choice:"trust" description:"How clients authenticate."`
	TLSCert         string        `long:"tls-cert" description:"PEM file of the certificate; with it all clients but replicas must use TLS."`
	TLSKey          string        `long:"tls-key" description:"PEM file of the certificate's key."`
	ConnectionLimit uint32        `long:"connection-limit" default:"25" description:"Sessions allowed at a time."`
	ConnectDelay    time.Duration `long:"connect-delay" default:"10ms" description:"Delay of each new connection."`
	StatementDelay  time.Duration `long:"statement-delay" default:"0s" description:"Delay of each statement."`
	Follow          string        `long:"follow" description:"Address of the primary to follow; without it the server is a primary."`
	Lag             time.Duration `long:"lag" default:"0s" description:"Age at which a replica applies commits."`
	Init            string        `long:"init" description:"File of statements to run at the start of a primary."`
	Capture         string        `long:"capture" description:"File that gets every byte received from clients."`
	Audit           string        `long:"audit" description:"File that gets one JSON line for each statement."`
	AuditKeep       int           `long:"audit-keep" default:"100000" description:"Statements that standin_audit holds."`

	Announce               []string `long:"announce" value-name:"URL" description:"Control VM to announce to; may be given several times."`
	AnnounceCredential     string   `long:"announce-credential" description:"Announcement credential."`
	AnnounceCredentialFile string   `long:"announce-credential-file" description:"File that holds the announcement credential."`
	Service                string   `long:"service" description:"Service to announce."`
	Group                  string   `long:"group" description:"Database group to announce."`
	Place                  string   `long:"place" description:"Data centre to announce."`
}

// readAndCheck reads the secrets that are given as files and checks all flags.
func (o *options) readAndCheck() error {
	if err := readSecret(&o.Password, o.PasswordFile); err != nil {
		return err
	}
	if err := readSecret(&o.AnnounceCredential, o.AnnounceCredentialFile); err != nil {
		return err
	}
	if _, err := logrus.ParseLevel(o.LogLevel); err != nil {
		return errors.Wrap(err, "--log-level")
	}
	if err := o.checkAnnouncement(); err != nil {
		return err
	}
	if (o.TLSCert == "") != (o.TLSKey == "") {
		return errors.New("--tls-cert and --tls-key must be given together")
	}
	return o.serverConfig().Check()
}

func readSecret(value *string, path string) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	*value = strings.TrimSpace(string(data))
	return errors.Wrap(err, "read secret")
}

func (o *options) checkAnnouncement() error {
	if len(o.Announce) == 0 {
		return nil
	}
	if o.Service == "" || o.Group == "" || o.AnnounceCredential == "" {
		return errors.New("--announce needs --service, --group and --announce-credential")
	}
	flagName, address := "--listen", o.Listen
	if o.Advertise != "" {
		flagName, address = "--advertise", o.Advertise
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, flagName)
	}
	if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
		return errors.Newf("--announce needs a %s address with the IP address that others connect to", flagName)
	}
	return nil
}

func (o *options) serverConfig() standin.Config {
	return standin.Config{
		Listen:          o.Listen,
		User:            o.User,
		Password:        o.Password,
		Auth:            wire.Auth(o.Auth),
		ConnectionLimit: int(o.ConnectionLimit),
		ConnectDelay:    o.ConnectDelay,
		StatementDelay:  o.StatementDelay,
		Follow:          o.Follow,
		Lag:             o.Lag,
		AuditKeep:       o.AuditKeep,
	}
}

// openFiles loads the certificate and opens the capture and audit files into config.
func (o *options) openFiles(config *standin.Config) error {
	if o.TLSCert != "" {
		tlsConfig, err := tlsconf.Files{Cert: o.TLSCert, Key: o.TLSKey}.ServerConfig()
		if err != nil {
			return errors.Wrap(err, "--tls-cert")
		}
		config.TLS = tlsConfig
	}
	for _, file := range []struct {
		path   string
		writer *io.Writer
	}{{o.Capture, &config.Capture}, {o.Audit, &config.AuditFile}} {
		if file.path == "" {
			continue
		}
		f, err := os.OpenFile(file.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "open file")
		}
		*file.writer = f
	}
	return nil
}

func (o *options) announcedUpstream(address string) announce.Upstream {
	if o.Advertise != "" {
		address = o.Advertise
	}
	return announce.Upstream{
		Service:         o.Service,
		Group:           o.Group,
		Address:         address,
		Place:           o.Place,
		ConnectionLimit: o.ConnectionLimit,
	}
}
