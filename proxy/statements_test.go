package proxy

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/jayloom/jayloom/api/rescode"
)

// Guards against a caller that fills the proxy's memory with prepared statements, and
// against counting closed statements or unnamed ones, which replace each other.
func TestPreparedStatementsAreBounded(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(func(o *Options) { o.Settings.MaxPreparedBytes = 1000 })
	conn := p.driver(t)
	ctx := context.Background()
	prepare := func(name string) error {
		_, err := conn.Prepare(ctx, name, "SELECT '"+strings.Repeat("x", 400)+"'")
		return err
	}
	for _, name := range []string{"a", "b"} {
		if err := prepare(name); err != nil {
			t.Fatal(err)
		}
	}
	wantCode(t, prepare("c"), rescode.StatementLimit)
	if err := conn.Deallocate(ctx, "a"); err != nil {
		t.Fatal(err)
	}
	if err := prepare("c"); err != nil {
		t.Errorf("a closed statement still counts: %v", err)
	}
	for i := range 4 {
		sql := fmt.Sprintf("SELECT '%s%d'", strings.Repeat("y", 400), i)
		if err := conn.PgConn().ExecParams(ctx, sql, nil, nil, nil, nil).Read().Err; err != nil {
			t.Errorf("unnamed statement %d: %v", i, err)
		}
	}
	exec(t, conn, "DISCARD ALL")
	for _, name := range []string{"d", "e"} {
		if err := prepare(name); err != nil {
			t.Errorf("discarded statements still count: %v", err)
		}
	}
}

// Guards against counting the statements of an open batch twice once they are answered.
func TestAnsweredStatementsCountOnce(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(func(o *Options) { o.Settings.MaxPreparedBytes = 1000 })
	pipeline := p.driver(t).PgConn().StartPipeline(context.Background())
	for i := range 2 {
		pipeline.SendPrepare(fmt.Sprintf("s%d", i), "SELECT '"+strings.Repeat("x", 400)+"'", nil)
		pipeline.SendFlushRequest()
		if err := pipeline.Flush(); err != nil {
			t.Fatal(err)
		}
		if _, err := pipeline.GetResults(); err != nil {
			t.Errorf("statement %d: %v", i, err)
		}
	}
	if err := pipeline.Sync(); err != nil {
		t.Fatal(err)
	}
	if err := pipeline.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against one batch that prepares more than the limit before any statement is
// answered.
func TestPreparedStatementsOfABatchAreBounded(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(func(o *Options) { o.Settings.MaxPreparedBytes = 1000 })
	conn := p.driver(t)
	ctx := context.Background()
	pipeline := conn.PgConn().StartPipeline(ctx)
	for i := range 3 {
		pipeline.SendPrepare(fmt.Sprintf("s%d", i), "SELECT '"+strings.Repeat("x", 400)+"'", nil)
	}
	if err := pipeline.Sync(); err != nil {
		t.Fatal(err)
	}
	wantCode(t, pipeline.Close(), rescode.StatementLimit)
	if got := queryText(t, conn, "SELECT 'served'::text"); got != "served" {
		t.Errorf("read %q after the refusal", got)
	}
}
