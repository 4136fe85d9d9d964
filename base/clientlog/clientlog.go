// Package clientlog bounds the log lines about clients that are refused or disconnected: one a client and minute, and
// only so many clients a minute.
package clientlog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// interval is the time between two lines about one client.
	interval = time.Minute
	// maxClients bounds the clients that are remembered, and thus the lines of an interval.
	maxClients = 256
)

// Limiter decides whether a line about a client is written. It is not safe for concurrent use.
type Limiter struct {
	// since is the beginning of the current interval.
	since time.Duration
	// counts holds the lines that were not written, by client; previous holds those of the interval before.
	counts, previous map[string]int
}

// Admit reports whether a line about a client is written now, and how many were not written since its last one.
func (l *Limiter) Admit(client string, now time.Duration) (suppressed int, ok bool) {
	if l.counts == nil || now-l.since >= interval {
		l.since, l.previous, l.counts = now, l.counts, map[string]int{}
	}
	if n, known := l.counts[client]; known {
		l.counts[client] = n + 1
		return 0, false
	}
	if len(l.counts) >= maxClients {
		return 0, false
	}
	l.counts[client] = 0
	return l.previous[client], true
}

// Logger writes the lines. It is safe for concurrent use.
type Logger struct {
	log     *logrus.Entry
	mu      sync.Mutex
	limiter Limiter
}

// New returns a Logger that writes to log.
func New(log *logrus.Entry) *Logger { return &Logger{log: log} }

// Report writes a line about a client that was refused or disconnected, unless there was one in this minute.
func (l *Logger) Report(client string, fields logrus.Fields, now time.Duration) {
	l.mu.Lock()
	suppressed, ok := l.limiter.Admit(client, now)
	l.mu.Unlock()
	if !ok {
		return
	}
	l.log.WithFields(fields).WithFields(logrus.Fields{"event": "client_closed", "client": client, "not_logged": suppressed}).
		Info("connection of a client closed")
}
