package load

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Event is an action at a scheduled time: a signal to a process, a POST to a relay,
// or a move of a team's load to another target.
type Event struct {
	AtMs int64 `json:"at_ms"`
	// Signal is KILL, TERM, STOP, CONT or USR1; it is sent to PID or to the process
	// whose id is in PIDFile.
	Signal  string `json:"signal,omitempty"`
	PID     int    `json:"pid,omitempty"`
	PIDFile string `json:"pid_file,omitempty"`
	// Post is a URL that receives a POST request.
	Post string `json:"post,omitempty"`
	// Move names a team whose load goes to the target of index Target from then on;
	// -1 distributes it over all targets again.
	Move   string `json:"move,omitempty"`
	Target int    `json:"target,omitempty"`
}

// EventResult is the result of running an event.
type EventResult struct {
	Event
	// RanMs is the time when the event had finished.
	RanMs int64  `json:"ran_ms"`
	Error string `json:"error,omitempty"`
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT, "USR1": syscall.SIGUSR1,
}

// postTimeout bounds a POST of the schedule, so that a relay that does not answer
// does not delay the following events.
const postTimeout = time.Second

// ReadSchedule reads events from a file of JSON with comments.
func ReadSchedule(path string) ([]Event, error) {
	var events []Event
	return events, readJSON(path, &events)
}

func (c *Config) checkSchedule() error {
	last := int64(0)
	for i, e := range c.Schedule {
		if e.AtMs < last {
			return errors.Newf("event %d of the schedule is earlier than the one before it", i)
		}
		last = e.AtMs
		if err := c.checkEvent(e); err != nil {
			return errors.Wrapf(err, "event %d of the schedule", i)
		}
	}
	return nil
}

func (c *Config) checkEvent(e Event) error {
	switch {
	case e.Signal != "":
		if _, ok := signals[e.Signal]; !ok {
			return errors.Newf("signal %q is unknown", e.Signal)
		}
		if e.PID <= 1 && e.PIDFile == "" {
			return errors.New("a signal needs a process id above 1 or a file that holds one")
		}
	case e.Post != "":
	case e.Move != "":
		if !c.hasTeam(e.Move) || e.Target < -1 || e.Target >= len(c.Targets) {
			return errors.Newf("team %q cannot be moved to target %d", e.Move, e.Target)
		}
	default:
		return errors.New("one of signal, post and move is needed")
	}
	return nil
}

// runSchedule runs the scheduled events until ctx ends.
func (r *run) runSchedule(ctx context.Context) []EventResult {
	var results []EventResult
	for _, e := range r.config.Schedule {
		at := time.Duration(e.AtMs) * time.Millisecond
		if !r.sleepUntil(ctx, at) {
			return results
		}
		result := EventResult{Event: e}
		if err := r.runEvent(ctx, e); err != nil {
			result.Error = err.Error()
		}
		result.RanMs = r.elapsed().Milliseconds()
		results = append(results, result)
	}
	return results
}

func (r *run) runEvent(ctx context.Context, e Event) error {
	switch {
	case e.Signal != "":
		pid, err := e.processID()
		if err != nil {
			return err
		}
		return syscall.Kill(pid, signals[e.Signal])
	case e.Post != "":
		return sendPost(ctx, e.Post)
	}
	for _, t := range r.teams {
		if t.Name == e.Move {
			t.moveTo(e.Target)
		}
	}
	return nil
}

func (e Event) processID() (int, error) {
	if e.PIDFile == "" {
		return e.PID, nil
	}
	data, err := os.ReadFile(e.PIDFile)
	if err != nil {
		return 0, errors.Wrap(err, "read process id")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil || pid <= 1 {
		return 0, errors.Newf("%s does not contain a process id above 1", e.PIDFile)
	}
	return pid, nil
}

func sendPost(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Newf("%s answered %s", url, response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
