package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"

	"github.com/jayloom/jayloom/cmd/internal/flagfile"
)

func parse(t *testing.T, args ...string) *options {
	t.Helper()
	var o options
	if _, err := flagfile.Parse(flags.NewParser(&o, flags.None), args); err != nil {
		t.Fatal(err)
	}
	return &o
}

// Guards against an announcement that control cannot use because it lacks a service, a
// group or a credential, or because nobody can connect to its address.
func TestFlagsAreChecked(t *testing.T) {
	valid := []string{"--password=p", "--announce=http://127.0.0.1:1", "--announce-credential=c", "--service=s", "--group=g"}
	if err := parse(t, valid...).readAndCheck(); err != nil {
		t.Fatal(err)
	}
	for _, invalid := range []string{
		"--service=", "--group=", "--announce-credential=", "--listen=0.0.0.0:1", "--listen=localhost:1",
		"--password=", "--tls-cert=c.pem", "--lag=-1s", "--log-level=loud", "--password-file=/does/not/exist",
	} {
		if parse(t, append(valid, invalid)...).readAndCheck() == nil {
			t.Errorf("%s is accepted", invalid)
		}
	}
}

// Guards against a line break at the end of a password file becoming part of the
// password, with which every login would fail.
func TestSecretFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "password")
	if err := os.WriteFile(path, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	o := parse(t, "--password-file="+path)
	if err := o.readAndCheck(); err != nil || o.serverConfig().Password != "secret" {
		t.Fatalf("%q, %v", o.Password, err)
	}
}
