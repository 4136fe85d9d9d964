package e2e

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// fatalRecorder is a testing.TB that records the message of Fatalf.
type fatalRecorder struct {
	testing.TB
	failure string
}

func (r *fatalRecorder) Fatalf(format string, args ...any) {
	r.failure = fmt.Sprintf(format, args...)
	runtime.Goexit()
}

// fatalMessage returns the message that f passes to Fatalf, "" if it does not call it.
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

// Guards against treating a program that exited while it was frozen as running again: a
// test would then wait for it until its timeout, as if the program hung.
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
