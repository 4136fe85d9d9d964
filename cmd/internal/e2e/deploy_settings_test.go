package e2e

import (
	"crypto/rand"
	"encoding/json"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
)

// Ports are chosen below the range that Linux uses for outgoing connections, so that no
// connection takes a port between its choice and the start of the process.
const (
	firstPort       = 18_000
	portCount       = 14_000
	maxPortAttempts = 100
)

// usedAddresses holds the addresses that were returned before: the process that will use
// one may not listen yet.
var usedAddresses sync.Map

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range maxPortAttempts {
		offset, err := rand.Int(rand.Reader, big.NewInt(portCount))
		if err != nil {
			t.Fatal(err)
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+int(offset.Int64())))
		if _, before := usedAddresses.LoadOrStore(address, true); before {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// object is a JSON object.
type object map[string]any

func (d *Deployment) writeJSON(name string, content object) string {
	d.t.Helper()
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		d.t.Fatal(err)
	}
	return d.writeFile(name, data)
}

func (d *Deployment) writeFile(name string, data []byte) string {
	d.t.Helper()
	path := filepath.Join(d.folder, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}
