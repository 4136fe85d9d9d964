// Command harness plays one case of the review: it starts the nodes as processes, and imitates the
// infrastructure, the servers, the operator and the consumers.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// play runs a case and reports whether the rule was broken.
type play func(w *world, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	repo := flag.String("repo", "../..", "root of the repository")
	keep := flag.String("keep-logs", "", "folder for the logs of the nodes")
	flag.Parse()
	os.Exit(run(*name, *path, *repo, *keep))
}

func run(name, path, repo, keep string) int {
	p := plays[name]
	if p == nil {
		fmt.Println("unknown case", name)
		return exitNotRun
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.close()
	repo, err = filepath.Abs(repo)
	if err != nil {
		return exitNotRun
	}
	w, err := newWorld(rec, repo)
	if err != nil {
		rec.note("cannot run: %v", err)
		return exitNotRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble=%v", name, trouble)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := p(w, trouble)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	o := outcome{err: fmt.Errorf("took too long")}
	select {
	case o = <-done:
	case <-signals:
		o.err = fmt.Errorf("interrupted")
	case <-time.After(110 * time.Second):
	}
	if keep != "" {
		for _, n := range w.nodes {
			if data, err := os.ReadFile(filepath.Join(w.folder, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
			}
		}
	}
	switch {
	case o.err != nil:
		rec.note("cannot run: %v", o.err)
		return exitNotRun
	case o.broken:
		rec.note("the rule was broken")
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}
