package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func entryAt(log *logrus.Entry, at time.Time, event string) *logrus.Entry {
	return log.WithTime(at).WithField(EventField, event)
}

// Guards against a flood of one kind of line that hides the others or costs the process
// its time, and against lines that are dropped without a trace.
func TestLinesOfOneKindAreBounded(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&boundedFormatter{inner: &logrus.JSONFormatter{}, kinds: map[string]*allowance{}})
	log, at := logrus.NewEntry(logger), time.Now()
	for range linesAtOnce + 25 {
		entryAt(log, at, "refused").Info("request refused")
	}
	entryAt(log, at, "started").Info("node started")
	entryAt(log, at.Add(time.Second), "refused").Warn("request refused again")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != linesAtOnce+2 {
		t.Fatalf("%d lines", len(lines))
	}
	last := struct {
		Msg     string
		Level   string
		Dropped int `json:"dropped_before"`
	}{}
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil {
		t.Fatal(err)
	}
	if last.Dropped != 25 || last.Msg != "request refused again" || last.Level != "warning" {
		t.Errorf("the next line says %+v", last)
	}
}

// Guards against a reader of the log that stops the process.
func TestLoggingDoesNotWait(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	log := NewRateLimited(w, "p", "vm")
	before := metricQueue.Get()
	for range 2*queuedLines + 10 {
		log.Info("nobody reads")
		log = log.WithField(EventField, time.Now().String())
	}
	if metricQueue.Get() == before {
		t.Error("no line was dropped")
	}
}
