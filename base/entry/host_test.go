package entry

import (
	"strings"
	"testing"
)

// Guards against a server that is in a list twice because its address can be written in two ways, and
// against addresses that nobody can dial or that stand for the reader's own machine.
func TestHostHasOneSpelling(t *testing.T) {
	for _, address := range []string{
		"10.0.0.1:5432", "[2001:db8::1]:1", "[::1]:65535", "localhost:1", "db1.kef.example:5432", "db_1:5432", "1db.2x:5432",
		strings.Repeat("a", maxLabelBytes) + ":1",
	} {
		if err := CheckHostAddress("address", address); err != nil {
			t.Errorf("%s: %v", address, err)
		}
	}
	for _, address := range []string{
		"", "db1", ":1", "db1:", "db1:0", "db1:00001", "db1:+1", "db1:65536", "db1:-1", "db1:http", "db1:1:1", "10.0.0.1", "10.0.0:1", "1:1",
		"10.0.0.256:1", "010.0.0.1:1", "0.0.0.0:1", "[::]:1", "224.0.0.1:1", "[ff02::1]:1", "[::ffff:10.0.0.1]:1",
		"[2001:DB8::1]:1", "[2001:db8:0::1]:1", "2001:db8::1:1", "[fe80::1%eth0]:1", "[10.0.0.1]:1", "[db1]:1", "DB1:1", "db1.:1", ".db1:1",
		"a..b:1", "-db1:1", "db1-:1", "/run/db:1", "@db:1", "a,b:1", "a b:1", "a\x00:1", "a\n:1", "a\xff:1", "datenbank-ä:1",
		strings.Repeat("a", maxLabelBytes+1) + ":1", strings.Repeat("a.", maxHostNameBytes/2) + "aa:1",
	} {
		if err := CheckHostAddress("address", address); err == nil {
			t.Errorf("%q was accepted", address)
		}
	}
}
