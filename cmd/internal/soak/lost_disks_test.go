package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"
)

const (
	// silentTime is how long two voters are stopped: longer than the leader waits before it
	// replaces a voter.
	silentTime = 6 * time.Second
	// logPollInterval is the time between two reads of the nodes' logs.
	logPollInterval = 100 * time.Millisecond
)

// logLine holds the fields of a node's log line that this test reads.
type logLine struct {
	Event  string `json:"event"`
	Member string `json:"member"`
	Kind   string `json:"kind"`
}

// logLines returns the structured lines of a node's log.
func (p *process) logLines() []logLine {
	return readLog[logLine](p)
}

// readLog returns the lines of a node's log that have the structure of L.
func readLog[L any](p *process) []L {
	file, err := os.Open(filepath.Join(p.node.Folder, "log"))
	if err != nil {
		p.fleet.t.Fatal(err)
	}
	defer file.Close()
	var out []L
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var l L
		// Lines of the Go runtime are not structured.
		if json.Unmarshal(lines.Bytes(), &l) == nil {
			out = append(out, l)
		}
	}
	return out
}

// lines returns the lines of all nodes' logs for which matches is true.
func (f *fleet) lines(matches func(logLine) bool) []logLine {
	var out []logLine
	for _, p := range f.nodes {
		for _, l := range p.logLines() {
			if matches(l) {
				out = append(out, l)
			}
		}
	}
	return out
}

// find returns the first node with a log line for which matches is true.
func (f *fleet) find(matches func(logLine) bool) *process {
	i := slices.IndexFunc(f.nodes, func(p *process) bool { return slices.ContainsFunc(p.logLines(), matches) })
	if i < 0 {
		f.t.Fatal("no node has logged the expected line")
	}
	return f.nodes[i]
}

// Guards against a confirmed configuration that no node returns any more: two voters are
// silent for a while, and then the disks of two others are lost while all processes end. The
// repair must not have made the set of voters smaller in between.
func TestLostDisksAfterSilentVoters(t *testing.T) {
	f := newFleetOf(t, layout{nodes: 6, disks: 6, maxLost: 2}, "lost-disks")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.start(ctx)
	h := &history{}
	o := newOperator(f, h)
	o.start(ctx, t)
	isPromotion := func(l logLine) bool { return l.Event == "membership_change" && l.Kind == "KIND_PROMOTE_LEARNER" }
	promoted := f.lines(isPromotion)
	for end := time.Now().Add(startTimeout); len(promoted) < 2; promoted = f.lines(isPromotion) {
		if time.Now().After(end) {
			t.Fatalf("%d of 5 voters after %s", seedsInSettings+len(promoted), startTimeout)
		}
		sleep(ctx, logPollInterval)
	}
	leader := f.find(func(l logLine) bool { return l.Event == "leadership_gained" })
	for _, promotion := range promoted {
		silent := f.find(func(l logLine) bool { return l.Event == "disk_opened" && l.Member == promotion.Member })
		silent.signal(syscall.SIGSTOP)
	}
	sleep(ctx, silentTime)
	o.changeConfiguration(func(*plan) {})
	lost := []*process{leader, f.nodes[(slices.Index(f.nodes, leader)+1)%seedsInSettings]}
	for _, p := range f.nodes {
		p.kill()
	}
	for _, p := range lost {
		p.removeData()
	}
	for _, p := range f.nodes {
		p.start()
	}
	o.readFinalVersion(ctx, t)
	if h.finalVersion != o.plan.version {
		t.Errorf("version %d is read, %d was confirmed", h.finalVersion, o.plan.version)
	}
}
