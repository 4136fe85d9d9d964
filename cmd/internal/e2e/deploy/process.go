package deploy

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// Process is one program that can be started again under the same settings.
type Process struct {
	t    testing.TB
	Name string
	path string
	args []string
	log  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func newProcess(t testing.TB, name, binary, folder string, args []string) *Process {
	return &Process{
		t:    t,
		Name: name,
		path: filepath.Join(binaries, binary),
		args: args,
		log:  filepath.Join(folder, name+".log"),
	}
}

// Start starts the program; its output is added to the process's log file.
func (p *Process) Start() {
	p.t.Helper()
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer output.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = output, output
	// A test run that is ended from outside leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		// The exit status of a killed program says nothing.
		_ = cmd.Wait()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited = cmd, exited
}

// pid returns the id of the running program, 0 when there is none.
func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	select {
	case <-p.exited:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// Running reports whether the program runs.
func (p *Process) Running() bool { return p.pid() != 0 }

func (p *Process) signal(s syscall.Signal) {
	if pid := p.pid(); pid != 0 {
		// It fails only if the program has ended in between.
		_ = syscall.Kill(pid, s)
	}
}

// Kill ends the program with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait()
}

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Freeze stops the program as SIGSTOP does, and returns once all its threads stand.
func (p *Process) Freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	until(p.t, p.Name+" to stand", func() bool { return stands(p.pid()) })
}

// stands reports whether every thread of a process is stopped.
func stands(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		data, err := os.ReadFile(thread)
		if err != nil {
			return false
		}
		// The state follows the name, which is in parentheses.
		_, rest, ok := strings.Cut(string(data), ") ")
		if !ok || !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}

// Continue lets a frozen program go on and waits until it does, so that a signal
// without effect shows here and not as a program that hangs.
func (p *Process) Continue() {
	p.t.Helper()
	until(p.t, p.Name+" to go on", func() bool {
		p.signal(syscall.SIGCONT)
		return !stands(p.pid())
	})
}

// Wait waits until the program has ended.
func (p *Process) Wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Log returns what the program has written so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
