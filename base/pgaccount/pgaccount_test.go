package pgaccount

import (
	"testing"

	"github.com/jayloom/jayloom/base/settings"
)

// Guards against environment variables of the process that redirect the system's account to
// another server, or that disable verification of the server's certificate.
func TestEnvironmentDoesNotChangeTheAccount(t *testing.T) {
	t.Setenv("PGHOST", "192.0.2.1")
	t.Setenv("PGUSER", "other")
	t.Setenv("PGDATABASE", "other")
	t.Setenv("PGSSLMODE", "disable")
	t.Setenv("PGOPTIONS", "-c search_path=other")
	account := settings.UpstreamAccount{
		User: "it's", Password: `pass\word`, TLS: settings.UpstreamTLS{SSLMode: settings.SSLVerifyFull},
	}
	config, err := Config(account, "[::1]:5433", "wax")
	if err != nil {
		t.Fatal(err)
	}
	if config.Host != "::1" || config.Port != 5433 || config.User != account.User || config.Password != account.Password {
		t.Errorf("config connects to %s:%d as %s", config.Host, config.Port, config.User)
	}
	if config.Database != "wax" || len(config.RuntimeParams) != 0 || len(config.Fallbacks) != 0 {
		t.Errorf("database %q, parameters %v, %d fallbacks", config.Database, config.RuntimeParams, len(config.Fallbacks))
	}
	if config.TLSConfig == nil || config.TLSConfig.InsecureSkipVerify || config.TLSConfig.ServerName != "::1" {
		t.Error("the server's certificate is not verified against its address")
	}
}

// Guards against file names with quotes that change other fields of the connection string, and
// against connections that ignore a missing certificate.
func TestMissingCertificateIsAnError(t *testing.T) {
	account := settings.UpstreamAccount{User: "jayloom", TLS: settings.UpstreamTLS{
		SSLMode: settings.SSLVerifyCA, CA: t.TempDir() + `/it's a\ca' sslmode='disable`,
	}}
	if config, err := Config(account, "127.0.0.1:5432", "wax"); err == nil {
		t.Errorf("got a configuration with TLS %v", config.TLSConfig != nil)
	}
}
