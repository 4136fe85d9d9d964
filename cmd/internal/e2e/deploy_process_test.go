package e2e

import (
	"fmt"
	"os"
	osexec "os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Process is a program that can be restarted with the same arguments.
type Process struct {
	t    testing.TB
	Name string
	path string
	args []string
	log  string

	mu     sync.Mutex
	cmd    *osexec.Cmd
	exited chan struct{}
	// frozen is set once Freeze was called since the last start.
	frozen bool
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

// Start starts the program and appends its output to the log file.
func (p *Process) Start() {
	p.t.Helper()
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer output.Close()
	cmd := osexec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = output, output
	// The program must not outlive a test process that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		// The error repeats the exit status, which State reports.
		_ = cmd.Wait()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited, p.frozen = cmd, exited, false
}

// pid returns the process ID of the program, 0 when it does not run.
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

// State describes whether the program runs and, if not, how it ended.
func (p *Process) State() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return "not started"
	}
	select {
	case <-p.exited:
		return "ended: " + p.cmd.ProcessState.String()
	default:
		return "running: " + kernelState(p.cmd.Process.Pid)
	}
}

// kernelState returns the lines of /proc/PID/status that distinguish a stopped program from
// a waiting one and list its pending signals.
func kernelState(pid int) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err.Error()
	}
	var kept []string
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(line, ":")
		switch name {
		case "State", "TracerPid", "Threads", "SigPnd", "ShdPnd":
			kept = append(kept, name+" "+strings.TrimSpace(value))
		}
	}
	return strings.Join(kept, ", ")
}

// Running reports whether the program runs.
func (p *Process) Running() bool { return p.pid() != 0 }

func (p *Process) signal(s syscall.Signal) {
	if pid := p.pid(); pid != 0 {
		// It fails only if the program has exited in the meantime.
		_ = syscall.Kill(pid, s)
	}
}

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait()
}

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Freeze sends SIGSTOP and returns once all threads of the program are stopped.
func (p *Process) Freeze() {
	p.t.Helper()
	p.mu.Lock()
	p.frozen = true
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	waitFor(p.t, p.Name+" to be stopped", func() bool {
		p.requireRunning()
		return isStopped(p.pid())
	})
}

// requireRunning fails the test if the program has exited.
func (p *Process) requireRunning() {
	p.t.Helper()
	if !p.Running() {
		p.t.Fatalf("%s has %s", p.Name, p.State())
	}
}

// isStopped reports whether every thread of a process is stopped.
func isStopped(pid int) bool {
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

// Continue resumes a frozen program and waits until it runs, so that a signal without
// effect, or a program that exited while it was frozen, fails here and does not look like a
// program that hangs.
func (p *Process) Continue() {
	p.t.Helper()
	waitFor(p.t, p.Name+" to continue", func() bool {
		p.requireRunning()
		p.signal(syscall.SIGCONT)
		return !isStopped(p.pid())
	})
}

// stackDumpTimeout bounds the wait for the stacks of a program that may hang.
const stackDumpTimeout = 5 * time.Second

// Stacks sends SIGQUIT to a program that was frozen and still runs, and returns the
// goroutine stacks that it writes on exit.
func (p *Process) Stacks() string {
	p.mu.Lock()
	frozen, exited := p.frozen, p.exited
	p.mu.Unlock()
	if !frozen || !p.Running() {
		return ""
	}
	before := len(p.Log())
	p.signal(syscall.SIGQUIT)
	p.signal(syscall.SIGCONT)
	select {
	case <-exited:
	case <-time.After(stackDumpTimeout):
	}
	return p.Log()[before:]
}

// Wait waits until the program has exited.
func (p *Process) Wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// Log returns the output of the program so far.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
