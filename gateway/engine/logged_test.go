package engine

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// Guards against log lines, and with them memory, that grow with the identities that callers choose.
func TestLongIdentityIsLoggedInPart(t *testing.T) {
	s := newTestNode(t)
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	s.engine.log = logrus.NewEntry(logger)
	id := strings.Repeat("x", 1<<20)
	s.handle(s.open("intake", "key"), execute(id, "unknown", "lot"))
	if got := out.Len(); got == 0 || got > 1<<10 {
		t.Errorf("%d bytes are logged", got)
	}
}
