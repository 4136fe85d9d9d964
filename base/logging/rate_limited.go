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
	// EventField names the kind of a line. Each kind has a bound of its own.
	EventField = "event"
	// linesPerSecond and linesAtOnce bound the lines of one kind.
	linesPerSecond = 10
	linesAtOnce    = 40
	// queuedLines bounds the lines that wait for a slow reader.
	queuedLines = 1024
)

var (
	metricLimited = metrics.NewCounter(`jayloom_log_dropped_total{reason="limited"}`)
	metricQueue   = metrics.NewCounter(`jayloom_log_dropped_total{reason="queue_full"}`)
)

// NewRateLimited returns a logger that writes JSON lines to out from a goroutine of its
// own. A logging call never waits for out: lines above the bound of their kind, and
// lines that find the queue full, are counted and dropped.
func NewRateLimited(out io.Writer, process, vm string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(newQueueWriter(out))
	logger.SetFormatter(&boundedFormatter{
		inner: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, kinds: map[string]*allowance{},
	})
	return logger.WithFields(logrus.Fields{"process": process, "vm": vm})
}

// boundedFormatter returns nothing for a line above the bound of its kind.
type boundedFormatter struct {
	inner logrus.Formatter
	mu    sync.Mutex
	kinds map[string]*allowance
}

// allowance is a bucket of lines. Dropped lines are reported by the next one that fits.
type allowance struct {
	left    float64
	at      time.Time
	dropped int
}

// Format implements logrus.Formatter.
func (f *boundedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	dropped, ok := f.take(e)
	if !ok {
		metricLimited.Inc()
		return nil, nil
	}
	if dropped > 0 {
		marked := *e
		marked.Data = maps.Clone(e.Data)
		marked.Data["dropped_before"] = dropped
		e = &marked
	}
	return f.inner.Format(e)
}

func (f *boundedFormatter) take(e *logrus.Entry) (dropped int, ok bool) {
	kind, _ := e.Data[EventField].(string)
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.kinds[kind]
	if a == nil {
		a = &allowance{left: linesAtOnce, at: e.Time}
		f.kinds[kind] = a
	}
	if passed := e.Time.Sub(a.at); passed > 0 {
		a.left = min(linesAtOnce, a.left+linesPerSecond*passed.Seconds())
	}
	a.at = e.Time
	if a.left < 1 {
		a.dropped++
		return 0, false
	}
	a.left--
	dropped, a.dropped = a.dropped, 0
	return dropped, true
}

// queueWriter hands lines to a goroutine.
type queueWriter struct {
	lines chan []byte
}

func newQueueWriter(out io.Writer) *queueWriter {
	w := &queueWriter{lines: make(chan []byte, queuedLines)}
	go func() {
		for line := range w.lines {
			// There is nowhere to report that the log cannot be written.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It keeps a copy, because logrus uses its buffer again.
func (w *queueWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		metricQueue.Inc()
	}
	return len(line), nil
}
