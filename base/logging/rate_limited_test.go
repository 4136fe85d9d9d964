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

// Guards against a flood of lines of one kind that hides the others or slows the process
// down, and against dropped lines that are not reported.
func TestLinesOfOneKindAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&rateLimitedFormatter{inner: &logrus.JSONFormatter{}, buckets: map[string]*tokenBucket{}})
	log, at := logrus.NewEntry(logger), time.Now()
	for range lineBurst + 25 {
		entryAt(log, at, "refused").Info("request refused")
	}
	entryAt(log, at, "started").Info("node started")
	entryAt(log, at.Add(time.Second), "refused").Warn("request refused again")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != lineBurst+2 {
		t.Fatalf("got %d lines", len(lines))
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
		t.Errorf("last line is %+v", last)
	}
}

// Guards against lines with long texts of callers, which would wait in memory for a slow reader.
func TestLongFieldsAreCut(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&rateLimitedFormatter{inner: &logrus.JSONFormatter{}, buckets: map[string]*tokenBucket{}})
	logger.WithFields(logrus.Fields{"event": "refused", "id": strings.Repeat("x", 1<<20), "database": "intake"}).Info("request refused")
	line := struct{ ID, Database string }{}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if len(line.ID) != maxFieldBytes || line.Database != "intake" {
		t.Errorf("an id of %d bytes of database %q was logged", len(line.ID), line.Database)
	}
}

// Guards against a stalled reader of the log that blocks the process.
func TestLoggingDoesNotBlock(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	log := NewRateLimited(w, "p", "vm")
	before := metricDroppedQueueFull.Get()
	for range 2*maxQueuedLines + 10 {
		log.Info("nobody reads")
		log = log.WithField(EventField, time.Now().String())
	}
	if metricDroppedQueueFull.Get() == before {
		t.Error("no line was dropped")
	}
}
