package clientlog

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a crowd that fills the log.
func TestOneLineAClientAndMinute(t *testing.T) {
	var l Limiter
	lines := 0
	for n := range 10 * maxClients {
		for range 3 {
			if _, ok := l.Admit(fmt.Sprint(n), time.Second); ok {
				lines++
			}
		}
	}
	if lines != maxClients {
		t.Errorf("%d lines, want %d", lines, maxClients)
	}
	if suppressed, ok := l.Admit("0", time.Second+interval); !ok || suppressed != 2 {
		t.Errorf("after an interval: %d not written, admitted %t", suppressed, ok)
	}
}
