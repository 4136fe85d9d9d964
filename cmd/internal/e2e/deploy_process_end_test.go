package e2e

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// fatalRecorder is a testing.TB that keeps the message of Fatalf.
type fatalRecorder struct {
	testing.TB
	failure string
}

func (r *fatalRecorder) Fatalf(format string, args ...any) {
	r.failure = fmt.Sprintf(format, args...)
	runtime.Goexit()
}

// fatalMessage returns the message with which f ends its test, "" if it does not.
func fatalMessage(t *testing.T, p *Process, f func()) string {
	r := &fatalRecorder{TB: t}
	p.t = r
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	<-done
	return r.failure
}

// Guards against a program that ended while it was frozen and is taken for one that
// runs again: a test then waits for it until it gives up, as for a hang.
func TestContinueReportsExitedProcess(t *testing.T) {
	p := newProcess(t, "ended", "jayloom-standin", t.TempDir(), []string{"--listen", "127.0.0.1:0", "--auth", "trust"})
	p.Start()
	t.Cleanup(p.Kill)
	p.Freeze()
	p.Kill()
	failure := fatalMessage(t, p, p.Continue)
	if !strings.Contains(failure, "signal: killed") {
		t.Errorf("Continue of a killed program failed with %q, want its end", failure)
	}
}
