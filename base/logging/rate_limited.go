package logging

import (
	"io"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// EventField is the field that holds the kind of a line. Each kind has its own rate limit.
	EventField = "event"
	// linesPerSecond and lineBurst limit the lines of one kind.
	linesPerSecond = 10
	lineBurst      = 40
	// maxFieldBytes bounds a text field of a line. Some hold text of callers, such as the ids of their requests; the
	// longest others are stacks.
	maxFieldBytes = 8 << 10
	// maxQueuedLines bounds the lines that wait for a slow reader.
	maxQueuedLines = 1024
)

var (
	metricDroppedRateLimited = metrics.NewCounter(`jayloom_log_dropped_total{reason="limited"}`)
	metricDroppedQueueFull   = metrics.NewCounter(`jayloom_log_dropped_total{reason="queue_full"}`)
)

// NewRateLimited returns a logger that writes JSON lines to out from a separate
// goroutine. Logging never blocks on out: lines above the rate limit of their kind, and
// lines that find the queue full, are counted and dropped.
func NewRateLimited(out io.Writer, process, vm string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(newQueueWriter(out))
	logger.SetFormatter(&rateLimitedFormatter{
		inner: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, buckets: map[string]*tokenBucket{},
	})
	return logger.WithFields(logrus.Fields{"process": process, "vm": vm})
}

// rateLimitedFormatter returns no bytes for a line above the rate limit of its kind.
type rateLimitedFormatter struct {
	inner   logrus.Formatter
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket limits the lines of one kind. The next line that is written reports how many
// lines were dropped before it.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
	dropped    int
}

// Format implements logrus.Formatter.
func (f *rateLimitedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	dropped, ok := f.admit(e)
	if !ok {
		metricDroppedRateLimited.Inc()
		return nil, nil
	}
	changed := map[string]any{}
	if dropped > 0 {
		changed["dropped_before"] = dropped
	}
	for name, value := range e.Data {
		if text, ok := value.(string); ok && len(text) > maxFieldBytes {
			changed[name] = text[:maxFieldBytes]
		}
	}
	if len(changed) > 0 {
		annotated := *e
		annotated.Data = maps.Clone(e.Data)
		maps.Copy(annotated.Data, changed)
		e = &annotated
	}
	return f.inner.Format(e)
}

// admit reports whether a line is within the rate limit of its kind, and how many lines of the
// kind were dropped since the last admitted one.
func (f *rateLimitedFormatter) admit(e *logrus.Entry) (dropped int, ok bool) {
	kind, _ := e.Data[EventField].(string)
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.buckets[kind]
	if b == nil {
		b = &tokenBucket{tokens: lineBurst, refilledAt: e.Time}
		f.buckets[kind] = b
	}
	if elapsed := e.Time.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(lineBurst, b.tokens+linesPerSecond*elapsed.Seconds())
	}
	b.refilledAt = e.Time
	if b.tokens < 1 {
		b.dropped++
		return 0, false
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}

// queueWriter queues lines for a goroutine that writes them.
type queueWriter struct {
	lines chan []byte
}

func newQueueWriter(out io.Writer) *queueWriter {
	w := &queueWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.lines {
			// A write error cannot be reported, since this is the log.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It copies line, because logrus reuses its buffer.
func (w *queueWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		metricDroppedQueueFull.Inc()
	}
	return len(line), nil
}
