// Package procstat watches what a process holds: its memory, what has arrived for it and is not read yet, and its open
// file descriptors.
package procstat

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the time between two readings.
const sampleInterval = 20 * time.Millisecond

// listenState is the state of a listening socket in /proc/net/tcp.
const listenState = "0A"

// Peak is the most that a process was seen to hold.
type Peak struct {
	// Memory is in bytes, Unread included.
	Memory int64
	// Unread is what has arrived on connections to the process and was not read yet, in bytes.
	Unread      int64
	Descriptors int
}

// Watcher records the peak of one process.
type Watcher struct {
	pid int
	// listens reports whether the process listens on a local address of /proc/net/tcp.
	listens func(address string) bool
	stop    chan struct{}
	stopped sync.WaitGroup

	mu   sync.Mutex
	peak Peak
}

// Watch starts to watch a process until Stop. The addresses, with or without a port, are those that only it listens on.
func Watch(pid int, addresses ...string) *Watcher {
	w := &Watcher{pid: pid, listens: matcher(addresses), stop: make(chan struct{})}
	w.stopped.Go(w.run)
	return w
}

// Stop ends the watch.
func (w *Watcher) Stop() {
	close(w.stop)
	w.stopped.Wait()
}

// Peak reads the process once more and returns the most that it was seen to hold.
func (w *Watcher) Peak() Peak {
	w.sample()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak.Memory = max(w.peak.Memory, w.statusBytes("VmHWM"))
	return w.peak
}

func (w *Watcher) run() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.sample()
		}
	}
}

func (w *Watcher) sample() {
	unread := unreadBytes(w.listens)
	memory := w.statusBytes("VmRSS") + unread
	descriptors := w.descriptors()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak.Unread = max(w.peak.Unread, unread)
	w.peak.Memory = max(w.peak.Memory, memory)
	w.peak.Descriptors = max(w.peak.Descriptors, descriptors)
}

// descriptors returns the number of open file descriptors, 0 after the process has ended.
func (w *Watcher) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// statusBytes returns a size out of the status of the process, 0 after it has ended.
func (w *Watcher) statusBytes(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// unreadBytes returns the bytes that wait to be read on connections to local addresses.
func unreadBytes(listens func(string) bool) int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	total := int64(0)
	for line := range bytes.Lines(data) {
		// The fields are: number, local address, remote address, state, sent:received.
		fields := strings.Fields(string(line))
		if len(fields) < 5 || fields[3] == listenState || !listens(fields[1]) {
			continue
		}
		if _, received, ok := strings.Cut(fields[4], ":"); ok {
			n, _ := strconv.ParseInt(received, 16, 64)
			total += n
		}
	}
	return total
}

// matcher returns whether an address of /proc/net/tcp, such as 0100007F:1F90, is one of the given ones.
func matcher(addresses []string) func(string) bool {
	hosts, hostPorts := map[string]bool{}, map[string]bool{}
	for _, a := range addresses {
		host, port, err := net.SplitHostPort(a)
		if err != nil {
			hosts[hexAddress(a)] = true
			continue
		}
		n, _ := strconv.Atoi(port)
		hostPorts[fmt.Sprintf("%s:%04X", hexAddress(host), n)] = true
	}
	return func(address string) bool {
		host, _, _ := strings.Cut(address, ":")
		return hosts[host] || hostPorts[address]
	}
}

// hexAddress returns an IPv4 address as /proc/net/tcp has it.
func hexAddress(address string) string {
	ip := net.ParseIP(address).To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X", ip[3], ip[2], ip[1], ip[0])
}
