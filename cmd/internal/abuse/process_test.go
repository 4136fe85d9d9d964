package abuse

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/jayloom/jayloom/cmd/internal/procstat"
)

// maxPrintedLog is how many bytes of a log are printed if a test fails.
const maxPrintedLog = 4000

// process is a running program.
type process struct {
	name    string
	cmd     *exec.Cmd
	log     string
	exited  chan struct{}
	watcher *procstat.Watcher
}

// startProcess starts a program, which ends with the test. address is the IP address that only it listens on.
func startProcess(t *testing.T, name, folder, address string, args ...string) *process {
	t.Helper()
	p := &process{name: name, log: filepath.Join(folder, name+".log"), exited: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(programs, name), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The program must not outlive a test process that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	p.watcher = procstat.Watch(p.cmd.Process.Pid, address)
	t.Cleanup(func() { p.end(t) })
	return p
}

func (p *process) end(t *testing.T) {
	p.watcher.Stop()
	_ = p.cmd.Process.Kill()
	<-p.exited
	if content, err := os.ReadFile(p.log); err == nil && t.Failed() {
		t.Logf("end of the log of %s:\n%s", p.name, content[max(0, len(content)-maxPrintedLog):])
	}
}

// bound is what a process may hold: bytes of memory, unread ones included, and open file descriptors.
type bound struct {
	memory      int64
	descriptors int
}

// check reports a process that has ended or was seen to hold more than b.
func (p *process) check(t *testing.T, b bound) {
	t.Helper()
	peak := p.watcher.Peak()
	t.Logf("%s: peak memory %.1f MB, %.1f MB of it or less unread (bound %.1f), %d descriptors (bound %d)", p.name,
		megabytes(peak.Memory), megabytes(peak.Unread), megabytes(b.memory), peak.Descriptors, b.descriptors)
	select {
	case <-p.exited:
		t.Errorf("%s has ended: %s", p.name, p.cmd.ProcessState)
		return
	default:
	}
	if peak.Memory > b.memory {
		t.Errorf("%s holds %.1f MB, more than %.1f", p.name, megabytes(peak.Memory), megabytes(b.memory))
	}
	if peak.Descriptors > b.descriptors {
		t.Errorf("%s has %d descriptors open, more than %d", p.name, peak.Descriptors, b.descriptors)
	}
}

func megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }
