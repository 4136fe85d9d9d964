package main

import (
	"testing"

	"github.com/jayloom/jayloom/platform/standin"
)

// Guards against data that ends its message, so that its rest is run as a statement that nobody sent.
func TestLineFeedInsideWriteIsData(t *testing.T) {
	const data = "x\nQUERY q WRITE b y"
	d := startDeployment(t)
	d.putConfiguration(1, "secret")
	var session *standin.Caller
	d.waitUntil("a write", func() bool {
		session, _ = d.connect(d.nodes[0], "lots", "secret")
		if session == nil {
			return false
		}
		if succeeds(session, "WRITE a "+data) {
			return true
		}
		session.Close()
		return false
	})
	if got, err := session.Query("READ a"); err != nil || len(got.Rows) != 1 || got.Rows[0] != data {
		t.Errorf("the data is read back as %q, %v", got.Rows, err)
	}
}
