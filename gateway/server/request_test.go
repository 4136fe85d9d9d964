package server

import (
	"testing"

	"github.com/jayloom/jayloom/gateway/engine"
)

// Guards against idle sessions that keep their last message, of up to 1 MiB, with the id that was cut out of it.
func TestEndedRequestIsNotKept(t *testing.T) {
	var c currentRequest
	c.begin(engine.Statement{ID: "5c", Kind: engine.Read}, true)
	if r, running := c.get(); !running || r.id != "5c" {
		t.Fatalf("%+v, running: %v", r, running)
	}
	c.end()
	if r, running := c.get(); running || r != (request{}) {
		t.Errorf("%+v is kept, running: %v", r, running)
	}
}
